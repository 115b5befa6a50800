package catalog

import (
	"bytes"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// A store that was restored from a backup lacks the writes that it acknowledged since the backup. A node that applied its
// state as it is would go back by some seconds: in routes, leafs that drain or are gone, evacuated zones, verdicts on
// versions, requests under quarantine. So a node that enters a new epoch retains what it knows to be newer, until that is
// written again: by operators and leafs what is theirs, and by nodes what the fleet wrote (package rewriter).

// lossWindow is how long before the restore a write may have been lost: backups are some seconds old, with a
// margin.
const lossWindow = time.Minute

// restored is what a catalog knows of the last restore; the zero value is that of none. The catalog's lock
// guards it.
type restored struct {
	// at is when the node entered the epoch in force.
	at time.Time
	// retained are the retained entries, by key.
	retained map[string]RetainedEntry
	// overwritten are writes that others replaced.
	overwritten overwrittenWrites
	// changedAt is when the value of a key changed last, except for process records.
	changedAt map[string]time.Time
	// mayWrite reports whether nodes may write a key; nil if they may write all.
	mayWrite func(key string) bool
}

// note remembers a write that replaces another one, nil if there was none.
func (r *restored) note(entry Entry, replaced *Entry, now time.Time) {
	if replaced != nil && replaced.Revision != entry.Revision {
		r.overwritten.add(*replaced)
	}
	if isProcessRecord(entry.Key) {
		return
	}
	if r.changedAt == nil {
		r.changedAt = map[string]time.Time{}
	}
	if replaced == nil || !bytes.Equal(replaced.Value, entry.Value) {
		r.changedAt[entry.Key] = now
	}
}

// noteOverwritten remembers the write that an entry replaces in a set of known entries.
func (c *Catalog) noteOverwritten(known map[string]Entry, entry Entry) {
	before, isKnown := known[entry.Key]
	if !isKnown {
		c.restored.note(entry, nil, c.clock.Now())
		return
	}
	c.restored.note(entry, &before, c.clock.Now())
}

// mergeEntries decides which entries are in force once a whole state is applied: the state as it is if it is the
// first one or replaces a provisional one, otherwise the state merged with what this node knows or retains. The lock must be
// held.
func (c *Catalog) mergeEntries(snapshot Snapshot, isFirst bool) []Entry {
	switch {
	case isFirst:
		c.restored.retained = nil
		for _, entry := range snapshot.Entries {
			c.noteRetained(entry, snapshot.Revision)
		}
	case revision.IsLater(snapshot.Revision, c.view.Load().Revision):
		return c.mergeNewEpoch(snapshot)
	default:
		return c.mergeSameEpoch(snapshot)
	}
	return snapshot.Entries
}

// mergeNewEpoch merges the state of a restored store with what this node knows: known entries that are newer
// replace those read, and known entries that the store lacks stay if they outlive the restore. All of these are
// retained. Records of leafs that the store lost are retained without being in force. The lock must be held.
func (c *Catalog) mergeNewEpoch(snapshot Snapshot) []Entry {
	now := c.clock.Now()
	c.restored.at = now
	c.restored.retained = map[string]RetainedEntry{}
	entries := make([]Entry, 0, len(snapshot.Entries))
	isRead := make(map[string]bool, len(snapshot.Entries))
	for _, read := range snapshot.Entries {
		isRead[read.Key] = true
		if entry, isUsed := c.newest(read, snapshot.Revision); isUsed {
			entries = append(entries, entry)
		}
	}
	for key, known := range c.entries {
		if isRead[key] || known.Deleted && isTransient(key) {
			continue
		}
		if c.outlivesRestore(known, now) {
			c.restored.retained[key] = RetainedEntry{Entry: known}
			entries = append(entries, known)
		} else if strings.HasPrefix(key, leafPrefix) {
			c.restored.retained[key] = RetainedEntry{Entry: known, IsLost: true}
		}
	}
	return entries
}

// newest returns the entry in force of a key that the state of a new epoch has: the one read or the known one.
// The record of a process that is known to be gone is left out.
func (c *Catalog) newest(read Entry, position int64) (entry Entry, isUsed bool) {
	known, isKnown := c.entries[read.Key]
	if !isKnown && isProcessRecord(read.Key) && c.restored.overwritten.has(read) {
		return Entry{}, false
	}
	// A node's record is bound to a lease, which the restore lost as well: the store is right about it.
	if isKnown && !strings.HasPrefix(read.Key, nodePrefix) && c.isNewer(known, read, position) {
		c.restored.retained[read.Key] = RetainedEntry{Entry: known}
		return known, true
	}
	c.noteRetained(read, position)
	return read, true
}

// outlivesRestore decides whether an entry that the restored store lacks stays in force. Routes and tombstones
// do. Records that their writers rewrite don't. Anything else does if it changed within lossWindow: what is
// older was in the backup, so that it was removed since.
func (c *Catalog) outlivesRestore(known Entry, now time.Time) bool {
	switch {
	case known.Key == RoutesKey, known.Deleted:
		return true
	case isProcessRecord(known.Key), known.Key == SavedLeafsKey: // rewritten by their owners
		return false
	}
	return now.Sub(c.restored.changedAt[known.Key]) < lossWindow
}

// mergeSameEpoch merges a later state of the same epoch with the retained entries that were not written again.
// The lock must be held.
func (c *Catalog) mergeSameEpoch(snapshot Snapshot) []Entry {
	entries := make([]Entry, 0, len(snapshot.Entries)+len(c.restored.retained))
	isRead := make(map[string]bool, len(snapshot.Entries))
	for _, read := range snapshot.Entries {
		isRead[read.Key] = true
		retained, isRetained := c.restored.retained[read.Key]
		if isRetained && !retained.IsLost && c.isNewer(retained.Entry, read, snapshot.Revision) {
			entries = append(entries, retained.Entry)
			continue
		}
		if known, isKnown := c.entries[read.Key]; isKnown && strings.HasPrefix(read.Key, leafPrefix) && isOfEarlierProcess(read, known) {
			entries = append(entries, known)
			continue
		}
		delete(c.restored.retained, read.Key)
		c.noteRetained(read, snapshot.Revision)
		entries = append(entries, read)
	}
	for key, retained := range c.restored.retained {
		if !isRead[key] && !retained.IsLost {
			entries = append(entries, retained.Entry)
		}
	}
	return entries
}

// isNewer decides whether a known entry of an earlier epoch is newer than one read with a state of a new epoch,
// at a revision. Equal values aren't; of two entries from before the restore the later revision is; documents
// with an order of their own (routes, leafs) decide themselves; otherwise the known entry is newer if it
// replaced the one read, or was written on top of it.
func (c *Catalog) isNewer(known, read Entry, position int64) bool {
	switch {
	case read.Deleted == known.Deleted && bytes.Equal(read.Value, known.Value):
		return false
	case revision.IsLater(position, read.Revision):
		return known.Revision > read.Revision // another node retains it: both are of earlier epochs
	}
	if order, isComparable := compareDocuments(known, read); isComparable {
		return order > 0
	}
	return c.restored.overwritten.has(read) || descends(known, read)
}

// compareDocuments compares two entries of a key by the order in their documents, if they have one.
func compareDocuments(a, b Entry) (order int, isComparable bool) {
	if a.Deleted || b.Deleted {
		return 0, false
	}
	switch {
	case a.Key == RoutesKey:
		return compareParsed(a, b, routing.Parse, routing.Compare)
	case strings.HasPrefix(a.Key, leafPrefix):
		return compareParsed(a, b, leafset.Parse, leafset.Compare)
	}
	return 0, false
}

// compareParsed compares two entries by their documents; one that can't be decoded is older than one that can.
func compareParsed[T any](a, b Entry, parse func([]byte) (T, error), compare func(a, b T) (order int, isComparable bool)) (order int, isComparable bool) {
	first, firstErr := parsed(a, parse)
	second, secondErr := parsed(b, parse)
	switch {
	case firstErr != nil && secondErr != nil:
		return 0, false
	case firstErr != nil:
		return -1, true
	case secondErr != nil:
		return 1, true
	}
	return compare(first, second)
}

// descends reports whether a write was made on top of another one, by the history in its envelope.
func descends(entry, other Entry) bool {
	envelope, err := OpenEnvelope(other.Value)
	if err != nil || envelope.ChangeID == "" {
		return false
	}
	_, found := FindChange(&entry, envelope.ChangeID)
	return found
}

// isOutdated reports whether a change is older than the entry in force of its key although its revision is
// later, by the order in their documents: operators and leafs may rewrite an intermediate state first.
func (c *Catalog) isOutdated(entry Entry) bool {
	known, isKnown := c.entries[entry.Key]
	if !isKnown || entry.Deleted {
		return false
	}
	if _, isRetained := c.restored.retained[entry.Key]; isRetained {
		order, isComparable := compareDocuments(known, entry)
		return isComparable && order > 0
	}
	return strings.HasPrefix(entry.Key, leafPrefix) && isOfEarlierProcess(entry, known)
}

// isOfEarlierProcess reports whether a record is from an earlier process of the leaf than the known one.
func isOfEarlierProcess(entry, known Entry) bool {
	record, err := parsed(entry, leafset.Parse)
	if err != nil {
		return false
	}
	later, err := parsed(known, leafset.Parse)
	return err == nil && record.IsOfEarlierIncarnation(later)
}
