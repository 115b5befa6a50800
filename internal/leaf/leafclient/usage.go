package leafclient

import (
	"net"
	"sync"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// usage reserves the memory of the replies of one leaf while they are received: what the leaf has sent since the oldest
// attempt in flight began. It is safe for concurrent use.
type usage struct {
	account *memorybudget.Account

	mu          sync.Mutex
	reservation memorybudget.Reservation
	// received counts the bytes that the leaf has sent, and began has its values at the begin of the attempts in flight.
	received int64
	began    map[*attempt]int64
}

// attempt is an attempt in flight.
type attempt struct {
	// exceeded is the error of reading a reply that didn't fit; nil if all did. It is guarded by the usage's mu.
	exceeded error
}

func newUsage(account *memorybudget.Account) *usage {
	return &usage{account: account, reservation: account.Reserve(), began: map[*attempt]int64{}}
}

// begin counts what the leaf sends from now on toward a new attempt.
func (u *usage) begin() *attempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	started := &attempt{}
	u.began[started] = u.received
	return started
}

// end ends an attempt and returns the error if a reply didn't fit meanwhile.
func (u *usage) end(ended *attempt) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.began, ended)
	oldest := u.received
	for _, began := range u.began {
		oldest = min(oldest, began)
	}
	u.reservation.Shrink(u.reservation.Bytes() - memorybudget.MessageBytes(u.received-oldest))
	return ended.exceeded
}

// receive reserves bytes that the leaf has sent. Without an attempt in flight, they belong to no reply.
func (u *usage) receive(bytes int) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.began) == 0 {
		return nil
	}
	u.received += int64(bytes)
	err := u.reservation.Grow(memorybudget.MessageBytes(int64(bytes)))
	if err != nil {
		for inFlight := range u.began {
			inFlight.exceeded = err
		}
	}
	return err
}

// meteredConn is a connection whose received bytes are reserved. What doesn't fit ends it.
type meteredConn struct {
	net.Conn
	usage *usage
}

// Read implements net.Conn.
func (c *meteredConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if exceeded := c.usage.receive(n); exceeded != nil {
		return 0, exceeded
	}
	return n, err
}
