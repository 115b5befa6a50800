// Package configsync distributes the configuration from the platform's store to every node.
//
// Only a few nodes of each zone read the store and distribute the changes within the zone. The files implement these
// steps:
//
//   - watchers: a rendezvous hash over the zone's live members ranks its watchers, the same on all nodes.
//   - watch: the first watcher follows the store; storestate reads the whole state if single changes don't suffice.
//   - standby: the other watchers rely on those of higher rank, and check the store if no peer confirms the
//     configuration in force.
//   - unranked: other nodes check the store soon after their start, and as reserves if all watchers fail.
//   - push: changes are relayed down a tree of the zone's nodes, which is random per push to spread the load;
//     push_check verifies that the push of a standby reached all members.
//   - reorder: changes of pushes that overtake each other are sorted.
//   - digest: nodes detect missed changes by the digests on membership probes.
//   - pull: a node fetches missed changes from a peer, and a zone without the store from another zone;
//     snapshots serves whole states at a bounded rate.
//
// A starting node (startup) gets its first state from its seeds or the store. Meanwhile it joins its zone (join) and
// collects contacts in other zones (contacts). After a restore of the store, restored brings a node to the new epoch.
// leaving records notices that a leaf is leaving, leaving_push distributes them to all zones, and status counts the nodes
// that have a revision in force.
//
// The package owns the loops that Syncer.Run starts and the state of the distribution. The configuration itself belongs
// to the catalog, which applies changes in revision order and never goes back. The package uses the store, the machine
// list, the membership of the zone and the peer transport. The age of the configuration is measured with the catalog's
// clock, which includes the time of a suspension; everything else is timed by the monotonic clock.
package configsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/wait"
)

// pushBacklog is how many changes may be queued for a push. Nodes pull the changes that overflow.
const pushBacklog = 1024

// LeafNoticer receives the IDs of leafs that must get no new requests.
type LeafNoticer interface {
	SetLeaving(leafID string, until time.Time)
}

// Deps are the dependencies of a Syncer. Store and Machines belong to the platform.
type Deps struct {
	Config    Config
	Catalog   *catalog.Catalog
	Store     store.Store
	Machines  machines.Lister
	Transport peer.Transport
	Leafs     LeafNoticer
	Logger    *zap.Logger
	// Seeds are peer addresses to join through in addition to those on the machine list.
	Seeds []string
	// Memory is the budget for what is unpacked from other nodes' messages. It may be nil.
	Memory *memorybudget.Budget
	// MessageSent is called with the kind of each sent message. It may be nil.
	MessageSent func(kind string)
	// StateDropped is called for each whole state of the store that is dropped because it is older than the
	// configuration in force. It may be nil.
	StateDropped func()
	// LeafLeaving is called for each new notice that a leaf is leaving, but not for renewals. It may be nil.
	LeafLeaving func(leafID string, source NoticeSource)
	// Settled returns the revision up to which the node is settled: it sends no requests under older rules and has
	// none in flight. If it is nil, the node is settled up to the revision in force.
	Settled func() int64
}

// Syncer distributes the configuration on one node. It is safe for concurrent use.
type Syncer struct {
	cfg       Config
	catalog   *catalog.Catalog
	store     store.Store
	machines  machines.Lister
	transport peer.Transport
	memory    *memorybudget.Budget
	leafs     LeafNoticer
	logger    *zap.Logger
	seeds     []string // guarded by mu
	relayed   func(kind string)
	dropped   func()
	onLeaving func(leafID string, source NoticeSource)
	settledAt func() int64
	members   *membership.Membership

	startedAt   time.Time
	ready       chan struct{} // closed once initialized
	initialized atomic.Bool   // the node has configuration
	joined      atomic.Bool   // the zone's members are known well enough to rank watchers
	storeDownAt atomic.Int64  // when following the store failed, in Unix nanoseconds; 0 while it works
	resumed     atomic.Bool   // the machine was suspended since the watch was opened
	droppedLog  rate.Sometimes

	// hasReadAsStandby says that the node has checked the store since it became a standby. Only the watch loop uses it.
	hasReadAsStandby bool
	// unrankedCheckAfter is how long the configuration in force may be unconfirmed before the node, if it has no rank and
	// has just started, checks the store.
	unrankedCheckAfter time.Duration
	// unrankedCheckAt is when the node, without a rank, last checked the store. Only the watch loop uses it.
	unrankedCheckAt time.Time

	// The flags below are set while a task runs that must run only once at a time.
	checkingPush     atomic.Bool
	pulling          atomic.Bool
	pullPending      atomic.Bool
	pullingRetained  atomic.Bool
	readingForLegacy atomic.Bool

	newNotices chan struct{} // signals unpushed notices to noticeLoop
	pushes     chan catalog.Change
	lastPushAt atomic.Int64 // when the last push arrived, in Unix nanoseconds
	snapshots  snapshotServer
	reorder    reorderBuffer

	mu           sync.Mutex
	contacts     map[string][]string    // peer addresses of other zones
	notices      map[string]*notice     // by leaf ID
	outboxes     map[string]*zoneOutbox // by destination zone
	newestPushed int64                  // newest revision received or sent by push
	lastRead     boottime.Instant       // when a datagram was last read
	// suspendedFor is the length of the last suspension of the machine. Until suspendedUntil, datagrams from before it
	// may still be read.
	suspendedFor   time.Duration
	suspendedUntil time.Time
}

// withDefaults replaces nil functions by defaults.
func (d Deps) withDefaults() Deps {
	if d.MessageSent == nil {
		d.MessageSent = func(string) {}
	}
	if d.StateDropped == nil {
		d.StateDropped = func() {}
	}
	if d.LeafLeaving == nil {
		d.LeafLeaving = func(string, NoticeSource) {}
	}
	if d.Settled == nil {
		d.Settled = d.Catalog.Revision
	}
	return d
}

// New returns a syncer. SetMembership must be called before Run.
func New(deps Deps) *Syncer {
	deps = deps.withDefaults()
	return &Syncer{
		cfg:        deps.Config,
		catalog:    deps.Catalog,
		store:      deps.Store,
		machines:   deps.Machines,
		transport:  deps.Transport,
		memory:     deps.Memory,
		leafs:      deps.Leafs,
		logger:     deps.Logger,
		seeds:      deps.Seeds,
		relayed:    deps.MessageSent,
		dropped:    deps.StateDropped,
		onLeaving:  deps.LeafLeaving,
		settledAt:  deps.Settled,
		startedAt:  time.Now(),
		ready:      make(chan struct{}),
		pushes:     make(chan catalog.Change, pushBacklog),
		newNotices: make(chan struct{}, 1),
		contacts:   map[string][]string{},
		notices:    map[string]*notice{},
		outboxes:   map[string]*zoneOutbox{},
		droppedLog: rate.Sometimes{First: 1, Interval: droppedLogInterval},

		unrankedCheckAfter: drawUnrankedCheckAfter(deps.Config),
	}
}

// SetMembership sets the zone's members. The syncer must be the listener of the membership.
func (s *Syncer) SetMembership(members *membership.Membership) { s.members = members }

// SetSeeds sets the peer addresses to join through.
func (s *Syncer) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Ready returns a channel that is closed once the node has configuration, even an empty one.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Run distributes configuration until the context is done.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.joinLoop, s.watchLoop, s.pushLoop, s.machineLoop, s.noticeLoop, s.contactLoop, s.crossZoneLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// markInitialized records that the node has configuration, and closes the Ready channel.
func (s *Syncer) markInitialized() {
	if s.initialized.CompareAndSwap(false, true) {
		close(s.ready)
	}
}

// pause waits for a jittered duration, so that nodes that failed at the same time don't retry at the same time. It
// returns false if the context is done.
func pause(ctx context.Context, duration time.Duration) bool {
	return wait.For(ctx, wait.Jittered(duration))
}

// backoff doubles a pause, up to the maximum.
func (s *Syncer) backoff(current time.Duration) time.Duration {
	return min(2*current, s.cfg.MaxRetryPause)
}
