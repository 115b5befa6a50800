package gateway

import (
	"sync"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// partBuffer holds the parts of a group that have not been sent to the root yet. It is safe for concurrent use.
type partBuffer struct {
	mu          sync.Mutex
	parts       []*leafhttp.Response // by shard
	hasReceived bool                 // whether any part has arrived, even if it was sent since
	ended       bool
}

func newPartBuffer(shards int) *partBuffer {
	return &partBuffer{parts: make([]*leafhttp.Response, shards)}
}

func (b *partBuffer) add(shard int, part *leafhttp.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[shard], b.hasReceived = part, true
}

// any reports whether a part has arrived, even if it was sent since.
func (b *partBuffer) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasReceived
}

// send sends the parts that have arrived and reports whether there were any; it does nothing after end. It holds the
// lock while sending, so that these parts are written before the ones that end returns.
func (b *partBuffer) send(merge func([]*leafhttp.Response) servingtree.Answer, send func(servingtree.Answer)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || !b.hasReceived {
		return false
	}
	send(merge(b.parts))
	clear(b.parts)
	return true
}

// end returns the parts that were not sent. No parts are sent after it.
func (b *partBuffer) end(merge func([]*leafhttp.Response) servingtree.Answer) servingtree.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return merge(b.parts)
}
