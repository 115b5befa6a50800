// Package leafgossip tells other nodes what this node saw of leafs that turned slow, silent, or
// well again, so that a fleet learns of it within a few requests, not each node by its own.
//
// A node that asks a leaf once a second needs many seconds to tell a slow leaf from a slow
// request; all nodes together ask it often enough. Each node tells only what it saw itself, to a
// few random nodes, within a bound of bytes: what is told grows with what is asked, and nothing
// is passed on. A lost message is made up for by the next observation.
package leafgossip

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/wait"
)

// maximumPending bounds the observations that wait, and those of one datagram.
const maximumPending = 128

// envelopeBytes is about what a datagram takes beside its observations.
const envelopeBytes = 100

// Nodes gives the peer addresses of random nodes of the fleet.
type Nodes interface {
	// Others gives up to n distinct addresses, this node's own left out.
	Others(n int) []string
}

// Sender sends datagrams to nodes; peer.Transport is one.
type Sender interface {
	Send(address string, message peer.Message)
}

// Gossip tells and hears of leafs; safe for concurrent use.
type Gossip struct {
	cfg    Config
	nodes  Nodes
	sender Sender
	// hear takes what other nodes saw.
	hear   func(balancer.Observation)
	budget *rate.Limiter

	mu      sync.Mutex
	pending map[balancer.LeafKey]balancer.Observation
	wake    chan struct{}
}

// New makes a gossip; Run must be called for anything to be told.
func New(cfg Config, nodes Nodes, sender Sender, hear func(balancer.Observation)) *Gossip {
	return &Gossip{
		cfg: cfg, nodes: nodes, sender: sender, hear: hear,
		budget:  rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BurstBytes),
		pending: map[balancer.LeafKey]balancer.Observation{},
		wake:    make(chan struct{}, 1),
	}
}

// Announce queues an observation; a newer one of the same leaf replaces it. It never blocks.
func (g *Gossip) Announce(o balancer.Observation) {
	if g.cfg.Fanout == 0 {
		return
	}
	g.mu.Lock()
	if _, found := g.pending[o.Leaf]; found || len(g.pending) < maximumPending {
		g.pending[o.Leaf] = o
	}
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// Run sends what is told, in batches, until the context ends.
func (g *Gossip) Run(ctx context.Context) {
	for {
		select {
		case <-g.wake:
		case <-ctx.Done():
			return
		}
		if !wait.For(ctx, g.cfg.BatchDelay) {
			return
		}
		g.send(g.take())
	}
}

// take empties the queue.
func (g *Gossip) take() []balancer.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	seen := make([]balancer.Observation, 0, len(g.pending))
	for _, o := range g.pending {
		seen = append(seen, o)
	}
	clear(g.pending)
	return seen
}

// send tells as many random nodes as the budget allows.
func (g *Gossip) send(seen []balancer.Observation) {
	if len(seen) == 0 {
		return
	}
	message := peer.Message{LeafReports: pack(seen)}
	size := envelopeBytes + base64Bytes(len(message.LeafReports))
	now := time.Now()
	for _, address := range g.nodes.Others(g.cfg.Fanout) {
		if !g.budget.AllowN(now, size) {
			return
		}
		g.sender.Send(address, message)
	}
}

// base64Bytes is the length of n bytes in base64.
func base64Bytes(n int) int { return (n + 2) / 3 * 4 }

// Receive takes what another node saw.
func (g *Gossip) Receive(reports peer.LeafReports) {
	for _, o := range unpack(reports) {
		g.hear(o)
	}
}
