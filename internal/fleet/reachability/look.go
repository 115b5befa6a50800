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

// firstAsked is how many nodes a look asks first: mostly one of them answers, and nothing more is sent.
const firstAsked = 2

// controls is how many nodes of other zones are asked beside the others of a look.
const controls = 3

// mostRepeats bounds how often a look starts over because this node itself was late.
const mostRepeats = 3

// look is one look at a zone.
type look struct {
	tracker *Tracker
	zone    *zone
	// others says that a node of another zone answered.
	others atomic.Bool
}

// isLost reports whether the zone is lost.
func (l *look) isLost(ctx context.Context) bool {
	cfg := l.tracker.deps.Config
	nodes := l.tracker.nodesOf(func(node catalog.NodeRecord) bool { return node.Zone == l.zone.name })
	if len(nodes) < cfg.LeastNodes {
		return false
	}
	l.askAll(ctx, nodes[:firstAsked])
	if !wait.For(ctx, l.zone.wait(cfg.FirstWait)) || l.zone.heard.Load() {
		return false
	}
	for range mostRepeats {
		// What nodes leave unanswered is asked of others the next time, as far as there are any.
		nodes = append(nodes[firstAsked:], nodes[:firstAsked]...)
		l.askAll(ctx, nodes[:cfg.LeastNodes])
		l.askOthers(ctx)
		inTime, running := l.sleep(ctx, l.zone.wait(cfg.Wait))
		if !running || l.zone.heard.Load() {
			return false
		}
		if inTime {
			return l.others.Load()
		}
		l.others.Store(false)
	}
	return false
}

func (l *look) askAll(ctx context.Context, nodes []catalog.NodeRecord) {
	for _, node := range nodes {
		go l.tracker.ask(ctx, l.zone, node)
	}
}

// askOthers asks nodes of other zones, the own one included.
func (l *look) askOthers(ctx context.Context) {
	others := l.tracker.nodesOf(func(node catalog.NodeRecord) bool {
		return node.Zone != l.zone.name && l.tracker.Reaches(node.Zone)
	})
	// The own zone's come first: where several zones are lost at once, they still answer.
	own := l.tracker.deps.Self.Zone
	slices.SortStableFunc(others, func(a, b catalog.NodeRecord) int { return rank(b.Zone == own) - rank(a.Zone == own) })
	for _, node := range others[:min(controls, len(others))] {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, answerLimit)
			defer cancel()
			if l.tracker.deps.Prober.Ping(ctx, node) {
				l.others.Store(true)
			}
		}()
	}
}

func rank(first bool) int {
	if first {
		return 1
	}
	return 0
}

// latePart is the part of a wait, as a divisor, by which this node may be late itself: it may then not yet
// have read answers that are there.
const latePart = 2

// sleep waits, and reports whether this node woke in time, and whether the context still holds. A suspended machine is
// late, too: the answers of one zone may have come before it slept and those of the other while it did.
func (l *look) sleep(ctx context.Context, length time.Duration) (inTime, running bool) {
	clock := l.tracker.deps.Clock
	began := clock.Now()
	running = wait.For(ctx, length)
	return clock.Since(began) < length+length/latePart, running
}

// nodesOf returns the other nodes that fit, in random order.
func (t *Tracker) nodesOf(fits func(catalog.NodeRecord) bool) []catalog.NodeRecord {
	var nodes []catalog.NodeRecord
	for _, node := range t.deps.Nodes() {
		if node.ID != t.deps.Self.ID && node.Address != "" && fits(node) {
			nodes = append(nodes, node)
		}
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	return nodes
}
