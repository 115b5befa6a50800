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

// firstPings is how many nodes a check pings first. Usually one of them answers, which ends the check.
const firstPings = 2

// controlPings is how many nodes of other zones a check pings as a control.
const controlPings = 3

// maxRepeats bounds how many times a check runs its second step, which it repeats while this node itself is late.
const maxRepeats = 3

// lateDivisor divides the length of a wait: this node is late if it wakes up more than that fraction of the wait after
// its end, since it may not have read answers that arrived in time.
const lateDivisor = 2

// zoneCheck is one check of a zone.
type zoneCheck struct {
	tracker *Tracker
	zone    *zone
	// controlAnswered is true if a node of another zone answered.
	controlAnswered atomic.Bool
}

// isLost reports whether the zone is lost. It pings firstPings nodes, then Config.MinNodes nodes and controlPings nodes of
// other zones. The zone is lost if nothing in it responds within the timeouts for Config.FirstWait and Config.Wait, but a
// control does. If this node was late or suspended, the second step is inconclusive and runs again, up to maxRepeats times
// in total. A zone with fewer nodes than Config.MinNodes is never lost, since all of them may have crashed.
func (c *zoneCheck) isLost(ctx context.Context) bool {
	cfg := c.tracker.deps.Config
	nodes := c.tracker.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == c.zone.name })
	if len(nodes) < cfg.MinNodes {
		return false
	}
	c.pingAll(ctx, nodes[:firstPings])
	if !wait.For(ctx, c.zone.timeout(cfg.FirstWait)) || c.zone.responded.Load() {
		return false
	}
	for range maxRepeats {
		// Each repetition pings different nodes if there are enough.
		nodes = append(nodes[firstPings:], nodes[:firstPings]...)
		c.pingAll(ctx, nodes[:cfg.MinNodes])
		c.pingControls(ctx)
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

func (c *zoneCheck) pingAll(ctx context.Context, nodes []catalog.NodeRecord) {
	for _, node := range nodes {
		go c.tracker.ping(ctx, c.zone, node)
	}
}

// pingControls pings nodes of other zones, including this node's own zone, as a control.
func (c *zoneCheck) pingControls(ctx context.Context) {
	others := c.tracker.nodesOf(func(node catalog.NodeRecord) bool {
		return node.Zone != c.zone.name && c.tracker.Reaches(node.Zone)
	})
	// Nodes of this node's own zone come first, since they answer even if several zones are lost at once.
	own := c.tracker.deps.Self.Zone
	slices.SortStableFunc(others, func(a, b catalog.NodeRecord) int { return boolRank(b.Zone == own) - boolRank(a.Zone == own) })
	for _, node := range others[:min(controlPings, len(others))] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, answerLimit)
			defer cancel()
			if c.tracker.deps.Pinger.Ping(ctx, node) {
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

// wait waits, and reports whether this node woke up in time and whether the context is still active. If the machine was
// suspended, the node is late as well: answers from one zone may have arrived before the suspension, and answers from
// the other during it.
func (c *zoneCheck) wait(ctx context.Context, length time.Duration) (inTime, running bool) {
	clock := c.tracker.deps.Clock
	began := clock.Now()
	running = wait.For(ctx, length)
	return clock.Since(began) < length+length/lateDivisor, running
}

// nodesOf returns the matching nodes other than this one, in random order.
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
