package membership

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// answerProbe acknowledges a probe meant for this node. A prober that is held for suspect or
// dead is told so, since it can refute only what it hears of.
func (m *Membership) answerProbe(prober string, probe peer.Probe) {
	if probe.TargetID != m.Self().ID {
		return
	}
	m.mutex.Lock()
	for _, known := range m.members {
		if known.member.Address == prober && known.member.State != peer.Alive {
			m.rumours.add(known.member)
		}
	}
	m.mutex.Unlock()
	m.send(prober, peer.Message{Acknowledge: &peer.Acknowledge{Sequence: probe.Sequence}})
}

// nextTarget returns the next member of the shuffled round.
func (m *Membership) nextTarget() (peer.Member, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for range 2 {
		for len(m.round) > 0 {
			id := m.round[len(m.round)-1]
			m.round = m.round[:len(m.round)-1]
			if known, found := m.members[id]; found && isUsable(known.member.State) {
				return known.member, true
			}
		}
		for id := range m.members {
			m.round = append(m.round, id)
		}
		slices.Sort(m.round)
		m.random.Shuffle(len(m.round), func(i, j int) { m.round[i], m.round[j] = m.round[j], m.round[i] })
	}
	return peer.Member{}, false
}

// probe asks a member whether it lives, then asks others to ask, then suspects it.
func (m *Membership) probe(ctx context.Context, target peer.Member) {
	sequence, answered := m.expect()
	defer m.forget(sequence)
	m.send(target.Address, peer.Message{Probe: &peer.Probe{Sequence: sequence, TargetID: target.ID}})
	if waitFor(ctx, answered, m.config.ProbeTimeout) {
		return
	}
	m.mutex.Lock()
	helpers := m.sample(m.config.IndirectProbes, target.ID)
	m.mutex.Unlock()
	for _, helper := range helpers {
		m.send(helper.Address, peer.Message{ProbeRequest: &peer.ProbeRequest{
			Sequence: sequence, TargetID: target.ID, TargetAddress: target.Address,
		}})
	}
	if waitFor(ctx, answered, 2*m.config.ProbeTimeout) || ctx.Err() != nil {
		return
	}
	target.State = peer.Suspect
	m.merge([]peer.Member{target})
	m.tellSuspect(ctx, target)
}

// suspectTellings is how many times a suspect is told of its suspicion by the node that
// raised it. Gossip alone reaches it too late when many messages are lost.
const suspectTellings = 4

// tellSuspect sends the suspicion to the suspect itself, so that it can refute.
func (m *Membership) tellSuspect(ctx context.Context, suspect peer.Member) {
	for range suspectTellings {
		m.transport.Send(suspect.Address, peer.Message{Digest: m.listener.Digest(), Members: []peer.Member{suspect}})
		if !wait.For(ctx, m.config.ProbeInterval) {
			return
		}
		m.mutex.Lock()
		known, found := m.members[suspect.ID]
		refuted := !found || known.member.State != peer.Suspect
		m.mutex.Unlock()
		if refuted {
			return
		}
	}
}

// probeFor probes a member on behalf of another node and passes its answer on.
func (m *Membership) probeFor(asker string, request peer.ProbeRequest) {
	if m.probeOnce(context.Background(), peer.Member{ID: request.TargetID, Address: request.TargetAddress}) {
		m.send(asker, peer.Message{Acknowledge: &peer.Acknowledge{Sequence: request.Sequence}})
	}
}

func waitFor(ctx context.Context, answered <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-answered:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (m *Membership) expect() (uint64, <-chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.sequence++
	answered := make(chan struct{})
	m.pending[m.sequence] = answered
	return m.sequence, answered
}

func (m *Membership) forget(sequence uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.pending, sequence)
}

func (m *Membership) acknowledged(sequence uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if answered, found := m.pending[sequence]; found {
		close(answered)
		delete(m.pending, sequence)
	}
}

// expire has suspects confirmed whose time to refute is over, and forgets the long dead.
func (m *Membership) expire(ctx context.Context, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	suspicion := m.suspicionTime()
	for id, known := range m.members {
		age := now.Sub(known.changedAt)
		switch {
		case known.member.State == peer.Suspect && age >= suspicion && !known.confirming:
			known.confirming = true
			go m.confirmDeath(ctx, known.member)
		case !isUsable(known.member.State) && age >= m.config.KeepDead:
			delete(m.members, id)
		}
	}
}

// confirmationProbes is how many last probes a suspect gets.
const confirmationProbes = 5

// confirmDeath declares a suspect dead unless it answers a last probe. Its refutation may
// have been lost on the way here although all others have it.
func (m *Membership) confirmDeath(ctx context.Context, suspect peer.Member) {
	answers := false
	for range confirmationProbes {
		if answers = m.probeOnce(ctx, suspect); answers || ctx.Err() != nil {
			break
		}
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	known, found := m.members[suspect.ID]
	if !found || known.member != suspect || ctx.Err() != nil {
		return
	}
	if answers {
		suspect.State = peer.Alive
		m.members[suspect.ID] = &record{member: suspect, changedAt: time.Now()}
		return
	}
	suspect.State = peer.Dead
	if m.take(suspect) {
		m.rumours.add(suspect)
	}
}

// probeOnce probes a member directly and reports whether it answered in time.
func (m *Membership) probeOnce(ctx context.Context, target peer.Member) bool {
	sequence, answered := m.expect()
	defer m.forget(sequence)
	m.send(target.Address, peer.Message{Probe: &peer.Probe{Sequence: sequence, TargetID: target.ID}})
	return waitFor(ctx, answered, m.config.ProbeTimeout)
}

func (m *Membership) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(m.members)+1)))
	return time.Duration(m.config.SuspicionIntervals * scale * float64(m.config.ProbeInterval))
}
