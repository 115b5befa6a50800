package configsync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// unstableTimeout is how long after its start a node counts as joined although its peers have different members.
const unstableTimeout = 15 * time.Second

// aloneTimeout is how long after its start a node that reaches no other node counts as joined.
const aloneTimeout = 5 * time.Second

// listedAloneTimeout replaces aloneTimeout if the machine list was read and neither it nor the seeds contain an address
// to join through. It isn't 0 because the list lags: nodes that start at the same time may be missing from it.
const listedAloneTimeout = time.Second

// joinTargets is how many nodes a node joins through per attempt.
const joinTargets = 3

// joinCandidates is how many nodes of its zone a node requests from the machine list to join through.
const joinCandidates = 8

// joinLoop joins the zone through the seeds and the machine list until the node's view of the zone is stable, and pulls
// configuration until the node has some. After that it joins every Config.JoinInterval, which repairs a partitioned
// membership. A node whose zone keeps changing counts as joined after unstableTimeout, so that the zone has watchers and
// joins don't add to the churn.
func (s *Syncer) joinLoop(ctx context.Context) {
	wait := s.cfg.RetryPause
	for {
		stable := s.join(ctx)
		if stable || time.Since(s.startedAt) > unstableTimeout {
			s.markJoined()
		}
		if !s.initialized.Load() {
			s.pullFromZone(ctx)
		}
		if s.joined.Load() && s.initialized.Load() {
			wait = s.cfg.JoinInterval
		} else {
			wait = s.backoff(wait)
		}
		if !pause(ctx, wait) {
			return
		}
	}
}

// markJoined records that the zone's members are known well enough to rank the watchers.
func (s *Syncer) markJoined() {
	if s.joined.CompareAndSwap(false, true) {
		s.logger.Info("joined the zone", zap.Int("members", len(s.members.Members())))
	}
}

// join announces this node to a few others and reports whether the view of the zone is stable: all nodes that answered
// have the same members, or no other node was found in time.
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
		wait := aloneTimeout
		if err == nil && len(targets) == 0 {
			wait = listedAloneTimeout
		}
		return time.Since(s.startedAt) > wait
	}
	return agreed == joined
}

// joinThrough joins through one node. A node of another zone only contributes contacts.
func (s *Syncer) joinThrough(ctx context.Context, target string) (reached, same bool) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	welcome, same, err := s.members.Join(ctx, target)
	if err != nil || welcome == nil {
		return false, false
	}
	s.addContacts(append(welcome.Contacts, peer.Contact{Zone: welcome.Zone, Address: target}))
	return welcome.Zone == s.members.Self().Zone, same
}

// handleJoin admits a node to the zone. A node of another zone becomes a contact.
func (s *Syncer) handleJoin(join peer.Join) *peer.Welcome {
	s.addContacts([]peer.Contact{{Zone: join.Member.Zone, Address: join.Member.Address}})
	members, known := s.members.HandleJoin(join)
	return &peer.Welcome{Zone: s.members.Self().Zone, Known: known, Members: members, Contacts: s.Contacts()}
}

// listZone returns the peer addresses of nodes of the zone on the machine list.
func (s *Syncer) listZone(ctx context.Context) ([]string, error) {
	list, err := s.listMachines(ctx, machines.Query{Zone: s.members.Self().Zone, Role: machines.RoleNode, MaxPerZone: joinCandidates})
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, machine := range list.Machines {
		if machine.State == machines.Live {
			addresses = append(addresses, machine.Address)
		}
	}
	return addresses, nil
}

// currentSeeds returns the peer addresses to join through.
func (s *Syncer) currentSeeds() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.seeds)
}
