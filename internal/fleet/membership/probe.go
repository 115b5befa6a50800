package membership

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/wait"
)

// suspectNotices is how many times a suspect is notified by the node that suspects it. Gossip alone reaches it
// too late if many messages are lost.
const suspectNotices = 4

// confirmationProbes is how many last probes a suspect gets.
const confirmationProbes = 5

// answerProbe acknowledges a probe of this node. A prober that is suspect or dead here is notified of that,
// since it can refute only what it knows.
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

// nextTarget returns the next member of the shuffled round.
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

// probe decides whether a member is suspected: it probes the member, after Config.ProbeTimeout asks
// Config.IndirectProbes others to probe it, and suspects it if there is still no answer after twice
// Config.ProbeTimeout.
func (m *Membership) probe(ctx context.Context, target peer.Member) {
	sequence, answered := m.openProbe()
	defer m.closeProbe(sequence)
	m.send(target.Address, peer.Message{Probe: &peer.Probe{Sequence: sequence, TargetID: target.ID}})
	if awaitAnswer(ctx, answered, m.config.ProbeTimeout) {
		return
	}
	m.mu.Lock()
	helpers := m.sample(m.config.IndirectProbes, target.ID)
	m.mu.Unlock()
	for _, helper := range helpers {
		m.send(helper.Address, peer.Message{ProbeRequest: &peer.ProbeRequest{
			Sequence: sequence, TargetID: target.ID, TargetAddress: target.Address,
		}})
	}
	if awaitAnswer(ctx, answered, 2*m.config.ProbeTimeout) || ctx.Err() != nil {
		return
	}
	target.State = peer.Suspect
	m.merge([]peer.Member{target})
	m.notifySuspect(ctx, target)
}

// notifySuspect sends a suspicion to the suspect itself, so that it can refute it.
func (m *Membership) notifySuspect(ctx context.Context, suspect peer.Member) {
	for range suspectNotices {
		m.transport.Send(suspect.Address, peer.Message{Digest: m.listener.Digest(), Members: []peer.Member{suspect}})
		if !wait.For(ctx, m.config.ProbeInterval) {
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

// probeOnBehalf probes a member on behalf of another node and passes on its answer.
func (m *Membership) probeOnBehalf(requester string, request peer.ProbeRequest) {
	if m.probeOnce(context.Background(), peer.Member{ID: request.TargetID, Address: request.TargetAddress}) {
		m.send(requester, peer.Message{Acknowledge: &peer.Acknowledge{Sequence: request.Sequence}})
	}
}

// awaitAnswer reports whether a probe is answered before a timeout.
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
	return m.probes.Open()
}

func (m *Membership) closeProbe(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes.Close(sequence)
}

func (m *Membership) acknowledged(sequence uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes.Answer(sequence)
}

// expireSuspects probes suspects a last time whose time to refute is over, and forgets members that have been
// dead for Config.KeepDead.
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
		case !isUsable(known.member.State) && age >= m.config.KeepDead:
			delete(m.members, id)
		}
	}
}

// confirmDeath decides whether a suspect is dead: it is, unless it answers one of confirmationProbes last
// probes. Its refutation may not have reached this node although all others received it.
func (m *Membership) confirmDeath(ctx context.Context, suspect peer.Member) {
	answers := false
	for range confirmationProbes {
		if answers = m.probeOnce(ctx, suspect); answers || ctx.Err() != nil {
			break
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known, found := m.members[suspect.ID]
	if !found || known.member != suspect || ctx.Err() != nil {
		return
	}
	if answers {
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
	return awaitAnswer(ctx, answered, m.config.ProbeTimeout)
}

// suspicionTime returns how long a suspect has to refute: Config.SuspicionIntervals probe intervals times the
// decimal logarithm of the zone's size, since gossip takes longer in a larger zone.
func (m *Membership) suspicionTime() time.Duration {
	scale := math.Max(1, math.Log10(float64(len(m.members)+1)))
	return time.Duration(m.config.SuspicionIntervals * scale * float64(m.config.ProbeInterval))
}
