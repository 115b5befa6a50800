package catalog

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// RetainFor is how long what others than nodes write, and the restored store lacks, stays in force unless it is written again,
// but for routes, which stay. Operators write again within 3 s, and what they took back before they did is never written: the
// keys of a lost entry and of one that was lost and then taken back look the same. So a zone whose evacuation ended in that
// time stays out for so long, and no longer. What nodes write stays until they have written it again.
const RetainFor = 10 * time.Second

// Retained is an entry of an earlier epoch that is newer than what the store has.
type Retained struct {
	Entry Entry
	// IsLost says that it is not in force: a leaf whose record the store lost is asked only as the last one.
	IsLost bool
}

// SetWritable has the catalog know which keys nodes may write: only these are kept until they are written again.
func (c *Catalog) SetWritable(mayWrite func(key string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restored.mayWrite = mayWrite
}

// isOver reports whether an entry that the restored store lacks was kept for long enough. One that is not in force is kept only
// for nodes to write it.
func (c *Catalog) isOver(one Retained) bool {
	key := one.Entry.Key
	if key == RoutesKey || c.restored.mayWrite == nil || c.restored.mayWrite(key) {
		return false
	}
	return one.IsLost || !c.restored.at.IsZero() && c.clock.Since(c.restored.at) >= RetainFor
}

// noteKept notes an entry that another node keeps: it is of an earlier epoch than the state that it came with.
func (c *Catalog) noteKept(entry Entry, position int64) {
	if !revision.IsLater(position, entry.Revision) {
		return
	}
	if c.restored.kept == nil {
		c.restored.kept = map[string]Retained{}
	}
	if c.restored.at.IsZero() {
		c.restored.at = c.clock.Now()
	}
	c.restored.kept[entry.Key] = Retained{Entry: entry}
}

// Retained gives the entries that are newer than what the store has of them.
func (c *Catalog) Retained() []Retained {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]Retained, 0, len(c.restored.kept))
	for _, one := range c.restored.kept {
		kept = append(kept, one)
	}
	return kept
}

// RetainedEntries gives those of them that are in force.
func (c *Catalog) RetainedEntries() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []Entry
	for _, one := range c.restored.kept {
		if !one.IsLost {
			entries = append(entries, one.Entry)
		}
	}
	return entries
}

// RestoredAt gives when the node came to the epoch in force; zero where it saw no restore.
func (c *Catalog) RestoredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restored.at
}

// RetainedFingerprint tells sets of kept entries that are in force apart by 64 bits; 0 where there is none. All messages between nodes
// have it: where the store was never restored, nothing is kept and no lock is taken.
func (c *Catalog) RetainedFingerprint() uint64 {
	if revision.Epoch(c.Revision()) == 0 {
		return 0
	}
	sum := uint64(0)
	for _, entry := range c.RetainedEntries() {
		sum += xxhash.Sum64String(entry.Key + "\x00" + string(entry.Value))
	}
	return sum
}

// Supersedes reports whether an entry that is kept is newer than what the store has of its key.
func (c *Catalog) Supersedes(kept, stored Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isNewer(kept, stored, c.view.Load().Revision)
}

// Retain takes entries that another node at the same revision keeps: this one may have read the store without having known
// what it lost. What it let go is not taken again.
func (c *Catalog) Retain(entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	draft := c.newDraft(current, current.Revision)
	draft.isOlderTaken = true
	var taken []Entry
	for _, entry := range entries {
		if !c.mayKeep(entry, current.Revision) {
			continue
		}
		c.noteKept(entry, current.Revision)
		c.keep(entry)
		c.compile(draft, entry)
		taken = append(taken, entry)
	}
	c.putInForce(draft, taken)
}

// mayKeep reports whether an entry that another node keeps goes before what is in force here.
func (c *Catalog) mayKeep(entry Entry, position int64) bool {
	known, isKnown := c.entries[entry.Key]
	switch {
	case !revision.IsLater(position, entry.Revision), isOfProcess(entry.Key):
		return false
	case c.isOver(Retained{Entry: entry}):
		return false
	case !isKnown:
		return true
	case revision.IsLater(position, known.Revision):
		return entry.Revision > known.Revision
	case bytes.Equal(known.Value, entry.Value):
		return false
	}
	order, isTold := compareOwn(entry, known)
	return !isTold || order > 0
}

// DropExpired ends the keeping of what was not written again in time, as if it was removed.
func (c *Catalog) DropExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	draft := c.newDraft(current, current.Revision)
	var removed []Entry
	for key, one := range c.restored.kept {
		if !c.isOver(one) {
			continue
		}
		delete(c.restored.kept, key)
		if one.IsLost || one.Entry.Deleted {
			continue
		}
		entry := Entry{Key: key, Revision: current.Revision, Deleted: true}
		delete(c.entries, key)
		c.compile(draft, entry)
		removed = append(removed, entry)
	}
	c.putInForce(draft, removed)
}

// putInForce puts a draft of the revision in force into its place, and tells of its entries. The lock must be held.
func (c *Catalog) putInForce(changed *draft, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	c.view.Store(changed.done())
	at := c.view.Load().Revision
	c.publish(Change{Entry: Marker(at), Previous: at, More: entries})
}
