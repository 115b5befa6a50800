// Package configsync brings every accepted change of configuration to every node.
//
// A few nodes of each zone, picked by rendezvous hashing over its live members, watch the
// store. The first of them pushes each change down a tree of the zone's nodes that is drawn
// anew for each push, so that relaying is shared; the others push only if that push does not
// reach them. Digests that ride on membership probes reveal what a node missed, and it pulls
// that from the peer. A zone cut off from the store pulls from other zones. A node applies
// changes in order of revision and never goes back, whatever it is sent.
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
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/wait"
)

// LeafNoticer is told of leafs that must get no new work.
type LeafNoticer interface {
	SetLeaving(leafID string, until time.Time)
}

// Deps are what a syncer is built from. Store and Machines belong to the platform.
type Deps struct {
	Config    Config
	Catalog   *catalog.Catalog
	Store     store.Store
	Machines  machines.Lister
	Transport peer.Transport
	Leafs     LeafNoticer
	Logger    *zap.Logger
	// Seeds are peer addresses to join through besides those on the machine list.
	Seeds []string
	// Relayed is told of messages sent, by kind; it may be nil.
	Relayed func(kind string)
	// StateDropped is told of each whole state of the store that is older than the one in force; it may be nil.
	StateDropped func()
	// Settled gives the revision at which the node is settled: it sends nothing by an older rule and has nothing
	// in flight by one. Nil means that it always is at the revision in force.
	Settled func() int64
}

// Syncer is the configuration side of one node; safe for concurrent use.
type Syncer struct {
	config    Config
	catalog   *catalog.Catalog
	store     store.Store
	machines  machines.Lister
	transport peer.Transport
	leafs     LeafNoticer
	logger    *zap.Logger
	seeds     []string // guarded by mu
	relayed   func(kind string)
	dropped   func()
	settledAt func() int64
	members   *membership.Membership

	startedAt        time.Time
	joined           atomic.Bool // the zone's members are known well enough to rank watchers
	initialised      atomic.Bool
	ready            chan struct{} // closed once initialised
	storeDownAt      atomic.Int64  // unix nanoseconds; 0 while the watch is up
	droppedLog       rate.Sometimes
	hasReadAsStandby bool        // whether the node stands by and looked at the store since it does; of the watch loop
	resumed          atomic.Bool // whether the machine was suspended since the watch was opened
	checkingPush     atomic.Bool // whether a push is being checked
	pullingRetained  atomic.Bool // whether what is kept is compared with a peer
	readingForLegacy atomic.Bool // whether the store is looked at for a peer that does not count epochs
	pulling          atomic.Bool
	pullPending      atomic.Bool
	lastPushAt       atomic.Int64 // when the last push arrived, in unix nanoseconds
	pushes           chan catalog.Change
	snapshots        snapshotServer
	reorder          reorderBuffer

	mu           sync.Mutex
	contacts     map[string][]string // peer addresses of other zones
	notices      map[string]*notice  // by leaf id
	newestPushed int64               // newest revision received or sent by push
	lastRead     boottime.Mark       // when a datagram was last read
	// suspendedFor is how long the machine was suspended last, suspendedUntil is until when datagrams from before may be read.
	suspendedFor   time.Duration
	suspendedUntil time.Time
}

// New makes a syncer; SetMembership must be called before Run.
func New(deps Deps) *Syncer {
	relayed := deps.Relayed
	if relayed == nil {
		relayed = func(string) {}
	}
	dropped := deps.StateDropped
	if dropped == nil {
		dropped = func() {}
	}
	settledAt := deps.Settled
	if settledAt == nil {
		settledAt = deps.Catalog.Revision
	}
	return &Syncer{
		config:    deps.Config,
		catalog:   deps.Catalog,
		store:     deps.Store,
		machines:  deps.Machines,
		transport: deps.Transport,
		leafs:     deps.Leafs,
		logger:    deps.Logger,
		seeds:     deps.Seeds,
		relayed:   relayed,
		dropped:   dropped,
		settledAt: settledAt,
		startedAt: time.Now(),
		ready:     make(chan struct{}),
		pushes:    make(chan catalog.Change, pushBacklog),
		contacts:  map[string][]string{},
		notices:   map[string]*notice{},

		droppedLog: rate.Sometimes{First: 1, Interval: droppedLogInterval},
	}
}

// pushBacklog is how many changes may wait to be pushed; digests heal what overflows.
const pushBacklog = 1024

// SetMembership gives the zone's members; the membership's listener is this syncer.
func (s *Syncer) SetMembership(members *membership.Membership) { s.members = members }

// SetSeeds changes the peer addresses to join through.
func (s *Syncer) SetSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = seeds
}

// Ready is closed once the node has configuration, be it empty.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Run distributes configuration until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.joinLoop, s.watchLoop, s.pushLoop, s.machineLoop, s.contactLoop, s.crossZoneLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// markInitialised lets the node serve.
func (s *Syncer) markInitialised() {
	if s.initialised.CompareAndSwap(false, true) {
		close(s.ready)
	}
}

// pause waits for a time with jitter, so that nodes that failed together don't retry
// together; false when the context ended.
func pause(ctx context.Context, duration time.Duration) bool {
	return wait.For(ctx, wait.Jittered(duration))
}

// backoff doubles a pause up to the most allowed.
func (s *Syncer) backoff(current time.Duration) time.Duration {
	return min(2*current, s.config.MaximumRetryPause)
}
