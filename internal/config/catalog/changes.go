package catalog

import (
	"cmp"
	"slices"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// recentLimit is how many changes a node keeps to update other nodes without the whole state.
const recentLimit = 1500

// recentBytes bounds the size of those changes, in bytes.
const recentBytes = 4 << 20

// difference returns what a newer whole state changes, as one change.
func difference(known map[string]Entry, before int64, newer Snapshot) Change {
	change := Change{Entry: Marker(newer.Revision), Previous: before}
	present := make(map[string]bool, len(newer.Entries))
	for _, entry := range newer.Entries {
		present[entry.Key] = true
		if had, found := known[entry.Key]; !found || had.Revision != entry.Revision {
			change.More = append(change.More, entry)
		}
	}
	for key := range known {
		if isTransient(key) && !present[key] {
			change.More = append(change.More, Entry{Key: key, Revision: newer.Revision, Deleted: true})
		}
	}
	return change
}

// Since returns the changes after a revision, or false when they are no longer kept.
func (c *Catalog) Since(after int64) ([]Change, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if after >= c.view.Load().Revision {
		return nil, true
	}
	if len(c.recent) == 0 || c.recent[0].Previous > after {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(c.recent, after+1, func(change Change, wanted int64) int {
		return cmp.Compare(change.Entry.Revision, wanted)
	})
	return slices.Clone(c.recent[first:]), true
}

// Subscribe returns a channel of the changes from now on, with the difference of a whole state as one change,
// and a function that ends the subscription. A subscriber that doesn't keep up misses changes; their revisions
// reveal that.
func (c *Catalog) Subscribe(buffer int) (<-chan Change, func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := c.nextID
	c.nextID++
	changes := make(chan Change, buffer)
	c.subscribers[id] = changes
	return changes, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.subscribers, id)
	}
}

// publish sends a change to the subscribers.
func (c *Catalog) publish(change Change) {
	for _, subscriber := range c.subscribers {
		select {
		case subscriber <- change:
		default:
		}
	}
}

// addRecent remembers a change, and forgets the oldest beyond the limits.
func (c *Catalog) addRecent(change Change) {
	c.recent = append(c.recent, change)
	c.recentSize += change.Size()
	for len(c.recent) > recentLimit || (c.recentSize > recentBytes && len(c.recent) > 1) {
		c.recentSize -= c.recent[0].Size()
		c.recent = c.recent[1:]
	}
}

// addRecentDifference remembers the difference of a whole state as a change. It forgets all changes instead if
// there was no state before, the difference is too large, or the store was restored: earlier changes don't lead
// to the revision in force then.
func (c *Catalog) addRecentDifference(before int64, difference Change) {
	if before == 0 || difference.Size() > recentBytes || revision.IsLater(difference.Entry.Revision, before) {
		c.recent, c.recentSize = nil, 0
		return
	}
	c.addRecent(difference)
}
