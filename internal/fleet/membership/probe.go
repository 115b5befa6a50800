package membership

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// suspectNotifications is how many times a node notifies a member that it suspects. Gossip alone reaches the suspect
// too late if many messages are lost.
const suspectNotifications = 4

// confirmationProbes is how many times a suspect is probed before it is declared dead.
const confirmationProbes = 5

// answerProbe acknowledges a probe of this node. If this node doesn't consider the prober alive, it queues that update
// first, since the prober can refute only what it has been told.
func (m *Membership) answerProbe(prober string, probe peer.Probe) {
	if probe.TargetID != m.Self().ID {
		return
	}
	m.mu.Lock()
	for _, known := range m.members {
		if known.member.Address == prober && known.member.State != peer.Alive {
			m.updates.add(known.member)
		}
	}
	m.mu.Unlock()
	m.send(prober, peer.Message{Acknowledge: &peer.Acknowledge{Sequence: probe.Sequence}})
}

// nextTarget returns the next member to probe in the shuffled round.
func (m *Membership) nextTarget() (peer.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for range 2 {
		for len(m.probeRound) > 0 {
			id := m.probeRound[len(m.probeRound)-1]
			m.probeRound = m.probeRound[:len(m.probeRound)-1]
			if known, found := m.members[id]; found && isUsable(known.member.State) {
				return known.member, true
			}
		}
		for id := range m.members {
			m.probeRound = append(m.probeRound, id)
		}
		slices.Sort(m.probeRound)
		m.random.Shuffle(len(m.probeRound), func(i, j int) { m.probeRound[i], m.probeRound[j] = m.probeRound[j], m.probeRound[i] })
	}
	return peer.Member{}, false
}

// probe probes a member. Without an answer within Config.ProbeTimeout, it asks Config.IndirectProbes others to probe
// the member. Without an answer within another two times Config.ProbeTimeout, it marks the member as suspect.
func (m *Membership) probe(ctx context.Context, target peer.Member) {
	sequence, answered := m.openProbe()
	defer m.closeProbe(sequence)
	m.send(target.Address, peer.Message{Probe: &peer.Probe{Sequence: sequence, TargetID: target.ID}})
	if awaitAnswer(ctx, answered, m.cfg.ProbeTimeout) {
		return
	}
	m.mu.Lock()
	helpers := m.sample(m.cfg.IndirectProbes, target.ID)
	m.mu.Unlock()
	for _, helper := range helpers {
		m.send(helper.Address, peer.Message{ProbeRequest: &peer.ProbeRequest{
			Sequence: sequence, TargetID: target.ID, TargetAddress: target.Address,
		}})
	}
	if awaitAnswer(ctx, answered, 2*m.cfg.ProbeTimeout) || ctx.Err() != nil {
		return
	}
	target.State = peer.Suspect
	m.merge([]peer.Member{target})
	m.notifySuspect(ctx, target)
}

// notifySuspect notifies a suspect of the suspicion, so that it can refute it.
func (m *Membership) notifySuspect(ctx context.Context, suspect peer.Member) {
	for range suspectNotifications {
		m.transport.Send(suspect.Address, peer.Message{Digest: m.listener.Digest(), Members: []peer.Member{suspect}})
		if !wait.For(ctx, m.cfg.ProbeInterval) {
			return
		}
		m.mu.Lock()
		known, found := m.members[suspect.ID]
		refuted := !found || known.member.State != peer.Suspect
		m.mu.Unlock()
		if refuted {
			return
		}
	}
}

// probeOnBehalf probes a member on behalf of another node and forwards the acknowledgement to that node.
func (m *Membership) probeOnBehalf(requester string, request peer.ProbeRequest) {
	if m.probeOnce(context.Background(), peer.Member{ID: request.TargetID, Address: request.TargetAddress}) {
		m.send(requester, peer.Message{Acknowledge: &peer.Acknowledge{Sequence: request.Sequence}})
	}
}

// awaitAnswer waits for the answer to a probe, and reports whether it arrived before the timeout.
func awaitAnswer(ctx context.Context, answered <-chan struct{}, timeout time.Duration) bool {
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

func (m *Membership) openProbe() (uint64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pendingProbes.Open()
}

func (m *Membership) closeProbe(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingProbes.Close(sequence)
}

func (m *Membership) handleAcknowledge(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingProbes.Answer(sequence)
}

// expireSuspects starts confirmDeath for suspects that did not refute the suspicion in time, and removes members that
// have been dead or gone for Config.KeepDead.
func (m *Membership) expireSuspects(ctx context.Context, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	suspicion := m.suspicionTime()
	for id, known := range m.members {
		age := now.Sub(known.changedAt)
		switch {
		case known.member.State == peer.Suspect && age >= suspicion && !known.confirming:
			known.confirming = true
			go m.confirmDeath(ctx, known.member)
		case !isUsable(known.member.State) && age >= m.cfg.KeepDead:
			delete(m.members, id)
		}
	}
}

// confirmDeath declares a suspect dead unless it answers one of confirmationProbes probes. The probes are necessary
// because its refutation may have reached all nodes except this one.
func (m *Membership) confirmDeath(ctx context.Context, suspect peer.Member) {
	answered := false
	for range confirmationProbes {
		if answered = m.probeOnce(ctx, suspect); answered || ctx.Err() != nil {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.members[suspect.ID]
	if !found || known.member != suspect || ctx.Err() != nil {
		return
	}
	if answered {
		suspect.State = peer.Alive
		m.members[suspect.ID] = &knownMember{member: suspect, changedAt: time.Now()}
		return
	}
	suspect.State = peer.Dead
	if m.update(suspect) {
		m.updates.add(suspect)
	}
}

// probeOnce probes a member directly and reports whether it answered in time.
func (m *Membership) probeOnce(ctx context.Context, target peer.Member) bool {
	sequence, answered := m.openProbe()
	defer m.closeProbe(sequence)
	m.send(target.Address, peer.Message{Probe: &peer.Probe{Sequence: sequence, TargetID: target.ID}})
	return awaitAnswer(ctx, answered, m.cfg.ProbeTimeout)
}

// suspicionTime returns the time in which a suspect can refute: Config.SuspicionIntervals probe intervals times the
// decimal logarithm of the zone's size, since gossip takes longer in a larger zone.
func (m *Membership) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(m.members)+1)))
	return time.Duration(m.cfg.SuspicionIntervals * scale * float64(m.cfg.ProbeInterval))
}
