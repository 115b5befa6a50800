// Package leafgossip sends observations of leafs that are slow, silent or healthy again to other nodes, so that the
// fleet detects such a change within a few requests.
//
// A node that sends one request per second to a leaf needs many seconds to distinguish a slow leaf from a slow request,
// but all nodes together send enough requests. Each node sends only its own observations, to a few random nodes, within
// a limit of bytes per second. The traffic grows with the number of requests, and nothing is forwarded. A lost message
// is not retransmitted, since the next observation replaces it.
//
// A Gossip owns the queue of observations, which package balancer creates and handles. Its Run is a goroutine of the
// node. Messages are datagrams of package peer. The package returns no errors: messages that can't be sent are dropped.
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

// maximumPending is the maximum number of queued observations, which are sent in one datagram.
const maximumPending = 128

// envelopeBytes is the approximate size of a datagram without its observations.
const envelopeBytes = 100

// Nodes provides the peer addresses of random nodes of the fleet.
type Nodes interface {
	// Others returns up to n distinct addresses, excluding this node's own.
	Others(n int) []string
}

// Sender sends datagrams to nodes. It is implemented by peer.Transport.
type Sender interface {
	Send(address string, message peer.Message)
}

// Gossip sends and receives observations of leafs. It is safe for concurrent use.
type Gossip struct {
	cfg    Config
	nodes  Nodes
	sender Sender
	// handle is called for each observation of another node.
	handle func(balancer.Observation)
	budget *rate.Limiter

	mu      sync.Mutex
	pending map[balancer.LeafKey]balancer.Observation
	wake    chan struct{}
}

// New returns a Gossip, which sends nothing until Run is called.
func New(cfg Config, nodes Nodes, sender Sender, handle func(balancer.Observation)) *Gossip {
	return &Gossip{
		cfg: cfg, nodes: nodes, sender: sender, handle: handle,
		budget:  rate.NewLimiter(rate.Limit(cfg.BytesPerSecond), cfg.BurstBytes),
		pending: map[balancer.LeafKey]balancer.Observation{},
		wake:    make(chan struct{}, 1),
	}
}

// Enqueue queues an observation, replacing a queued one of the same leaf. The observation is dropped if the queue is
// full. Enqueue never blocks.
func (g *Gossip) Enqueue(o balancer.Observation) {
	if g.cfg.FanOut == 0 {
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

// Run sends the queued observations in batches until the context is done.
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
		g.send(g.drain())
	}
}

// drain empties the queue and returns its observations.
func (g *Gossip) drain() []balancer.Observation {
	g.mu.Lock()
	defer g.mu.Unlock()
	observations := make([]balancer.Observation, 0, len(g.pending))
	for _, o := range g.pending {
		observations = append(observations, o)
	}
	clear(g.pending)
	return observations
}

// send sends observations to up to Config.FanOut random nodes, as far as the budget allows.
func (g *Gossip) send(observations []balancer.Observation) {
	if len(observations) == 0 {
		return
	}
	message := peer.Message{LeafObservations: pack(observations)}
	size := envelopeBytes + base64Bytes(len(message.LeafObservations))
	now := time.Now()
	for _, address := range g.nodes.Others(g.cfg.FanOut) {
		if !g.budget.AllowN(now, size) {
			return
		}
		g.sender.Send(address, message)
	}
}

// base64Bytes returns the length of n bytes in base64.
func base64Bytes(n int) int { return (n + 2) / 3 * 4 }

// Handle decodes the observations of another node and passes them on.
func (g *Gossip) Handle(packed peer.LeafObservations) {
	for _, o := range unpack(packed) {
		g.handle(o)
	}
}
