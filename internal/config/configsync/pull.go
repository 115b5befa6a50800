package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// joinLoop joins the zone through the seeds and the machine list, again and again until what
// is known of the zone stays the same, and pulls configuration until the node has some. From
// then on it joins rarely, which heals a zone whose halves lost each other. A zone whose
// members come and go all the time counts as known after a while, so that it has watchers, and
// so that joins don't add to whatever keeps it from resting.
func (s *Syncer) joinLoop(ctx context.Context) {
	wait := s.config.RetryPause
	for {
		stable := s.join(ctx)
		if stable || time.Since(s.startedAt) > restlessTimeout {
			s.settle()
		}
		if !s.initialised.Load() {
			s.pullFromZone(ctx)
		}
		if s.settled.Load() && s.initialised.Load() {
			wait = s.config.JoinInterval
		} else {
			wait = s.backoff(wait)
		}
		if !pause(ctx, wait) {
			return
		}
	}
}

// restlessTimeout is after how long a node settles although the members it hears of differ.
const restlessTimeout = 15 * time.Second

// settle marks that the node knows its zone well enough to tell whether it is a watcher.
func (s *Syncer) settle() {
	if s.settled.CompareAndSwap(false, true) {
		s.logger.Info("joined the zone", zap.Int("members", len(s.members.Members())))
	}
}

// settleTimeout is after how long a node that can't find others takes itself for alone.
const settleTimeout = 5 * time.Second

// aloneTimeout is the same when the machine list answers and names nobody: it lags, so that
// others that start at the same moment may be missing from it.
const aloneTimeout = time.Second

// joinTargets is how many nodes a node joins through at once.
const joinTargets = 3

// join tells some nodes of this one and reports whether it found its zone's view stable: all
// nodes that answered know the same members, or there is none to ask.
func (s *Syncer) join(ctx context.Context) bool {
	targets := s.currentSeeds()
	listed, err := s.listZone(ctx)
	if err == nil {
		targets = append(targets, listed...)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	joined, agreed := 0, 0
	for _, target := range targets {
		if joined >= joinTargets || ctx.Err() != nil {
			break
		}
		if target == s.transport.Address() {
			continue
		}
		reached, same := s.joinThrough(ctx, target)
		if reached {
			joined++
		}
		if same {
			agreed++
		}
	}
	if joined == 0 {
		wait := settleTimeout
		if err == nil && len(targets) == 0 {
			wait = aloneTimeout
		}
		return time.Since(s.startedAt) > wait
	}
	return agreed == joined
}

// joinThrough joins through one node; one of another zone gives contacts but has no say on
// the own zone.
func (s *Syncer) joinThrough(ctx context.Context, target string) (reached, same bool) {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	welcome, same, err := s.members.Join(ctx, target)
	if err != nil || welcome == nil {
		return false, false
	}
	s.addContacts(append(welcome.Contacts, peer.Contact{Zone: welcome.Zone, Address: target}))
	return welcome.Zone == s.members.Self().Zone, same
}

// pullFromZone asks the watchers first, since they have configuration first, then another.
func (s *Syncer) pullFromZone(ctx context.Context) {
	self := s.members.Self().ID
	for _, watcher := range s.watchers() {
		if watcher.ID != self && s.pullFrom(ctx, watcher.Address) {
			return
		}
	}
	if member, found := s.members.Random(); found && s.pullFrom(ctx, member.Address) {
		return
	}
	// The zone may have no other node, or none with configuration.
	if address, found := s.randomContact(); found {
		s.pullFrom(ctx, address)
	}
}

// pullFrom takes what a peer has beyond the revision in force, or what one of those has that the peer
// names instead; true when there was any configuration. One pull runs at a time: the digests that
// follow ask again.
func (s *Syncer) pullFrom(ctx context.Context, address string) bool {
	if !s.pulling.CompareAndSwap(false, true) {
		return false
	}
	defer s.pulling.Store(false)
	if s.initialised.Load() {
		defer s.backUpPush(s.catalog.Revision())
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeoutFactor*s.config.CallTimeout)
	defer cancel()
	taken, elsewhere := s.pullOnce(ctx, address)
	for _, other := range elsewhere {
		if taken || ctx.Err() != nil {
			break
		}
		taken, _ = s.pullOnce(ctx, other)
	}
	return taken
}

// pullOnce asks one peer. Elsewhere are those that it names instead.
func (s *Syncer) pullOnce(ctx context.Context, address string) (taken bool, elsewhere []string) {
	s.relayed("pull")
	after, asked := s.catalog.Revision(), s.catalog.Mark()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &peer.Pull{After: after}})
	if err != nil || answer.State == nil || !answer.State.Initialised || s.isForeign(answer.Digest) {
		return false, nil
	}
	if len(answer.State.Elsewhere) > 0 {
		return false, answer.State.Elsewhere
	}
	if err := s.takeState(*answer.State); err != nil {
		s.logger.Warn("state of a peer can't be read", zap.String("peer", address), zap.Error(err))
		return false, nil
	}
	if s.catalog.Revision() >= answer.Digest.Revision {
		s.catalog.ConfirmSince(asked, time.Duration(answer.Digest.AgeMillis)*time.Millisecond)
	}
	s.markInitialised()
	return true, nil
}

// pullTimeoutFactor times the call timeout bounds a pull, which may carry the whole state.
const pullTimeoutFactor = 4

// takeState puts a peer's state into force, as far as it is newer.
func (s *Syncer) takeState(state peer.State) error {
	if len(state.Snapshot) > 0 {
		snapshot, err := state.Snapshot.Unpack()
		if err != nil {
			return err
		}
		before := s.catalog.Revision()
		if s.catalog.Replace(snapshot) {
			s.wholeStates.keep(snapshot.Revision, state.Snapshot)
			s.cameToEpoch(before)
		}
	}
	s.early.apply(s.catalog, state.Changes)
	return nil
}

// HandlePull gives a peer what it lacks.
func (s *Syncer) HandlePull(from string, pull peer.Pull) peer.State {
	state := peer.State{Initialised: s.initialised.Load(), Revision: s.catalog.Revision()}
	if pull.Retained {
		state.Retained = s.catalog.RetainedEntries()
	}
	changes, kept := s.catalog.Since(pull.After)
	if kept || !state.Initialised {
		state.Changes = changes
		return state
	}
	given, err := s.wholeStates.give(s.catalog, from)
	if err != nil {
		s.logger.Error("whole state can't be given to a peer", zap.String("peer", from), zap.Error(err))
		return peer.State{}
	}
	// One that gave too much and can name nobody has nothing for now.
	given.Initialised = len(given.Snapshot) > 0 || len(given.Elsewhere) > 0
	given.Revision = state.Revision
	return given
}

// crossZoneLoop pulls from other zones while this watcher's view of the store is down.
func (s *Syncer) crossZoneLoop(ctx context.Context) {
	for pause(ctx, s.config.MaximumRetryPause/2) {
		if s.storeDownAt.Load() == 0 {
			continue
		}
		address, found := s.randomContact()
		if !found {
			continue
		}
		before := s.catalog.Revision()
		s.pullFrom(ctx, address)
		s.pushPulled(ctx, before)
	}
}

// pushPulled hands changes that came from another zone on to the own zone.
func (s *Syncer) pushPulled(ctx context.Context, before int64) {
	changes, kept := s.catalog.Since(before)
	if !kept || len(changes) == 0 {
		return
	}
	for len(changes) > 0 {
		count := prefix(changes, maximumBatch, batchBytes)
		s.pushChanges(ctx, changes[:count])
		changes = changes[count:]
	}
}
