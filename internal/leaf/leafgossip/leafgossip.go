// Package leafgossip announces to other nodes which leafs this node observed to become slow, silent or healthy, so that a
// fleet learns it within a few requests.
//
// A node that asks a leaf once a second needs many seconds to distinguish a slow leaf from a slow
// request; all nodes together ask it often enough. Each node announces only its own observations, to a
// few random nodes, within a limit of bytes a second: the traffic grows with the requests, and nothing
// is forwarded. A lost message is not repeated: the next observation replaces it.
//
// A Gossip owns the queue of observations, which package balancer makes and handles; its Run is a goroutine of the node.
// Messages are datagrams of package peer. It returns no errors: what can't be sent is dropped.
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

// envelopeBytes is the approximate size of a datagram without its observations.
const envelopeBytes = 100

// Nodes returns the peer addresses of random nodes of the fleet.
type Nodes interface {
	// Others returns up to n distinct addresses, without this node's own.
	Others(n int) []string
}

// Sender sends datagrams to nodes; peer.Transport implements it.
type Sender interface {
	Send(address string, message peer.Message)
}

// Gossip sends and receives observations of leafs; safe for concurrent use.
type Gossip struct {
	cfg    Config
	nodes  Nodes
	sender Sender
	// handle is called with each observation of other nodes.
	handle func(balancer.Observation)
	budget *rate.Limiter

	mu      sync.Mutex
	pending map[balancer.LeafKey]balancer.Observation
	wake    chan struct{}
}

// New returns a Gossip; nothing is sent until Run is called.
func New(cfg Config, nodes Nodes, sender Sender, handle func(balancer.Observation)) *Gossip {
	return &Gossip{
		cfg: cfg, nodes: nodes, sender: sender, handle: handle,
		budget:  rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BurstBytes),
		pending: map[balancer.LeafKey]balancer.Observation{},
		wake:    make(chan struct{}, 1),
	}
}

// Enqueue queues an observation; a newer one of the same leaf replaces it. It never blocks.
func (g *Gossip) Enqueue(o balancer.Observation) {
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

// Run sends the queued observations in batches, until the context ends.
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

// send sends observations to as many random nodes as the budget allows.
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

// Handle handles the observations of another node.
func (g *Gossip) Handle(reports peer.LeafReports) {
	for _, o := range unpack(reports) {
		g.handle(o)
	}
}
