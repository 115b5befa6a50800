package catalog

import (
	"bytes"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// A store that was restored from a backup lacks the writes that it acknowledged since the backup. A node that applied the
// restored state unchanged would roll back routes, drained or removed leafs, evacuated zones, rollout verdicts and
// quarantined requests by some seconds. So a node that enters a new epoch retains its newer entries until they are
// rewritten: operators and leafs rewrite their own, and nodes rewrite the rest (package rewriter).

// lossWindow is how long before the restore a write may have been lost. Backups are some seconds old; the rest is margin.
const lossWindow = time.Minute

// restored describes the last restore of the store. The zero value means that there was none. It is guarded by the
// catalog's lock.
type restored struct {
	// at is when the node entered the epoch in force.
	at time.Time
	// retained are the retained entries, by key.
	retained    map[string]RetainedEntry
	overwritten overwrittenWrites
	// changedAt is when the value of a key last changed. Process records are left out.
	changedAt map[string]time.Time
	// mayWrite reports whether nodes may write a key. If it is nil, they may write all keys.
	mayWrite func(key string) bool
}

// note records the write that an entry replaces, nil if there was none, and when the value of the key changed.
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

// recordOverwritten calls note for an entry, with the known entry of its key as the write that it replaces.
func (c *Catalog) recordOverwritten(known map[string]Entry, entry Entry) {
	before, isKnown := known[entry.Key]
	if !isKnown {
		c.restored.note(entry, nil, c.clock.Now())
		return
	}
	c.restored.note(entry, &before, c.clock.Now())
}

// mergeEntries returns the entries that are in force after a whole state is applied. The first state, and one that
// replaces a provisional state, is taken unchanged. Any other state is merged with the entries that this node has or
// retains. c.mu must be held.
func (c *Catalog) mergeEntries(snapshot Snapshot, isFirst bool) []Entry {
	switch {
	case isFirst:
		c.restored.retained = nil
		for _, entry := range snapshot.Entries {
			c.recordRetained(entry, snapshot.Revision)
		}
	case revision.IsLater(snapshot.Revision, c.view.Load().Revision):
		return c.mergeNewEpoch(snapshot)
	default:
		return c.mergeSameEpoch(snapshot)
	}
	return snapshot.Entries
}

// mergeNewEpoch merges the state of a restored store with the known entries. Known entries that are newer replace
// those read, and known entries that the store lacks stay if they outlive the restore. All of these are retained.
// Records of leafs that the store lost are retained but not in force. c.mu must be held.
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

// newest returns the entry to use for a key in the state of a new epoch: the one read or the known one. isUsed is
// false for the record of a process that was already removed.
func (c *Catalog) newest(read Entry, atRevision int64) (entry Entry, isUsed bool) {
	known, isKnown := c.entries[read.Key]
	if !isKnown && isProcessRecord(read.Key) && c.restored.overwritten.has(read) {
		return Entry{}, false
	}
	// A node's record is bound to a lease, which the restore lost as well, so the store's record is used.
	if isKnown && !strings.HasPrefix(read.Key, nodePrefix) && c.isNewer(known, read, atRevision) {
		c.restored.retained[read.Key] = RetainedEntry{Entry: known}
		return known, true
	}
	c.recordRetained(read, atRevision)
	return read, true
}

// outlivesRestore reports whether an entry that the restored store lacks stays in force. Routes and tombstones stay;
// records that their writers rewrite don't. Any other entry stays if it changed within lossWindow: an older one was in
// the backup, so its absence means that it was removed since.
func (c *Catalog) outlivesRestore(known Entry, now time.Time) bool {
	switch {
	case known.Key == RoutesKey, known.Deleted:
		return true
	case isProcessRecord(known.Key), known.Key == StoredLeafsKey: // rewritten by their owners
		return false
	}
	return now.Sub(c.restored.changedAt[known.Key]) < lossWindow
}

// mergeSameEpoch merges a later state of the same epoch with the retained entries that have not been rewritten.
// c.mu must be held.
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
		c.recordRetained(read, snapshot.Revision)
		entries = append(entries, read)
	}
	for key, retained := range c.restored.retained {
		if !isRead[key] && !retained.IsLost {
			entries = append(entries, retained.Entry)
		}
	}
	return entries
}

// isNewer reports whether a known entry of an earlier epoch is newer than one read with the state of a new epoch. An
// equal value isn't newer. Two entries from before the restore are compared by revision, and documents with an order
// of their own (routes, leafs) by that order. Any other known entry is newer if it replaced the one read or was
// written on top of it.
func (c *Catalog) isNewer(known, read Entry, atRevision int64) bool {
	switch {
	case read.Deleted == known.Deleted && bytes.Equal(read.Value, known.Value):
		return false
	case revision.IsLater(atRevision, read.Revision):
		return known.Revision > read.Revision // another node retains the entry read, so both are of earlier epochs
	}
	if order, isComparable := compareDocuments(known, read); isComparable {
		return order > 0
	}
	return c.restored.overwritten.has(read) || descends(known, read)
}

// compareDocuments compares two entries of a key by the order that their documents define, if any.
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

// compareParsed compares two entries by their documents. One that can't be decoded is older than one that can.
func compareParsed[T any](a, b Entry, parse func([]byte) (T, error), compare func(a, b T) (order int, isComparable bool)) (order int, isComparable bool) {
	first, firstErr := parseDocument(a, parse)
	second, secondErr := parseDocument(b, parse)
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

// descends reports whether the history in an entry's envelope contains the other entry's change.
func descends(entry, other Entry) bool {
	envelope, err := OpenEnvelope(other.Value)
	if err != nil || envelope.ChangeID == "" {
		return false
	}
	_, found := FindChange(&entry, envelope.ChangeID)
	return found
}

// isOutdated reports whether an entry of a change is older than the one in force, by the order that their documents
// define, although its revision is later: operators and leafs may rewrite an intermediate state first.
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
	record, err := parseDocument(entry, leafset.Parse)
	if err != nil {
		return false
	}
	later, err := parseDocument(known, leafset.Parse)
	return err == nil && record.IsOfEarlierIncarnation(later)
}
