package catalog

import (
	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// maxOverwritten bounds the writes that are remembered: at 500 a second, as when a fleet of 17,000 leafs starts, those of the
// last eight seconds, in about 0.5 MB.
const maxOverwritten = 4096

// overwrittenWrites are writes that others replaced, the newest of them. The zero value has none.
type overwrittenWrites struct {
	known map[overwrittenWrite]bool
	order []overwrittenWrite
}

// overwrittenWrite tells a write from others: by its key, its count and what it wrote.
type overwrittenWrite struct {
	key   string
	count int64
	sum   uint64
}

func overwrittenOf(entry Entry) overwrittenWrite {
	return overwrittenWrite{key: entry.Key, count: revision.Count(entry.Revision), sum: xxhash.Sum64(entry.Value)}
}

// add remembers a write.
func (p *overwrittenWrites) add(entry Entry) {
	write := overwrittenOf(entry)
	if p.known == nil {
		p.known = map[overwrittenWrite]bool{}
	}
	if p.known[write] {
		return
	}
	if len(p.order) >= maxOverwritten {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	p.known[write] = true
	p.order = append(p.order, write)
}

// has reports whether a write is remembered. That the store holds it again means that it holds it from before: what is
// written anew has another count, or the same as a lost one and says something else.
func (p *overwrittenWrites) has(entry Entry) bool { return p.known[overwrittenOf(entry)] }
