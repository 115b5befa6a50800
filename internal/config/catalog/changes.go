package catalog

import (
	"cmp"
	"slices"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// maxRecentChanges bounds the number of changes that a node keeps for other nodes, which then don't need the whole state.
const maxRecentChanges = 1500

// maxRecentBytes bounds the total size of the kept changes.
const maxRecentBytes = 4 << 20

// difference returns one change that leads from the known entries to a newer whole state.
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

// Subscribe returns a channel of future changes and a function that ends the subscription. A replaced state is sent
// as one change. Changes that don't fit the buffer are dropped; the subscriber detects the gap by the revisions.
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

// publish sends a change to the subscribers, and skips those whose buffer is full.
func (c *Catalog) publish(change Change) {
	for _, subscriber := range c.subscribers {
		select {
		case subscriber <- change:
		default:
		}
	}
}

// addRecent keeps a change, and drops the oldest ones beyond the limits.
func (c *Catalog) addRecent(change Change) {
	c.recent = append(c.recent, change)
	c.recentSize += change.Size()
	for len(c.recent) > maxRecentChanges || (c.recentSize > maxRecentBytes && len(c.recent) > 1) {
		c.recentSize -= c.recent[0].Size()
		c.recent = c.recent[1:]
	}
}

// addRecentDifference keeps the difference of a whole state as a change. If there was no state before, the difference
// is too large, or the store was restored, it drops all changes instead: they don't lead to the revision in force.
func (c *Catalog) addRecentDifference(before int64, difference Change) {
	if before == 0 || difference.Size() > maxRecentBytes || revision.IsLater(difference.Entry.Revision, before) {
		c.recent, c.recentSize = nil, 0
		return
	}
	c.addRecent(difference)
}
