// Package membership keeps the list of a zone's live nodes by probes and gossip, as SWIM does.
//
// Each interval a node probes one member, in shuffled rounds that probe every member once. A member that does
// not answer is probed through others, then suspected, and declared dead only after it had time to refute that
// (probe.go). Changes are gossiped on the probes (updates.go), so that the bytes per second are bounded whatever
// the zone's size. Zones don't probe each other: a cut between zones makes no node dead.
//
// A Membership owns the list and one goroutine per probe, which end with the context of Run. It relies on the
// peer transport, and its Listener provides and receives what else travels on the datagrams. Times are by the
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

// leaveFanOut is how many members are notified of a planned stop directly; gossip reaches the others.
const leaveFanOut = 8

// Listener provides and receives what the datagrams of the membership carry besides members.
type Listener interface {
	// Digest returns the node's own configuration digest, for outgoing messages.
	Digest() peer.Digest
	// Notices returns leaf notices to pass on with an outgoing message.
	Notices() []peer.LeafNotice
	// Receive receives the digest and the notices of an incoming message.
	Receive(from string, digest peer.Digest, notices []peer.LeafNotice)
}

// Membership is the list of live nodes as one node knows it; safe for concurrent use.
type Membership struct {
	config    Config
	transport peer.Transport
	listener  Listener
	random    *rand.Rand // guarded by mu

	mu         sync.Mutex
	self       peer.Member
	members    map[string]*knownMember // by id, self left out
	updates    *updateQueue
	probeRound []string     // ids still to probe in this round
	probes     peer.Pending // those without an answer yet
	version    uint64       // raised whenever the set of usable members changes
	cached     []peer.Member
	cachedAt   uint64
}

// knownMember is what this node knows of another member.
type knownMember struct {
	member     peer.Member
	changedAt  time.Time
	confirming bool // a suspect whose time is up is being probed a last time
}

// New returns a membership of one: self, with its id, zone and peer address.
func New(config Config, self peer.Member, transport peer.Transport, listener Listener, seed uint64) *Membership {
	self.State = peer.Alive
	return &Membership{
		config:    config,
		transport: transport,
		listener:  listener,
		random:    rand.New(rand.NewPCG(seed, 1)),
		self:      self,
		members:   map[string]*knownMember{},
		updates:   newUpdateQueue(),
		version:   1,
	}
}

// Self returns the node itself.
func (m *Membership) Self() peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members returns the usable members, self included, sorted by id. Suspects count as usable. The slice is
// shared: callers must not change it.
func (m *Membership) Members() []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.usable()
}

func (m *Membership) usable() []peer.Member {
	if m.cachedAt == m.version {
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
	m.cached, m.cachedAt = usable, m.version
	return usable
}

func isUsable(state peer.MemberState) bool { return state == peer.Alive || state == peer.Suspect }

// Counts returns the number of members by state, self included.
func (m *Membership) Counts() map[peer.MemberState]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := map[peer.MemberState]int{m.self.State: 1}
	for _, known := range m.members {
		counts[known.member.State]++
	}
	return counts
}

// Run probes until the context ends.
func (m *Membership) Run(ctx context.Context) {
	ticker := time.NewTicker(m.config.ProbeInterval)
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

// Join announces this node to another one and merges the members known there. It reports whether both knew the
// same members before.
func (m *Membership) Join(ctx context.Context, address string) (welcome *peer.Welcome, same bool, err error) {
	join := &peer.Join{Member: m.Self(), Known: m.fingerprint()}
	answer, err := m.transport.Call(ctx, address, peer.Message{Digest: m.listener.Digest(), Join: join})
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

// HandleJoin admits a node and returns the members known here, unless it knows the same.
func (m *Membership) HandleJoin(join peer.Join) (members []peer.Member, known uint64) {
	m.merge([]peer.Member{join.Member})
	known = m.fingerprint()
	m.mu.Lock()
	defer m.mu.Unlock()
	if join.Member.Zone != m.self.Zone {
		return nil, known
	}
	if joining, found := m.members[join.Member.ID]; found && !isUsable(joining.member.State) {
		// The joining node must learn that it is considered dead, or it can't refute that.
		return append(slices.Clone(m.usable()), joining.member), known
	}
	if known == join.Known {
		return nil, known
	}
	return slices.Clone(m.usable()), known
}

// fingerprint is equal for two nodes that know the same usable members. Incarnations are left out: they change
// with every refutation, which the other node may not have received.
func (m *Membership) fingerprint() uint64 {
	digest := xxhash.New()
	for _, member := range m.Members() {
		// Writing to a hash can't fail.
		_, _ = digest.WriteString(member.ID + "\n")
	}
	return digest.Sum64()
}

// Leave notifies some members that this node is stopping, so that no suspicion is needed.
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

// HandleDatagram merges what a datagram says of members, and answers probes.
func (m *Membership) HandleDatagram(message peer.Message) {
	m.merge(message.Members)
	m.listener.Receive(message.From, message.Digest, message.Notices)
	switch {
	case message.Probe != nil:
		m.answerProbe(message.From, *message.Probe)
	case message.Acknowledge != nil:
		m.acknowledged(message.Acknowledge.Sequence)
	case message.ProbeRequest != nil:
		go m.probeOnBehalf(message.From, *message.ProbeRequest)
	}
}

// send adds the digest, notices and updates that every datagram carries.
func (m *Membership) send(address string, message peer.Message) {
	message.Digest = m.listener.Digest()
	message.Notices = m.listener.Notices()
	m.mu.Lock()
	message.Members = m.updates.next(m.config.UpdatesPerMessage, m.maximumTransmissions())
	m.mu.Unlock()
	m.transport.Send(address, message)
}

// maximumTransmissions grows with the logarithm of the zone's size.
func (m *Membership) maximumTransmissions() int {
	return m.config.RetransmitFactor * int(math.Ceil(math.Log10(float64(len(m.members)+2))))
}

// sample returns random usable members other than self and the excluded one.
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

// merge merges reports of members and gossips those that are news; members of other zones are ignored.
func (m *Membership) merge(members []peer.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if m.update(member) {
			m.updates.add(member)
		}
	}
}

// mergeList merges a whole list without gossiping it: what is news to a node that joins is known to the others.
// A member that this node considers dead but the list does not is alive again: a node that was cut off alone
// considers all others dead.
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

// refute answers a report that this node is suspect or dead with a higher incarnation.
func (m *Membership) refute(member peer.Member) {
	if member.State == peer.Alive || m.self.State == peer.Left || member.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = member.Incarnation + 1
	m.version++
	m.updates.add(m.self)
}

// update merges a report of a member, and reports whether that changed the usable members or their states.
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
		// The death of an unknown member is no news, but overrides older reports that it is alive.
		return false
	}
	m.version++
	return true
}

// supersedes reports whether a report of a member is newer than what is known.
func supersedes(reported, known peer.Member) bool {
	if reported.Incarnation != known.Incarnation {
		return reported.Incarnation > known.Incarnation
	}
	return stateRank(reported.State) > stateRank(known.State)
}

func stateRank(state peer.MemberState) int {
	return slices.Index([]peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead}, state)
}
