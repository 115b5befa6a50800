package catalog

import (
	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// maxOverwritten bounds the stored writes, which take about 0.5 MB. It covers the last seconds of the start of a large
// fleet, when the write rate is highest.
const maxOverwritten = 4096

// overwrittenWrites is a bounded set of the most recent writes that later ones replaced. The zero value is empty.
type overwrittenWrites struct {
	known map[overwrittenWrite]bool
	order []overwrittenWrite
}

// overwrittenWrite identifies a write by its key, its count and a hash of its value.
type overwrittenWrite struct {
	key   string
	count int64
	sum   uint64
}

func overwrittenOf(entry Entry) overwrittenWrite {
	return overwrittenWrite{key: entry.Key, count: revision.Count(entry.Revision), sum: xxhash.Sum64(entry.Value)}
}

// add stores a write, and drops the oldest one beyond maxOverwritten.
func (w *overwrittenWrites) add(entry Entry) {
	write := overwrittenOf(entry)
	if w.known == nil {
		w.known = map[overwrittenWrite]bool{}
	}
	if w.known[write] {
		return
	}
	if len(w.order) >= maxOverwritten {
		delete(w.known, w.order[0])
		w.order = w.order[1:]
	}
	w.known[write] = true
	w.order = append(w.order, write)
}

// has reports whether a write was replaced. If a restored store holds such a write, it is older than its replacement:
// a new write has another count, or the count of a lost write and another value.
func (w *overwrittenWrites) has(entry Entry) bool { return w.known[overwrittenOf(entry)] }
