// Package peertest connects nodes of package peer inside one process, for tests in virtual time: a Network delivers
// datagrams and calls after a delay, and loses, cuts or freezes them as a test asks. It keeps the handlers of the attached
// nodes and starts a timer for each datagram; losses are drawn from a seed.
package peertest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// ErrUnreachable is the error of calls across a cut or to a node that is not attached.
var ErrUnreachable = merry.New("peer unreachable")

// Network connects nodes inside one process. It is safe for concurrent use.
type Network struct {
	// Delay is how long a message takes in one direction.
	Delay time.Duration

	mutex    sync.Mutex
	loss     float64
	random   *rand.Rand
	handlers map[string]peer.Handler
	frozen   map[string]bool
	cut      func(from, to string) bool
}

// NewNetwork returns a network without nodes whose losses are drawn from a seed.
func NewNetwork(seed uint64, delay time.Duration) *Network {
	return &Network{
		Delay:    delay,
		random:   rand.New(rand.NewPCG(seed, 0)),
		handlers: map[string]peer.Handler{},
		frozen:   map[string]bool{},
	}
}

// Attach returns the transport of a node. Messages to the node are lost until Serve has set its handler.
func (n *Network) Attach(address string) *Transport {
	return &Transport{network: n, address: address}
}

// Remove detaches a node, as when its process dies.
func (n *Network) Remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.handlers, address)
}

// Freeze sets whether a node is frozen: a frozen node neither sends nor receives messages.
func (n *Network) Freeze(address string, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozen[address] = frozen
}

// SetLoss sets the share of datagrams that are lost, between 0 and 1.
func (n *Network) SetLoss(share float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loss = share
}

// Cut drops the messages for which cut returns true; nil drops none.
func (n *Network) Cut(cut func(from, to string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut = cut
}

// route returns the handler that receives a message, or nil if the message is lost.
func (n *Network) route(from, to string, mayLose bool) peer.Handler {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.frozen[to] || n.frozen[from] || (n.cut != nil && n.cut(from, to)) {
		return nil
	}
	if mayLose && n.random.Float64() < n.loss {
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

// Serve passes messages to the handler from now on.
func (t *Transport) Serve(handler peer.Handler) {
	t.network.mutex.Lock()
	defer t.network.mutex.Unlock()
	t.network.handlers[t.address] = handler
}

// Address implements peer.Transport.
func (t *Transport) Address() string { return t.address }

// Send implements peer.Transport.
func (t *Transport) Send(address string, message peer.Message) {
	message.From = t.address
	handler := t.network.route(t.address, address, true)
	if handler == nil {
		return
	}
	time.AfterFunc(t.network.Delay, func() { handler.HandleDatagram(message) })
}

// Call implements peer.Transport.
func (t *Transport) Call(ctx context.Context, address string, message peer.Message) (peer.Message, error) {
	message.From = t.address
	if err := t.travel(ctx); err != nil {
		return peer.Message{}, err
	}
	handler := t.network.route(t.address, address, false)
	if handler == nil {
		return peer.Message{}, merry.Wrap(ErrUnreachable)
	}
	answer := handler.HandleCall(ctx, message)
	return answer, t.travel(ctx)
}

// travel waits for the delay of one direction.
func (t *Transport) travel(ctx context.Context) error {
	select {
	case <-time.After(t.network.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
