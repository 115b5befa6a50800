// Package membership keeps the list of a zone's live nodes by probing and gossip.
//
// Each interval a node probes one member, in a shuffled round so that each is probed once a
// round. A member that does not answer is probed through others, then suspected, and declared
// dead only after it had time to refute. Changes ride on the probes. Bytes a second are
// bounded whatever the zone's size. Zones don't probe each other: a cut between zones kills
// nobody.
package membership

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Listener is told of what messages from other nodes carry besides membership.
type Listener interface {
	// Digest returns the node's own configuration digest, for outgoing messages.
	Digest() peer.Digest
	// Notices returns leaf notices to pass on with an outgoing message.
	Notices() []peer.LeafNotice
	// Receive is told of the digest and notices of an incoming message.
	Receive(from string, digest peer.Digest, notices []peer.LeafNotice)
}

// Membership is the list of live nodes as one node knows it; safe for concurrent use.
type Membership struct {
	config    Config
	transport peer.Transport
	listener  Listener
	random    *rand.Rand // guarded by mutex

	mutex    sync.Mutex
	self     peer.Member
	members  map[string]*record // by id, self left out
	rumours  *rumours
	round    []string // ids still to probe in this round
	sequence uint64
	pending  map[uint64]chan struct{} // probes without an answer yet
	version  uint64                   // raised whenever the set of usable members changes
	cached   []peer.Member
	cachedAt uint64
}

type record struct {
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
		members:   map[string]*record{},
		rumours:   newRumours(),
		pending:   map[uint64]chan struct{}{},
		version:   1,
	}
}

// Self returns the node itself.
func (m *Membership) Self() peer.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.self
}

// Members returns the usable members, self included, sorted by id. Suspects count as usable.
// The slice is shared: callers must not change it.
func (m *Membership) Members() []peer.Member {
	m.mutex.Lock()
	defer m.mutex.Unlock()
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
	slices.SortFunc(usable, func(a, b peer.Member) int { return compareIDs(a.ID, b.ID) })
	m.cached, m.cachedAt = usable, m.version
	return usable
}

func isUsable(state peer.MemberState) bool { return state == peer.Alive || state == peer.Suspect }

func compareIDs(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Counts returns the number of members by state, self included.
func (m *Membership) Counts() map[peer.MemberState]int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
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
			m.expire(ctx, time.Now())
			if target, found := m.nextTarget(); found {
				go m.probe(ctx, target)
			}
		}
	}
}

// Join tells a node of this one and takes over the members that it knows. It reports whether
// the two already knew the same.
func (m *Membership) Join(ctx context.Context, address string) (welcome *peer.Welcome, same bool, err error) {
	join := &peer.Join{Member: m.Self(), Known: m.fingerprint()}
	answer, err := m.transport.Call(ctx, address, peer.Message{Digest: m.listener.Digest(), Join: join})
	if err != nil {
		return nil, false, err
	}
	if answer.Welcome == nil {
		return nil, false, nil
	}
	m.mergeQuietly(answer.Welcome.Members)
	m.listener.Receive(address, answer.Digest, answer.Notices)
	return answer.Welcome, answer.Welcome.Known == join.Known, nil
}

// HandleJoin takes a node in and gives it the members known here, unless it knows the same.
func (m *Membership) HandleJoin(join peer.Join) (members []peer.Member, known uint64) {
	m.merge([]peer.Member{join.Member})
	known = m.fingerprint()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if join.Member.Zone != m.self.Zone {
		return nil, known
	}
	if record, found := m.members[join.Member.ID]; found && !isUsable(record.member.State) {
		// The joining node must hear that it is held for dead, or it can't refute it.
		return append(slices.Clone(m.usable()), record.member), known
	}
	if known == join.Known {
		return nil, known
	}
	return slices.Clone(m.usable()), known
}

// fingerprint is equal for two nodes that know the same usable members. Incarnations are left
// out: they change with every refutation, which the other node need not have heard of.
func (m *Membership) fingerprint() uint64 {
	digest := xxhash.New()
	for _, member := range m.Members() {
		// Writing to a hash can't fail.
		_, _ = digest.WriteString(member.ID + "\n")
	}
	return digest.Sum64()
}

// Leave tells some members that this node is stopping, so that no suspicion is needed.
func (m *Membership) Leave() {
	m.mutex.Lock()
	m.self.State = peer.Left
	m.version++
	m.rumours.add(m.self)
	targets := m.sample(leaveFanOut, "")
	m.mutex.Unlock()
	for _, target := range targets {
		m.send(target.Address, peer.Message{})
	}
}

// leaveFanOut is how many members are told of a planned stop at once.
const leaveFanOut = 8

// HandleDatagram takes what a datagram says of members, and answers probes.
func (m *Membership) HandleDatagram(message peer.Message) {
	m.merge(message.Members)
	m.listener.Receive(message.From, message.Digest, message.Notices)
	switch {
	case message.Probe != nil:
		m.answerProbe(message.From, *message.Probe)
	case message.Acknowledge != nil:
		m.acknowledged(message.Acknowledge.Sequence)
	case message.ProbeRequest != nil:
		go m.probeFor(message.From, *message.ProbeRequest)
	}
}

// send adds the digest, notices and rumours that ride on every datagram.
func (m *Membership) send(address string, message peer.Message) {
	message.Digest = m.listener.Digest()
	message.Notices = m.listener.Notices()
	m.mutex.Lock()
	message.Members = m.rumours.next(m.config.RumoursPerMessage, m.rumourPasses())
	m.mutex.Unlock()
	m.transport.Send(address, message)
}

// rumourPasses grows with the logarithm of the zone's size.
func (m *Membership) rumourPasses() int {
	return m.config.RumourFactor * int(math.Ceil(math.Log10(float64(len(m.members)+2))))
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
	m.mutex.Lock()
	defer m.mutex.Unlock()
	chosen := m.sample(1, "")
	if len(chosen) == 0 {
		return peer.Member{}, false
	}
	return chosen[0], true
}

// merge takes word of members and passes on what is news; word of other zones is ignored.
func (m *Membership) merge(members []peer.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, member := range members {
		if m.take(member) {
			m.rumours.add(member)
		}
	}
}

// mergeQuietly takes a whole list over without passing it on: what is news to a node that
// joins is known to the others. A member that this node holds for dead but the list does not
// is taken for alive again: a node that was cut off alone holds everyone for dead.
func (m *Membership) mergeQuietly(members []peer.Member) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, member := range members {
		known, found := m.members[member.ID]
		if found && known.member.State == peer.Dead && known.member.Incarnation == member.Incarnation && isUsable(member.State) {
			delete(m.members, member.ID)
		}
		m.take(member)
	}
}

// refute answers word that this node is suspect or dead with a higher incarnation.
func (m *Membership) refute(member peer.Member) {
	if member.State == peer.Alive || m.self.State == peer.Left || member.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = member.Incarnation + 1
	m.version++
	m.rumours.add(m.self)
}

// take learns of a member and reports whether that changed the usable members or their states.
func (m *Membership) take(member peer.Member) bool {
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
	m.members[member.ID] = &record{member: member, changedAt: time.Now()}
	if !found && !isUsable(member.State) {
		// A death never heard of before still stops older word of life, but is no news.
		return false
	}
	m.version++
	return true
}

// supersedes reports whether word of a member is newer than what is known.
func supersedes(word, known peer.Member) bool {
	if word.Incarnation != known.Incarnation {
		return word.Incarnation > known.Incarnation
	}
	return stateRank(word.State) > stateRank(known.State)
}

func stateRank(state peer.MemberState) int {
	return slices.Index([]peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead}, state)
}
