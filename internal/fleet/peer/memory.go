package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrUnreachable is the error of calls across a cut or to a node that is not there.
var ErrUnreachable = merry.New("peer unreachable")

// MemoryNetwork connects nodes inside one process, for tests in virtual time and for models
// of large fleets. It is safe for concurrent use.
type MemoryNetwork struct {
	// Delay is the time a message takes one way.
	Delay time.Duration

	mutex    sync.Mutex
	loss     float64
	random   *rand.Rand
	handlers map[string]Handler
	frozen   map[string]bool
	cut      func(from, to string) bool
}

// NewMemoryNetwork returns a network whose losses are drawn from a seed.
func NewMemoryNetwork(seed uint64, delay time.Duration) *MemoryNetwork {
	return &MemoryNetwork{
		Delay:    delay,
		random:   rand.New(rand.NewPCG(seed, 0)),
		handlers: map[string]Handler{},
		frozen:   map[string]bool{},
	}
}

// Attach makes a transport for a node; without a handler yet, messages to it are lost.
func (n *MemoryNetwork) Attach(address string) *MemoryTransport {
	return &MemoryTransport{network: n, address: address}
}

// Remove takes a node off the network, as when its process dies.
func (n *MemoryNetwork) Remove(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.handlers, address)
}

// Freeze makes a node take no messages, or take them again.
func (n *MemoryNetwork) Freeze(address string, frozen bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.frozen[address] = frozen
}

// SetLoss sets the share of datagrams lost.
func (n *MemoryNetwork) SetLoss(share float64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.loss = share
}

// Cut drops the messages for which the function is true; nil heals.
func (n *MemoryNetwork) Cut(cut func(from, to string) bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cut = cut
}

// route returns the handler that a message reaches, if any.
func (n *MemoryNetwork) route(from, to string, mayLose bool) Handler {
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

// MemoryTransport is the Transport of one node on a MemoryNetwork.
type MemoryTransport struct {
	network *MemoryNetwork
	address string
}

var _ Transport = (*MemoryTransport)(nil)

// Serve starts taking messages.
func (t *MemoryTransport) Serve(handler Handler) {
	t.network.mutex.Lock()
	defer t.network.mutex.Unlock()
	t.network.handlers[t.address] = handler
}

// Address implements Transport.
func (t *MemoryTransport) Address() string { return t.address }

// Send implements Transport.
func (t *MemoryTransport) Send(address string, message Message) {
	message.From = t.address
	handler := t.network.route(t.address, address, true)
	if handler == nil {
		return
	}
	time.AfterFunc(t.network.Delay, func() { handler.HandleDatagram(message) })
}

// Call implements Transport.
func (t *MemoryTransport) Call(ctx context.Context, address string, message Message) (Message, error) {
	message.From = t.address
	if err := t.travel(ctx); err != nil {
		return Message{}, err
	}
	handler := t.network.route(t.address, address, false)
	if handler == nil {
		return Message{}, merry.Wrap(ErrUnreachable)
	}
	answer := handler.HandleCall(ctx, message)
	return answer, t.travel(ctx)
}

func (t *MemoryTransport) travel(ctx context.Context) error {
	select {
	case <-time.After(t.network.Delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
