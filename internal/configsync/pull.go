package configsync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/portgauge/portgauge/internal/peer"
)

// joinLoop joins the zone through the seeds and the machine list, and pulls configuration
// until the node has some; then it rests, since probes keep membership and digests alive.
func (s *Syncer) joinLoop(ctx context.Context) {
	wait := s.config.RetryPause
	for {
		s.join(ctx)
		if s.initialised.Load() && len(s.members.Members()) > 1 {
			wait = joinedPause
		}
		if !s.initialised.Load() {
			s.pullFromZone(ctx)
		}
		if !pause(ctx, wait) {
			return
		}
		if wait < joinedPause {
			wait = s.backoff(wait)
		}
	}
}

// joinedPause is how long a node that knows others waits until it joins again, which heals
// a zone whose halves lost each other.
const joinedPause = 2 * time.Minute

// joinTargets is how many nodes a node joins through at once.
const joinTargets = 3

func (s *Syncer) join(ctx context.Context) {
	targets := append([]string(nil), s.seeds...)
	listed, err := s.listZone(ctx)
	if err == nil {
		targets = append(targets, listed...)
	}
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	joined := 0
	for _, target := range targets {
		if joined >= joinTargets || ctx.Err() != nil {
			return
		}
		if target == s.transport.Address() {
			continue
		}
		if s.joinThrough(ctx, target) {
			joined++
		}
	}
}

func (s *Syncer) joinThrough(ctx context.Context, target string) bool {
	ctx, cancel := context.WithTimeout(ctx, s.config.CallTimeout)
	defer cancel()
	welcome, err := s.members.Join(ctx, target)
	if err != nil || welcome == nil {
		return false
	}
	s.addContacts(append(welcome.Contacts, peer.Contact{Zone: welcome.Zone, Address: target}))
	return true
}

// pullFromZone asks the watchers first, since they have configuration first, then another.
func (s *Syncer) pullFromZone(ctx context.Context) {
	self := s.members.Self().ID
	for _, watcher := range s.watchers() {
		if watcher.ID != self && s.pullFrom(ctx, watcher.Address) {
			return
		}
	}
	if member, found := s.members.Random(); found {
		s.pullFrom(ctx, member.Address)
	}
}

// pullFrom takes what a peer has beyond the revision in force; true when it had any
// configuration. One pull runs at a time: the digests that follow ask again.
func (s *Syncer) pullFrom(ctx context.Context, address string) bool {
	if !s.pulling.CompareAndSwap(false, true) {
		return false
	}
	defer s.pulling.Store(false)
	ctx, cancel := context.WithTimeout(ctx, pullTimeoutFactor*s.config.CallTimeout)
	defer cancel()
	s.relayed("pull")
	after := s.catalog.Revision()
	answer, err := s.transport.Call(ctx, address, peer.Message{Digest: s.Digest(), Pull: &peer.Pull{After: after}})
	if err != nil || answer.State == nil || !answer.State.Initialised {
		return false
	}
	s.takeState(*answer.State)
	s.catalog.Confirm(time.Now().Add(-time.Duration(answer.Digest.AgeMillis) * time.Millisecond))
	s.markInitialised()
	return true
}

// pullTimeoutFactor times the call timeout bounds a pull, which may carry the whole state.
const pullTimeoutFactor = 4

func (s *Syncer) takeState(state peer.State) {
	if state.Snapshot != nil {
		s.catalog.Replace(*state.Snapshot)
	}
	for _, change := range state.Changes {
		s.catalog.Apply(change)
	}
}

// HandlePull gives a peer what it lacks.
func (s *Syncer) HandlePull(pull peer.Pull) peer.State {
	state := peer.State{Initialised: s.initialised.Load(), Revision: s.catalog.Revision()}
	changes, kept := s.catalog.Since(pull.After)
	if kept {
		state.Changes = changes
		return state
	}
	snapshot := s.catalog.Snapshot()
	state.Snapshot = &snapshot
	return state
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
	for start := 0; start < len(changes); start += maximumBatch {
		end := min(start+maximumBatch, len(changes))
		s.pushToZone(ctx, peer.Push{Changes: changes[start:end]})
	}
}
