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
	had   bool                 // reports whether a part has arrived
	ended bool
}

func newPartBuffer(shards int) *partBuffer {
	return &partBuffer{parts: make([]*leafhttp.Response, shards)}
}

// add adds a part.
func (b *partBuffer) add(shard int, part *leafhttp.Response) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts[shard], b.had = part, true
}

// any reports whether a part has arrived.
func (b *partBuffer) any() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.had
}

// send sends the parts that have arrived and reports whether it did; it does nothing after end. The lock is held while
// it sends, so that these parts are written before those that end returns.
func (b *partBuffer) send(merge func([]*leafhttp.Response) servingtree.Answer, send func(servingtree.Answer)) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended || !b.had {
		return false
	}
	send(merge(b.parts))
	clear(b.parts)
	return true
}

// end returns the parts that were not sent.
func (b *partBuffer) end(merge func([]*leafhttp.Response) servingtree.Answer) servingtree.Answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
	return merge(b.parts)
}
