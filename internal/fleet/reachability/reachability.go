// Package reachability tracks which zones this node can reach, so that requests which only a lost zone could
// serve are rejected without a wait, and others are not sent there.
//
// A leaf or an intermediate that doesn't respond is no proof: leafs pause, and nodes crash. It only makes the
// node check the zone (zonecheck.go): it pings several nodes there, and some of other zones as a control. A zone
// is lost if none of its nodes answers, nothing else is received from it meanwhile, and a control does answer,
// so that neither this node's own delay nor its own isolation is taken for the zone's. Since both the ping and
// its answer must arrive, a cut of one direction is noticed on both sides. While a zone is lost, one of its
// nodes at a time is pinged; any response from there ends the loss.
//
// A Tracker owns the state of each zone and the goroutines of its checks, which end with the context of Run. It
// relies on the list of registered nodes, a Prober (Datagrams sends over the peer transport) and a clock that
// counts the time of a suspension.
package reachability

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// maxZones bounds the zones that are tracked; further ones always count as reachable.
const maxZones = 256

// answerLimit is how long an answer may take and still end the loss of a zone.
const answerLimit = time.Second

// recheckSlack is how long after the pause a zone is checked once more: a check in progress has ended by then.
const recheckSlack = 200 * time.Millisecond

// Prober exchanges datagrams with nodes.
type Prober interface {
	// Ping reports whether a node answers before the context ends.
	Ping(ctx context.Context, node catalog.NodeRecord) bool
	// SendZoneLost notifies a node, without waiting, that this one has lost a zone.
	SendZoneLost(node catalog.NodeRecord, zone string)
}

// Change is a zone that was lost, or that is reachable again.
type Change struct {
	Zone string
	Lost bool
}

// Deps are the dependencies of a Tracker.
type Deps struct {
	Config Config
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Nodes returns the registered nodes; this one may be among them.
	Nodes  func() []catalog.NodeRecord
	Prober Prober
	// Changed is called for each zone that is lost or reachable again; it may be nil.
	Changed func(Change)
	// Clock counts the time for which the machine was suspended.
	Clock boottime.Clock
}

// Tracker tracks which zones are lost; safe for concurrent use. To a nil Tracker every zone is reachable.
type Tracker struct {
	deps Deps
	lost atomic.Int32 // how many zones are lost

	mu    sync.RWMutex
	zones map[string]*zone
	// ctx ends all checks; nil before Run.
	ctx context.Context
}

// New returns a tracker; it checks nothing before Run.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, zones: map[string]*zone{}}
}

// Run lets the tracker check zones until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
}

// AnyLost reports whether any zone is lost.
func (t *Tracker) AnyLost() bool { return t != nil && t.lost.Load() > 0 }

// Reaches reports whether a zone is reachable. The own one always is.
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

// Responded records that something in a zone responded to this node, which ends the loss of the zone.
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
		t.markFound(known)
	}
}

// NoResponse records that a leaf of a zone left an attempt unanswered. minSilentLeafs different leafs, with no
// response from the zone in between, make the node check the zone.
func (t *Tracker) NoResponse(name, leafID string) {
	if known := t.zoneOf(name); known != nil && known.addSilent(leafID) {
		t.Suspect(name)
	}
}

// Suspect checks a zone, as when one of its nodes did not respond in time or another node lost it. It doesn't
// block, and does nothing within Config.Pause of the last check.
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

// SuspectAndRecheck checks a zone now and, unless that loses it, once more after the pause between checks.
// Otherwise a node that checked right before a cut would notice it later than the rest of its zone, and callers
// are sent to other zones only once no node of a zone is ready.
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

// suspectOtherZones checks every other zone: what cuts off one zone often cuts off more.
func (t *Tracker) suspectOtherZones(lost string) {
	seen := map[string]bool{lost: true, t.deps.Self.Zone: true}
	for _, node := range t.deps.Nodes() {
		if !seen[node.Zone] {
			seen[node.Zone] = true
			t.SuspectAndRecheck(node.Zone)
		}
	}
}

// zoneOf returns the state of a zone; nil for the own one, and for zones that aren't tracked.
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

// markLost records that a zone is lost, announces that to some nodes of the own zone, and pings the lost zone
// until it responds.
func (t *Tracker) markLost(ctx context.Context, known *zone) {
	known.responded.Store(false)
	known.lost.Store(true)
	t.lost.Add(1)
	t.changed(Change{Zone: known.name, Lost: true})
	t.suspectOtherZones(known.name)
	own := t.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == t.deps.Self.Zone })
	for _, node := range own[:min(t.deps.Config.Fanout, len(own))] {
		t.deps.Prober.SendZoneLost(node, known.name)
	}
	t.awaitReturn(ctx, known)
}

// awaitReturn pings the nodes of a lost zone, one each Config.ProbeInterval, until there is any response from
// the zone. A zone without nodes counts as reachable: nothing could end its loss.
func (t *Tracker) awaitReturn(ctx context.Context, known *zone) {
	ticker := time.NewTicker(t.deps.Config.ProbeInterval)
	defer ticker.Stop()
	var turn []catalog.NodeRecord
	for known.lost.Load() {
		if len(turn) == 0 {
			turn = t.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == known.name })
		}
		if len(turn) == 0 {
			t.markFound(known)
			return
		}
		go t.probe(ctx, known, turn[0])
		turn = turn[1:]
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// probe pings a node of a zone, and records its answer, however late, as a response.
func (t *Tracker) probe(ctx context.Context, known *zone, node catalog.NodeRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	began := time.Now()
	if !t.deps.Prober.Ping(ctx, node) {
		return false
	}
	known.recordAnswerTime(time.Since(began))
	t.Responded(known.name)
	return true
}

// markFound records that a zone is reachable again.
func (t *Tracker) markFound(known *zone) {
	if known.lost.CompareAndSwap(true, false) {
		t.lost.Add(-1)
		t.changed(Change{Zone: known.name})
	}
}

func (t *Tracker) changed(change Change) {
	if t.deps.Changed != nil {
		t.deps.Changed(change)
	}
}
