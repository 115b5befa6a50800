// Package reachability tracks which zones this node can reach. Requests that only a lost zone could serve are rejected
// at once, and other requests are not sent to lost zones.
//
// A leaf or an intermediate node that doesn't respond proves nothing, since leafs pause and nodes crash. It only
// triggers a check of its zone (zonecheck.go): the node pings several nodes of the zone, and some nodes of other zones
// as a control. The zone is lost if none of its nodes answers, nothing else is received from it during the check, and a
// control answers. Without the control, a delay or isolation of this node would look like the loss of the zone. Since
// both the ping and its answer must arrive, both sides detect a one-way partition. While a zone is lost, its nodes are
// pinged one at a time; any response from the zone ends the loss.
//
// A Tracker owns the state of each zone and the goroutines of its checks, which end with the context of Run. It uses
// the list of registered nodes, a Pinger (Datagrams sends over the peer transport), and a clock that includes the time
// for which the machine was suspended.
package reachability

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// maxZones bounds the number of tracked zones; further zones always count as reachable.
const maxZones = 256

// answerLimit is how long a node waits for the answer to a ping. No wait of a check exceeds it, so an answer that comes
// after its check has ended still ends the loss of the zone.
const answerLimit = time.Second

// recheckSlack is added to the pause before a zone is checked again, so that a check in progress has ended by then.
const recheckSlack = 200 * time.Millisecond

// Pinger exchanges datagrams with other nodes.
type Pinger interface {
	// Ping reports whether a node answers before the context ends.
	Ping(ctx context.Context, node catalog.NodeRecord) bool
	// SendZoneLost notifies a node that this node has lost a zone. It doesn't block.
	SendZoneLost(node catalog.NodeRecord, zone string)
}

// Change reports that a zone was lost or is reachable again.
type Change struct {
	Zone string
	Lost bool
}

// Deps are the dependencies of a Tracker.
type Deps struct {
	Config Config
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Nodes returns the registered nodes; the result may include this node.
	Nodes  func() []catalog.NodeRecord
	Pinger Pinger
	// Changed is called when a zone is lost or reachable again; it may be nil.
	Changed func(Change)
	// Clock includes the time during which the machine was suspended.
	Clock boottime.Clock
}

// Tracker tracks which zones are lost. It is safe for concurrent use. For a nil Tracker, every zone is reachable.
type Tracker struct {
	deps Deps
	lost atomic.Int32 // number of lost zones

	mu    sync.RWMutex
	zones map[string]*zone
	// ctx is the context of all checks; nil before Run.
	ctx context.Context
}

// New returns a tracker. It checks no zone before Run.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, zones: map[string]*zone{}}
}

// Run enables checks of zones until the context is done.
func (t *Tracker) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
}

// AnyLost reports whether any zone is lost.
func (t *Tracker) AnyLost() bool { return t != nil && t.lost.Load() > 0 }

// Reaches reports whether a zone is reachable. The node's own zone always is.
func (t *Tracker) Reaches(name string) bool {
	if !t.AnyLost() {
		return true
	}
	t.mu.RLock()
	known := t.zones[name]
	t.mu.RUnlock()
	return known == nil || !known.lost.Load()
}

// IsCutOff reports whether more than half of the registered nodes are in lost zones.
func (t *Tracker) IsCutOff() bool {
	if !t.AnyLost() {
		return false
	}
	nodes := t.deps.Nodes()
	lost := 0
	for _, node := range nodes {
		if !t.Reaches(node.Zone) {
			lost++
		}
	}
	return 2*lost > len(nodes)
}

// Responded records a response from a leaf or node of a zone, which ends the loss of the zone.
func (t *Tracker) Responded(name string) {
	if t == nil || name == t.deps.Self.Zone {
		return
	}
	t.mu.RLock()
	known := t.zones[name]
	t.mu.RUnlock()
	if known == nil || known.responded.Load() {
		return
	}
	known.responded.Store(true)
	if known.lost.Load() {
		t.markReachable(known)
	}
}

// NoResponse records that a leaf of a zone did not answer an attempt. It starts a check of the zone once minSilentLeafs
// different leafs did not answer and nothing else in the zone responded in between.
func (t *Tracker) NoResponse(name, leafID string) {
	if known := t.zoneOf(name); known != nil && known.addSilent(leafID) {
		t.Suspect(name)
	}
}

// Suspect starts a check of a zone, for example because one of its nodes did not respond in time or another node lost
// the zone. It doesn't block. It does nothing during a check of the zone and for Config.Pause after one.
func (t *Tracker) Suspect(name string) {
	known := t.zoneOf(name)
	if known == nil {
		return
	}
	t.mu.RLock()
	ctx := t.ctx
	t.mu.RUnlock()
	if ctx == nil || ctx.Err() != nil || !known.beginCheck(t.deps.Config.Pause) {
		return
	}
	go func() {
		defer known.endCheck()
		check := zoneCheck{tracker: t, zone: known}
		if check.isLost(ctx) {
			t.markLost(ctx, known)
		}
	}()
}

// SuspectAndRecheck starts a check of a zone and, unless the zone is lost by then, another check after the pause between
// checks. Without the second check, a node that checked right before a partition would detect it later than the rest
// of its zone, and callers are sent to other zones only when no node of a zone is ready.
func (t *Tracker) SuspectAndRecheck(name string) {
	known := t.zoneOf(name)
	if known == nil {
		return
	}
	t.Suspect(name)
	if !known.recheckPending.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(t.deps.Config.Pause+recheckSlack, func() {
		known.recheckPending.Store(false)
		if !known.lost.Load() {
			t.Suspect(name)
		}
	})
}

// suspectOtherZones starts checks of all zones other than the lost one and this node's own, see SuspectAndRecheck: what
// cuts off one zone often cuts off several.
func (t *Tracker) suspectOtherZones(lost string) {
	seen := map[string]bool{lost: true, t.deps.Self.Zone: true}
	for _, node := range t.deps.Nodes() {
		if !seen[node.Zone] {
			seen[node.Zone] = true
			t.SuspectAndRecheck(node.Zone)
		}
	}
}

// zoneOf returns the state of a zone; nil for this node's own zone and for zones that aren't tracked.
func (t *Tracker) zoneOf(name string) *zone {
	if t == nil || !t.deps.Config.Enabled || name == t.deps.Self.Zone || name == "" {
		return nil
	}
	t.mu.RLock()
	known := t.zones[name]
	t.mu.RUnlock()
	if known != nil {
		return known
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known = t.zones[name]; known == nil && len(t.zones) < maxZones {
		known = &zone{name: name}
		t.zones[name] = known
	}
	return known
}

// markLost records that a zone is lost, notifies Config.FanOut nodes of this node's own zone, and pings the lost zone
// until it responds.
func (t *Tracker) markLost(ctx context.Context, known *zone) {
	known.responded.Store(false)
	known.lost.Store(true)
	t.lost.Add(1)
	t.notifyChanged(Change{Zone: known.name, Lost: true})
	t.suspectOtherZones(known.name)
	own := t.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == t.deps.Self.Zone })
	for _, node := range own[:min(t.deps.Config.FanOut, len(own))] {
		t.deps.Pinger.SendZoneLost(node, known.name)
	}
	t.awaitReturn(ctx, known)
}

// awaitReturn pings the nodes of a lost zone, one per Config.PingInterval, until anything in the zone responds. A zone
// without nodes counts as reachable, since nothing could end its loss.
func (t *Tracker) awaitReturn(ctx context.Context, known *zone) {
	ticker := time.NewTicker(t.deps.Config.PingInterval)
	defer ticker.Stop()
	var remaining []catalog.NodeRecord
	for known.lost.Load() {
		if len(remaining) == 0 {
			remaining = t.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == known.name })
		}
		if len(remaining) == 0 {
			t.markReachable(known)
			return
		}
		go t.ping(ctx, known, remaining[0])
		remaining = remaining[1:]
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ping pings a node of a zone. An answer within answerLimit counts as a response, even after the end of the check that
// sent the ping.
func (t *Tracker) ping(ctx context.Context, known *zone, node catalog.NodeRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	began := time.Now()
	if !t.deps.Pinger.Ping(ctx, node) {
		return false
	}
	known.recordRoundTrip(time.Since(began))
	t.Responded(known.name)
	return true
}

// markReachable records that a zone is reachable again.
func (t *Tracker) markReachable(known *zone) {
	if known.lost.CompareAndSwap(true, false) {
		t.lost.Add(-1)
		t.notifyChanged(Change{Zone: known.name})
	}
}

func (t *Tracker) notifyChanged(change Change) {
	if t.deps.Changed != nil {
		t.deps.Changed(change)
	}
}
