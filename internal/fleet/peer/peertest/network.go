// Package peertest connects nodes of package peer inside one process, for tests in virtual time. A Network delivers
// datagrams and calls after a delay, and can simulate loss, partitions and frozen nodes. It keeps the handlers of the
// attached nodes and starts a timer for each datagram. Losses are pseudo-random and depend only on a seed.
package peertest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// ErrUnreachable is returned by calls across a partition, to or from a frozen node, or to a node that is not attached.
var ErrUnreachable = merry.New("the peer is unreachable")

// Network connects nodes inside one process. It is safe for concurrent use.
type Network struct {
	// Delay is the one-way delay of a message.
	Delay time.Duration

	mu       sync.Mutex
	loss     float64
	random   *rand.Rand
	handlers map[string]peer.Handler
	frozen   map[string]bool
	cut      func(from, to string) bool
}

// NewNetwork returns a network without nodes. The seed determines which datagrams are lost.
func NewNetwork(seed uint64, delay time.Duration) *Network {
	return &Network{
		Delay:    delay,
		random:   rand.New(rand.NewPCG(seed, 0)),
		handlers: map[string]peer.Handler{},
		frozen:   map[string]bool{},
	}
}

// Attach returns the transport of a node. Messages to the node are lost until its Serve method is called.
func (n *Network) Attach(address string) *Transport {
	return &Transport{network: n, address: address}
}

// Remove detaches a node, as if its process had crashed.
func (n *Network) Remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// Freeze sets whether a node is frozen. A frozen node neither sends nor receives messages.
func (n *Network) Freeze(address string, frozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = frozen
}

// SetLoss sets the fraction of datagrams that are lost, between 0 and 1.
func (n *Network) SetLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss = fraction
}

// Cut drops all messages for which cut returns true. A nil function drops none.
func (n *Network) Cut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// route returns the handler that receives a message, or nil if the message is lost.
func (n *Network) route(from, to string, isDatagram bool) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[to] || n.frozen[from] || (n.cut != nil && n.cut(from, to)) {
		return nil
	}
	if isDatagram && n.random.Float64() < n.loss {
		return nil
	}
	return n.handlers[to]
}

// Transport implements peer.Transport for one node of a Network.
type Transport struct {
	network *Network
	address string
}

var _ peer.Transport = (*Transport)(nil)

// Serve starts to pass messages to the handler.
func (t *Transport) Serve(handler peer.Handler) {
	t.network.mu.Lock()
	defer t.network.mu.Unlock()
	t.network.handlers[t.address] = handler
}

func (t *Transport) Address() string { return t.address }

func (t *Transport) Send(address string, message peer.Message) {
	message.From = t.address
	handler := t.network.route(t.address, address, true)
	if handler == nil {
		return
	}
	time.AfterFunc(t.network.Delay, func() { handler.HandleDatagram(message) })
}

func (t *Transport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	message.From = t.address
	if err := t.waitDelay(ctx); err != nil {
		return peer.Message{}, err
	}
	handler := t.network.route(t.address, address, false)
	if handler == nil {
		return peer.Message{}, merry.Wrap(ErrUnreachable)
	}
	answer := handler.HandleCall(ctx, message)
	return answer, t.waitDelay(ctx)
}

// waitDelay waits for the one-way delay.
func (t *Transport) waitDelay(ctx context.Context) error {
	select {
	case <-time.After(t.network.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
