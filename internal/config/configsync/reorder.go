package configsync

import (
	"slices"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// Limits of the buffered changes, in number and bytes: a few pushes of a burst, or a few changes of 0.5 MB.
const (
	maxReordered    = 2048
	maxReorderBytes = 4 << 20
)

// reorderBuffer holds changes that arrived before the changes that they follow. Pushes use different trees and may
// overtake each other; buffered changes don't have to be pulled again. The zero value is ready to use. It is safe for
// concurrent use.
type reorderBuffer struct {
	mu      sync.Mutex
	changes []catalog.Change // in revision order
}

// apply applies changes together with the buffered ones that follow them, and buffers those behind a gap. It
// reports whether there is no gap.
func (b *reorderBuffer) apply(target *catalog.Catalog, changes []catalog.Change) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := append(slices.Clone(b.changes), changes...)
	slices.SortStableFunc(all, func(a, b catalog.Change) int { return int(a.Entry.Revision - b.Entry.Revision) })
	complete := target.ApplyAll(all)
	revision := target.Revision()
	inForce := func(change catalog.Change) bool { return change.Entry.Revision <= revision }
	waiting := slices.DeleteFunc(all, inForce)
	isSame := func(a, b catalog.Change) bool {
		return a.Entry.Revision == b.Entry.Revision && a.Previous == b.Previous
	}
	waiting = slices.CompactFunc(waiting, isSame)
	b.changes = slices.Clip(waiting[:prefixWithin(waiting, maxReordered, maxReorderBytes)])
	return complete
}

// prefixWithin returns the length of the longest prefix of changes within a number and a size in bytes. The last change
// may exceed the size.
func prefixWithin(changes []catalog.Change, maxCount, maxBytes int) int {
	size := 0
	for index, change := range changes {
		if index >= maxCount || size >= maxBytes {
			return index
		}
		size += change.Size()
	}
	return len(changes)
}
