// Package membership maintains the list of a zone's live nodes with the SWIM protocol.
//
// In each interval, a node probes one member, in shuffled rounds that cover every member once. If a member does
// not answer, the node asks other members to probe it, then suspects it, and declares it dead only after a period
// in which the member can refute the suspicion (probe.go). Membership changes are piggybacked on the probes
// (updates.go), so the bandwidth is bounded regardless of the zone's size. Nodes probe only members of their own
// zone, so a network partition between zones makes no node dead.
//
// A Membership owns the list and one goroutine per probe; the goroutines end with the context of Run. It uses the
// peer transport. Its Listener provides and receives the other content of the datagrams. Times are measured on the
// monotonic clock.
package membership

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// leaveFanOut is the number of members that are notified directly of a planned stop; gossip reaches the others.
const leaveFanOut = 8

// Listener provides and receives the content of membership datagrams other than members.
type Listener interface {
	// Digest returns the node's own configuration digest, for outgoing messages.
	Digest() peer.Digest
	// Notices returns the leaf notices to send with an outgoing message.
	Notices() []peer.LeafNotice
	// Receive handles the digest and the notices of an incoming message.
	Receive(from string, digest peer.Digest, notices []peer.LeafNotice)
}

// Membership is one node's view of the live nodes. It is safe for concurrent use.
type Membership struct {
	cfg       Config
	transport peer.Transport
	listener  Listener
	random    *rand.Rand // guarded by mu

	mu            sync.Mutex
	self          peer.Member
	members       map[string]*knownMember // by ID; excludes self
	updates       *updateQueue
	probeRound    []string     // IDs of the members not yet probed in this round
	pendingProbes peer.Pending // probes without an answer yet
	version       uint64       // incremented whenever the set of usable members changes
	cached        []peer.Member
	cachedVersion uint64
}

// knownMember is this node's record of another member.
type knownMember struct {
	member     peer.Member
	changedAt  time.Time
	confirming bool // the suspicion timeout has passed and confirmDeath is running
}

// New returns a membership whose only member is self. ID, Zone and Address of self must be set.
func New(cfg Config, self peer.Member, transport peer.Transport, listener Listener, seed uint64) *Membership {
	self.State = peer.Alive
	return &Membership{
		cfg:       cfg,
		transport: transport,
		listener:  listener,
		random:    rand.New(rand.NewPCG(seed, 1)),
		self:      self,
		members:   map[string]*knownMember{},
		updates:   newUpdateQueue(),
		version:   1,
	}
}

// Self returns this node's own member record.
func (m *Membership) Self() peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members returns the usable members, including self, sorted by ID. Suspects count as usable. The slice is shared;
// callers must not modify it.
func (m *Membership) Members() []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usable()
}

func (m *Membership) usable() []peer.Member {
	if m.cachedVersion == m.version {
		return m.cached
	}
	usable := make([]peer.Member, 0, len(m.members)+1)
	if m.self.State == peer.Alive {
		usable = append(usable, m.self)
	}
	for _, known := range m.members {
		if isUsable(known.member.State) {
			usable = append(usable, known.member)
		}
	}
	slices.SortFunc(usable, func(a, b peer.Member) int { return strings.Compare(a.ID, b.ID) })
	m.cached, m.cachedVersion = usable, m.version
	return usable
}

func isUsable(state peer.MemberState) bool { return state == peer.Alive || state == peer.Suspect }

// Counts returns the number of members in each state, including self.
func (m *Membership) Counts() map[peer.MemberState]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[peer.MemberState]int{m.self.State: 1}
	for _, known := range m.members {
		counts[known.member.State]++
	}
	return counts
}

// Run probes until the context is done.
func (m *Membership) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.ProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.expireSuspects(ctx, time.Now())
			if target, found := m.nextTarget(); found {
				go m.probe(ctx, target)
			}
		}
	}
}

// Join announces this node to another one and merges the members that the other node knows. It reports whether both
// nodes had the same members before.
func (m *Membership) Join(ctx context.Context, address string) (welcome *peer.Welcome, same bool, err error) {
	join := &peer.Join{Member: m.Self(), Known: m.fingerprint()}
	answer, err := m.transport.Call(ctx, address, peer.Message{Digest: m.listener.Digest(), Join: join})
	defer answer.Release()
	if err != nil {
		return nil, false, err
	}
	if answer.Welcome == nil {
		return nil, false, nil
	}
	m.mergeList(answer.Welcome.Members)
	m.listener.Receive(address, answer.Digest, answer.Notices)
	return answer.Welcome, answer.Welcome.Known == join.Known, nil
}

// HandleJoin admits a node. It returns the members that this node knows, unless the joining node has the same ones,
// and their fingerprint.
func (m *Membership) HandleJoin(join peer.Join) (members []peer.Member, known uint64) {
	m.merge([]peer.Member{join.Member})
	known = m.fingerprint()
	m.mu.Lock()
	defer m.mu.Unlock()
	if join.Member.Zone != m.self.Zone {
		return nil, known
	}
	if joining, found := m.members[join.Member.ID]; found && !isUsable(joining.member.State) {
		// The joining node can refute its death only if it is told about it.
		return append(slices.Clone(m.usable()), joining.member), known
	}
	if known == join.Known {
		return nil, known
	}
	return slices.Clone(m.usable()), known
}

// fingerprint returns a hash that is equal on two nodes with the same usable members. It ignores incarnations: they
// change with every refutation, and the other node may not have received the latest one.
func (m *Membership) fingerprint() uint64 {
	digest := xxhash.New()
	for _, member := range m.Members() {
		// Writing to a hash can't fail.
		_, _ = digest.WriteString(member.ID + "\n")
	}
	return digest.Sum64()
}

// Leave marks this node as stopping and notifies some members, so that they remove it without suspecting it first.
func (m *Membership) Leave() {
	m.mu.Lock()
	m.self.State = peer.Left
	m.version++
	m.updates.add(m.self)
	targets := m.sample(leaveFanOut, "")
	m.mu.Unlock()
	for _, target := range targets {
		m.send(target.Address, peer.Message{})
	}
}

// HandleDatagram merges the members of a datagram and answers probes.
func (m *Membership) HandleDatagram(message peer.Message) {
	m.merge(message.Members)
	m.listener.Receive(message.From, message.Digest, message.Notices)
	switch {
	case message.Probe != nil:
		m.answerProbe(message.From, *message.Probe)
	case message.Acknowledge != nil:
		m.handleAcknowledge(message.Acknowledge.Sequence)
	case message.ProbeRequest != nil:
		go m.probeOnBehalf(message.From, *message.ProbeRequest)
	}
}

// send sends a message with the digest, notices and updates that every datagram carries.
func (m *Membership) send(address string, message peer.Message) {
	message.Digest = m.listener.Digest()
	message.Notices = m.listener.Notices()
	m.mu.Lock()
	message.Members = m.updates.next(m.cfg.UpdatesPerMessage, m.maxTransmissions())
	m.mu.Unlock()
	m.transport.Send(address, message)
}

// maxTransmissions returns how many times this node sends an update. It grows with the logarithm of the zone's size.
func (m *Membership) maxTransmissions() int {
	return m.cfg.RetransmitFactor * int(math.Ceil(math.Log10(float64(len(m.members)+2))))
}

// sample returns up to count random usable members other than self and the excluded one. m.mu must be held.
func (m *Membership) sample(count int, excluded string) []peer.Member {
	var others []peer.Member
	for _, member := range m.usable() {
		if member.ID != m.self.ID && member.ID != excluded {
			others = append(others, member)
		}
	}
	m.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// Random returns a random usable member other than self.
func (m *Membership) Random() (peer.Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	chosen := m.sample(1, "")
	if len(chosen) == 0 {
		return peer.Member{}, false
	}
	return chosen[0], true
}

// merge merges reports about members and gossips the ones that change the list. It ignores members of other zones.
func (m *Membership) merge(members []peer.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if m.update(member) {
			m.updates.add(member)
		}
	}
}

// mergeList merges a whole list without gossiping it, since the other nodes have the content already. If this node
// considers a member dead and the list does not, the list prevails: an isolated node considers all others dead.
func (m *Membership) mergeList(members []peer.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		known, found := m.members[member.ID]
		if found && known.member.State == peer.Dead && known.member.Incarnation == member.Incarnation && isUsable(member.State) {
			delete(m.members, member.ID)
		}
		m.update(member)
	}
}

// refute responds to a report that this node is suspect or dead by raising its incarnation.
func (m *Membership) refute(member peer.Member) {
	if member.State == peer.Alive || m.self.State == peer.Left || member.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = member.Incarnation + 1
	m.version++
	m.updates.add(m.self)
}

// update merges a report about a member, and reports whether the usable members or their states changed.
// m.mu must be held.
func (m *Membership) update(member peer.Member) bool {
	if member.Zone != m.self.Zone || member.ID == "" {
		return false
	}
	if member.ID == m.self.ID {
		m.refute(member)
		return false
	}
	known, found := m.members[member.ID]
	if found && !supersedes(member, known.member) {
		return false
	}
	m.members[member.ID] = &knownMember{member: member, changedAt: time.Now()}
	if !found && !isUsable(member.State) {
		// The death of an unknown member changes nothing, but it is stored to override older reports that the member
		// is alive.
		return false
	}
	m.version++
	return true
}

// supersedes reports whether a report about a member overrides the known one.
func supersedes(reported, known peer.Member) bool {
	if reported.Incarnation != known.Incarnation {
		return reported.Incarnation > known.Incarnation
	}
	return stateRank(reported.State) > stateRank(known.State)
}

func stateRank(state peer.MemberState) int {
	return slices.Index([]peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead}, state)
}
