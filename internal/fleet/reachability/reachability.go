// Package reachability knows which zones a node reaches, so that work which only a lost zone could do is
// refused at once, and other work is not sent there.
//
// The silence of leafs or intermediates is never proof: leafs pause, and nodes die. It only makes the node
// look: it asks several nodes of the zone by datagram, and some of other zones beside them. A zone is lost
// when none of its own answers, nothing else is heard from there meanwhile, and the others do answer, so
// that neither this node's own delay nor its own isolation is taken for it. Since a question and its answer
// must both arrive, a cut of one direction is found by both sides. While a zone is lost, one of its nodes at
// a time is asked again; any answer from there brings the zone back.
package reachability

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Prober carries datagrams between nodes.
type Prober interface {
	// Answers asks a node for a sign of life; false when none came before the context ended.
	Ping(ctx context.Context, node catalog.NodeRecord) bool
	// Tell tells a node, without waiting, that this one has lost a zone.
	AnnounceLost(node catalog.NodeRecord, zone string)
}

// Change is a zone that was lost, or is back.
type Change struct {
	Zone string
	Lost bool
}

// Deps are what a Tracker is built from.
type Deps struct {
	Config Config
	// Self is this node's own record.
	Self catalog.NodeRecord
	// Nodes returns the registered nodes; this one may be among them.
	Nodes  func() []catalog.NodeRecord
	Prober Prober
	// Changed is told of changed beliefs; nil means nobody.
	Changed func(Change)
	// Clock counts the time for which the machine was suspended.
	Clock boottime.Clock
}

// mostZones bounds the zones that are kept; the silence of further ones is not looked into.
const mostZones = 256

// answerLimit is how long an answer may take that still brings a zone back.
const answerLimit = time.Second

// Tracker knows which zones are lost; safe for concurrent use. A nil one holds every zone for in reach.
type Tracker struct {
	deps Deps
	lost atomic.Int32 // how many zones are lost

	mu    sync.RWMutex
	zones map[string]*zone
	// stop ends all looks; nil before Run.
	ctx context.Context
}

// New returns a tracker; it looks at nothing before Run.
func New(deps Deps) *Tracker {
	return &Tracker{deps: deps, zones: map[string]*zone{}}
}

// Run lets the tracker look at zones until the context ends.
func (t *Tracker) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
}

// AnyLost reports whether any zone is lost.
func (t *Tracker) AnyLost() bool { return t != nil && t.lost.Load() > 0 }

// Reaches reports whether a zone is in reach. The own one always is.
func (t *Tracker) Reaches(name string) bool {
	if !t.AnyLost() {
		return true
	}
	t.mu.RLock()
	known := t.zones[name]
	t.mu.RUnlock()
	return known == nil || !known.lost.Load()
}

// IsCutOff reports whether most of the registered nodes are in lost zones.
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

// Responded tells that something of a zone answered this node.
func (t *Tracker) Responded(name string) {
	if t == nil || name == t.deps.Self.Zone {
		return
	}
	t.mu.RLock()
	known := t.zones[name]
	t.mu.RUnlock()
	if known == nil || known.heard.Load() {
		return
	}
	known.heard.Store(true)
	if known.lost.Load() {
		t.found(known)
	}
}

// NoResponse tells of a leaf of a zone that left an attempt unanswered. Two of them, with nothing heard of
// the zone between, are looked into.
func (t *Tracker) NoResponse(name, leafID string) {
	if known := t.of(name); known != nil && known.another(leafID) {
		t.Suspect(name)
	}
}

// Suspect has a zone looked at, as when one of its nodes gave no sign in time, or another node lost it. It
// doesn't block.
func (t *Tracker) Suspect(name string) {
	known := t.of(name)
	if known == nil {
		return
	}
	t.mu.RLock()
	ctx := t.ctx
	t.mu.RUnlock()
	if ctx == nil || ctx.Err() != nil || !known.beginLook(t.deps.Config.Pause) {
		return
	}
	go func() {
		defer known.endLook()
		look := look{tracker: t, zone: known}
		if look.isLost(ctx) {
			t.lose(ctx, known)
		}
	}()
}

// SuspectAndRecheck has a zone looked at now and, unless that loses it, once more after the pause between looks: a node
// that looked a moment before a cut would else be the only one of its zone that learns of it late, and callers are sent
// to other zones only once no node of a zone is ready.
func (t *Tracker) SuspectAndRecheck(name string) {
	known := t.of(name)
	if known == nil {
		return
	}
	t.Suspect(name)
	if !known.looksAgain.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(t.deps.Config.Pause+lookAgainSlack, func() {
		known.looksAgain.Store(false)
		if !known.lost.Load() {
			t.Suspect(name)
		}
	})
}

// lookAgainSlack is how long after the pause a zone is looked at once more: a look under way has ended then.
const lookAgainSlack = 200 * time.Millisecond

// lookAround has every other zone looked at: what cut one off often cuts off more.
func (t *Tracker) lookAround(lost string) {
	seen := map[string]bool{lost: true, t.deps.Self.Zone: true}
	for _, node := range t.deps.Nodes() {
		if !seen[node.Zone] {
			seen[node.Zone] = true
			t.SuspectAndRecheck(node.Zone)
		}
	}
}

// of returns what is kept of a zone; nil for the own one, and where nothing is looked at.
func (t *Tracker) of(name string) *zone {
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
	if known = t.zones[name]; known == nil && len(t.zones) < mostZones {
		known = &zone{name: name}
		t.zones[name] = known
	}
	return known
}

// lose holds a zone for lost, tells others of it, and asks there until something answers.
func (t *Tracker) lose(ctx context.Context, known *zone) {
	known.heard.Store(false)
	known.lost.Store(true)
	t.lost.Add(1)
	t.changed(Change{Zone: known.name, Lost: true})
	t.lookAround(known.name)
	own := t.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == t.deps.Self.Zone })
	for _, node := range own[:min(t.deps.Config.Fanout, len(own))] {
		t.deps.Prober.AnnounceLost(node, known.name)
	}
	t.awaitReturn(ctx, known)
}

// awaitReturn asks one node of a lost zone after the other, in turn, until anything of it is heard. A zone
// without any node is not held for lost: nothing could say that it is back.
func (t *Tracker) awaitReturn(ctx context.Context, known *zone) {
	ticker := time.NewTicker(t.deps.Config.ProbeInterval)
	defer ticker.Stop()
	var turn []catalog.NodeRecord
	for known.lost.Load() {
		if len(turn) == 0 {
			turn = t.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == known.name })
		}
		if len(turn) == 0 {
			t.found(known)
			return
		}
		go t.ask(ctx, known, turn[0])
		turn = turn[1:]
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ask asks a node of a zone, and takes its answer, however late, as heard.
func (t *Tracker) ask(ctx context.Context, known *zone, node catalog.NodeRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, answerLimit)
	defer cancel()
	began := time.Now()
	if !t.deps.Prober.Ping(ctx, node) {
		return false
	}
	known.took(time.Since(began))
	t.Responded(known.name)
	return true
}

// found holds a zone for in reach again.
func (t *Tracker) found(known *zone) {
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
