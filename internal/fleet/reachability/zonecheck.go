package reachability

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/wait"
)

// firstProbed is how many nodes a check pings first: usually one of them answers, and no more are needed.
const firstProbed = 2

// controlProbes is how many nodes of other zones are pinged as a control.
const controlProbes = 3

// maxRepeats bounds how often a check starts over because this node itself was late.
const maxRepeats = 3

// lateDivisor divides a wait: this node is late if it wakes later than that part of the wait, since answers that
// have arrived may not be read yet.
const lateDivisor = 2

// zoneCheck is one check of a zone.
type zoneCheck struct {
	tracker *Tracker
	zone    *zone
	// controlAnswered says that a node of another zone answered.
	controlAnswered atomic.Bool
}

// isLost decides whether the zone is lost. It pings firstProbed nodes and, if nothing in the zone responds
// within the timeout of Config.FirstWait, Config.LeastNodes nodes and controlProbes nodes of other zones. The
// zone is lost if nothing there responds within the timeout of Config.Wait but a control does. A check during
// which this node itself was late or suspended proves nothing and starts over, up to maxRepeats times. A zone
// with fewer nodes than Config.LeastNodes is never lost: their silence may be a crash.
func (c *zoneCheck) isLost(ctx context.Context) bool {
	cfg := c.tracker.deps.Config
	nodes := c.tracker.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == c.zone.name })
	if len(nodes) < cfg.LeastNodes {
		return false
	}
	c.probeAll(ctx, nodes[:firstProbed])
	if !wait.For(ctx, c.zone.timeout(cfg.FirstWait)) || c.zone.responded.Load() {
		return false
	}
	for range maxRepeats {
		// Each repeat pings other nodes, as far as there are any.
		nodes = append(nodes[firstProbed:], nodes[:firstProbed]...)
		c.probeAll(ctx, nodes[:cfg.LeastNodes])
		c.probeControls(ctx)
		inTime, running := c.wait(ctx, c.zone.timeout(cfg.Wait))
		if !running || c.zone.responded.Load() {
			return false
		}
		if inTime {
			return c.controlAnswered.Load()
		}
		c.controlAnswered.Store(false)
	}
	return false
}

func (c *zoneCheck) probeAll(ctx context.Context, nodes []catalog.NodeRecord) {
	for _, node := range nodes {
		go c.tracker.probe(ctx, c.zone, node)
	}
}

// probeControls pings nodes of other zones as a control, the own zone included.
func (c *zoneCheck) probeControls(ctx context.Context) {
	others := c.tracker.nodesOf(func(node catalog.NodeRecord) bool {
		return node.Zone != c.zone.name && c.tracker.Reaches(node.Zone)
	})
	// Nodes of the own zone come first: they still answer if several zones are lost together.
	own := c.tracker.deps.Self.Zone
	slices.SortStableFunc(others, func(a, b catalog.NodeRecord) int { return boolRank(b.Zone == own) - boolRank(a.Zone == own) })
	for _, node := range others[:min(controlProbes, len(others))] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, answerLimit)
			defer cancel()
			if c.tracker.deps.Prober.Ping(ctx, node) {
				c.controlAnswered.Store(true)
			}
		}()
	}
}

func boolRank(first bool) int {
	if first {
		return 1
	}
	return 0
}

// wait waits, and reports whether this node woke in time and whether the context has not ended. A machine that
// was suspended is late as well: the answers of one zone may have come before the suspension and those of the
// other during it.
func (c *zoneCheck) wait(ctx context.Context, length time.Duration) (inTime, running bool) {
	clock := c.tracker.deps.Clock
	began := clock.Now()
	running = wait.For(ctx, length)
	return clock.Since(began) < length+length/lateDivisor, running
}

// nodesOf returns the other nodes that match, in random order.
func (t *Tracker) nodesOf(matches func(catalog.NodeRecord) bool) []catalog.NodeRecord {
	var nodes []catalog.NodeRecord
	for _, node := range t.deps.Nodes() {
		if node.ID != t.deps.Self.ID && node.Address != "" && matches(node) {
			nodes = append(nodes, node)
		}
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}
