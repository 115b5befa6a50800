package configsync

import (
	"slices"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// mostReordered and reorderBytes bound the buffered changes, in number and bytes: a few pushes of a burst, or a few
// configurations of 0.5 MB.
const (
	mostReordered = 2048
	reorderBytes  = 4 << 20
)

// reorderBuffer holds changes that arrived before the changes they follow. Each push goes over another tree, so
// that one may overtake another; what it brought need not be fetched again. The zero value is ready; it is safe
// for concurrent use.
type reorderBuffer struct {
	mu      sync.Mutex
	changes []catalog.Change // in order of revision
}

// apply applies changes together with the buffered ones that follow them, and buffers those behind a gap. It
// reports whether there is no gap.
func (b *reorderBuffer) apply(known *catalog.Catalog, changes []catalog.Change) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := append(slices.Clone(b.changes), changes...)
	slices.SortStableFunc(all, func(a, b catalog.Change) int { return int(a.Entry.Revision - b.Entry.Revision) })
	complete := known.ApplyAll(all)
	revision := known.Revision()
	inForce := func(change catalog.Change) bool { return change.Entry.Revision <= revision }
	waiting := slices.DeleteFunc(all, inForce)
	isSame := func(a, b catalog.Change) bool {
		return a.Entry.Revision == b.Entry.Revision && a.Previous == b.Previous
	}
	waiting = slices.CompactFunc(waiting, isSame)
	b.changes = slices.Clip(waiting[:prefixWithin(waiting, mostReordered, reorderBytes)])
	return complete
}

// prefixWithin returns how many changes, from the first on, are within a number and a size in bytes; the last of
// them may exceed the size.
func prefixWithin(changes []catalog.Change, most, bytes int) int {
	size := 0
	for index, change := range changes {
		if index >= most || size >= bytes {
			return index
		}
		size += change.Size()
	}
	return len(changes)
}
