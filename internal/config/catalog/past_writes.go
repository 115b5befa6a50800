package catalog

import (
	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// mostPast bounds the writes that are remembered: at 500 a second, as when a fleet of 17,000 leafs starts, those of the
// last eight seconds, in about 0.5 MB.
const mostPast = 4096

// pastWrites are writes that others replaced, the newest of them. The zero value has none.
type pastWrites struct {
	known map[pastWrite]bool
	order []pastWrite
}

// pastWrite tells a write from others: by its key, its count and what it wrote.
type pastWrite struct {
	key   string
	count int64
	sum   uint64
}

func pastOf(entry Entry) pastWrite {
	return pastWrite{key: entry.Key, count: revision.Count(entry.Revision), sum: xxhash.Sum64(entry.Value)}
}

// add remembers a write.
func (p *pastWrites) add(entry Entry) {
	write := pastOf(entry)
	if p.known == nil {
		p.known = map[pastWrite]bool{}
	}
	if p.known[write] {
		return
	}
	if len(p.order) >= mostPast {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	p.known[write] = true
	p.order = append(p.order, write)
}

// has reports whether a write is remembered. That the store holds it again means that it holds it from before: what is
// written anew has another count, or the same as a lost one and says something else.
func (p *pastWrites) has(entry Entry) bool { return p.known[pastOf(entry)] }
