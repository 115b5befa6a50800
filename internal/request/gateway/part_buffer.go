package gateway

import (
	"sync"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// partBuffer has the parts of a group that have not been sent to the root yet; it is safe for concurrent use.
type partBuffer struct {
	mu    sync.Mutex
	parts []*leafhttp.Response // by shard
	had   bool                 // a part has arrived
	ended bool
}

func newPartBuffer(shards int) *partBuffer {
	return &partBuffer{parts: make([]*leafhttp.Response, shards)}
}

// add adds a part.
func (c *partBuffer) add(shard int, part *leafhttp.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[shard], c.had = part, true
}

// any reports whether a part has arrived.
func (c *partBuffer) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.had
}

// send sends the parts that have arrived and reports whether it did; it does nothing after end. The lock is held while
// it sends, so that these parts are on their way before those that end returns.
func (c *partBuffer) send(merge func([]*leafhttp.Response) servingtree.Answer, send func(servingtree.Answer)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.had {
		return false
	}
	send(merge(c.parts))
	clear(c.parts)
	return true
}

// end returns the parts that were not sent.
func (c *partBuffer) end(merge func([]*leafhttp.Response) servingtree.Answer) servingtree.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return merge(c.parts)
}
