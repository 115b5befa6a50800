// Package configsync distributes the configuration from the platform's store to every node.
//
// Only a few nodes of each zone read the store, and the zone passes on what they learn. A change goes through
// these steps, each in the file named after it:
//
//   - watchers: a rendezvous hash over the zone's live members ranks its watchers, the same on all nodes.
//   - watch: the first watcher follows the store; storestate reads its whole state where changes don't suffice.
//   - standby: the others rely on the watchers ahead of them, and check the store once nobody confirms the
//     configuration in force any more.
//   - push: changes go down a tree of the zone's nodes, redrawn for each push to share the relaying;
//     push_check makes sure that the push of a standby reached everybody.
//   - reorder: pushes that overtake each other are put back into order.
//   - digest: digests on membership probes reveal what a node missed.
//   - pull: a node fetches what it misses from a peer, and a zone without the store from another zone;
//     snapshots serves whole states at a bounded rate.
//
// A node that starts (startup) takes its first state from its seeds or the store, and meanwhile joins its zone
// (join) and learns of nodes of other zones (contacts). After a restore of the store, restored takes a node to
// the new epoch. leaving spreads the notice that a leaf is leaving, and status counts the nodes that have a
// revision in force.
//
// The package owns the loops that Syncer.Run starts and the state of the distribution; the configuration itself
// belongs to the catalog, which applies changes in order of revision and never goes back. It relies on the
// store, the machine list, the zone's membership and the peer transport. Configuration ages by the catalog's
// clock, which counts the time of a suspension; everything else is timed by the monotonic clock.
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

// pushBacklog is how many changes may wait to be pushed; digests make up for those that overflow.
const pushBacklog = 1024

// LeafNoticer receives the ids of leafs that must get no new requests.
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
	// Seeds are peer addresses to join through besides those on the machine list.
	Seeds []string
	// Relayed is called with the kind of each message sent; it may be nil.
	Relayed func(kind string)
	// StateDropped is called for each whole state of the store that is dropped because it is older than the
	// configuration in force; it may be nil.
	StateDropped func()
	// Settled returns the revision at which the node is settled: it sends no requests by an older rule and has
	// none in flight. Nil means that it is always settled at the revision in force.
	Settled func() int64
}

// Syncer is the distribution of configuration on one node; safe for concurrent use.
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

	startedAt   time.Time
	ready       chan struct{} // closed once initialised
	initialised atomic.Bool   // the node has configuration
	joined      atomic.Bool   // the zone's members are known well enough to rank watchers
	storeDownAt atomic.Int64  // since when the store can't be followed, in unix nanoseconds; 0 while it can
	resumed     atomic.Bool   // the machine was suspended since the watch was opened
	droppedLog  rate.Sometimes

	// hasReadAsStandby says that the node is a standby and has checked the store as one. Only the watch loop uses it.
	hasReadAsStandby bool

	// These are set while a task runs of which there is one at a time.
	checkingPush     atomic.Bool
	pulling          atomic.Bool
	pullPending      atomic.Bool
	pullingRetained  atomic.Bool
	readingForLegacy atomic.Bool

	pushes     chan catalog.Change
	lastPushAt atomic.Int64 // when the last push arrived, in unix nanoseconds
	snapshots  snapshotServer
	reorder    reorderBuffer

	mu           sync.Mutex
	contacts     map[string][]string // peer addresses of other zones
	notices      map[string]*notice  // by leaf id
	newestPushed int64               // newest revision received or sent by push
	lastRead     boottime.Instant    // when a datagram was last read
	// suspendedFor is how long the last suspension of the machine took. Until suspendedUntil, datagrams from before it
	// may still be read.
	suspendedFor   time.Duration
	suspendedUntil time.Time
}

// withDefaults replaces the functions that are nil.
func (d Deps) withDefaults() Deps {
	if d.Relayed == nil {
		d.Relayed = func(string) {}
	}
	if d.StateDropped == nil {
		d.StateDropped = func() {}
	}
	if d.Settled == nil {
		d.Settled = d.Catalog.Revision
	}
	return d
}

// New returns a syncer; SetMembership must be called before Run.
func New(deps Deps) *Syncer {
	deps = deps.withDefaults()
	return &Syncer{
		config:     deps.Config,
		catalog:    deps.Catalog,
		store:      deps.Store,
		machines:   deps.Machines,
		transport:  deps.Transport,
		leafs:      deps.Leafs,
		logger:     deps.Logger,
		seeds:      deps.Seeds,
		relayed:    deps.Relayed,
		dropped:    deps.StateDropped,
		settledAt:  deps.Settled,
		startedAt:  time.Now(),
		ready:      make(chan struct{}),
		pushes:     make(chan catalog.Change, pushBacklog),
		contacts:   map[string][]string{},
		notices:    map[string]*notice{},
		droppedLog: rate.Sometimes{First: 1, Interval: droppedLogInterval},
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

// Ready is closed once the node has configuration, even if that is empty.
func (s *Syncer) Ready() <-chan struct{} { return s.ready }

// Run distributes configuration until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.joinLoop, s.watchLoop, s.pushLoop, s.machineLoop, s.contactLoop, s.crossZoneLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// markInitialised records that the node has configuration, and lets it serve.
func (s *Syncer) markInitialised() {
	if s.initialised.CompareAndSwap(false, true) {
		close(s.ready)
	}
}

// pause waits for a duration with jitter, so that nodes that failed together don't retry together. It returns
// false when the context ended.
func pause(ctx context.Context, duration time.Duration) bool {
	return wait.For(ctx, wait.Jittered(duration))
}

// backoff doubles a pause, up to the maximum.
func (s *Syncer) backoff(current time.Duration) time.Duration {
	return min(2*current, s.config.MaximumRetryPause)
}
