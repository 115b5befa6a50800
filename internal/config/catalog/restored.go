package catalog

import (
	"bytes"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// A store that was restored from a backup holds less than what nodes have in force: what was accepted since the backup, and
// told so, is missing there or stands there as it was before. Nodes that took its state as it is would go back by some
// seconds: routes, leafs that drain or are gone, zones that are evacuated, verdicts on versions, requests under quarantine.
// So a node that comes to a new epoch keeps what it knows to be newer, until that is written again. Whoever wrote it does
// so: operators and leafs, and the nodes what the fleet wrote.

// lossWindow is how long before the store went away an entry may have come to be lost with it: backups are some seconds old.
const lossWindow = time.Minute

// restored is what a catalog knows of the last restore; its zero value knows of none. The catalog's lock guards it.
type restored struct {
	// at is when the node came to the epoch.
	at time.Time
	// kept are the entries that are kept, by key.
	kept map[string]Retained
	// past are writes that others replaced.
	past pastWrites
	// learned is when an entry came that is neither a leaf nor a node.
	learned map[string]time.Time
	// mayWrite reports whether nodes may write a key; nil where they may write all.
	mayWrite func(key string) bool
}

// isOfProcess reports whether a key is the record of a process, which writes it again by itself.
func isOfProcess(key string) bool {
	return strings.HasPrefix(key, leafPrefix) || strings.HasPrefix(key, nodePrefix)
}

// note remembers a write that takes the place of another, none where there was none.
func (r *restored) note(entry Entry, replaced *Entry, now time.Time) {
	if replaced != nil && replaced.Revision != entry.Revision {
		r.past.add(*replaced)
	}
	if isOfProcess(entry.Key) {
		return
	}
	if r.learned == nil {
		r.learned = map[string]time.Time{}
	}
	if replaced == nil || !bytes.Equal(replaced.Value, entry.Value) {
		r.learned[entry.Key] = now
	}
}

// noteReplaced remembers what an entry of a whole state takes the place of.
func (c *Catalog) noteReplaced(known map[string]Entry, entry Entry) {
	before, isKnown := known[entry.Key]
	if !isKnown {
		c.restored.note(entry, nil, c.clock.Now())
		return
	}
	c.restored.note(entry, &before, c.clock.Now())
}

// entriesOf gives the entries of a whole state that are put into force. The lock must be held.
func (c *Catalog) entriesOf(snapshot Snapshot, isFirst bool) []Entry {
	switch {
	case isFirst:
		c.restored.kept = nil
		for _, entry := range snapshot.Entries {
			c.noteKept(entry, snapshot.Revision)
		}
	case revision.IsLater(snapshot.Revision, c.view.Load().Revision):
		return c.reconcile(snapshot)
	default:
		return c.stillKept(snapshot)
	}
	return snapshot.Entries
}

// reconcile gives the entries of a store that was restored, with those that this node knows to be newer in their place. It
// notes which these are. The lock must be held.
func (c *Catalog) reconcile(snapshot Snapshot) []Entry {
	now := c.clock.Now()
	c.restored.at = now
	c.restored.kept = map[string]Retained{}
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
		if c.survives(known, now) {
			c.restored.kept[key] = Retained{Entry: known}
			entries = append(entries, known)
		} else if strings.HasPrefix(key, leafPrefix) {
			c.restored.kept[key] = Retained{Entry: known, IsLost: true}
		}
	}
	return entries
}

// newest gives what is in force of a key that the state of a new epoch holds: what was read, or what is known. A process
// that is known to be gone is left out.
func (c *Catalog) newest(read Entry, position int64) (entry Entry, isUsed bool) {
	known, isKnown := c.entries[read.Key]
	if !isKnown && isOfProcess(read.Key) && c.restored.past.has(read) {
		return Entry{}, false
	}
	// A node's record goes with a lease, which is lost with it: what the store has of it is what there is.
	if isKnown && !strings.HasPrefix(read.Key, nodePrefix) && c.isNewer(known, read, position) {
		c.restored.kept[read.Key] = Retained{Entry: known}
		return known, true
	}
	c.noteKept(read, position)
	return read, true
}

// survives reports whether an entry that the restored store lacks stays in force. One that was there long before the store
// went away was in any backup of the last while: it was removed since.
func (c *Catalog) survives(known Entry, now time.Time) bool {
	switch {
	case known.Key == RoutesKey, known.Deleted:
		return true
	case isOfProcess(known.Key), known.Key == RememberedKey: // written again by whoever they are of
		return false
	}
	return now.Sub(c.restored.learned[known.Key]) < lossWindow
}

// stillKept gives the entries of a later state of the same epoch, with those that are kept and not written again. The lock
// must be held.
func (c *Catalog) stillKept(snapshot Snapshot) []Entry {
	entries := make([]Entry, 0, len(snapshot.Entries)+len(c.restored.kept))
	isRead := make(map[string]bool, len(snapshot.Entries))
	for _, read := range snapshot.Entries {
		isRead[read.Key] = true
		kept, isKept := c.restored.kept[read.Key]
		if isKept && !kept.IsLost && c.isNewer(kept.Entry, read, snapshot.Revision) {
			entries = append(entries, kept.Entry)
			continue
		}
		if known, isKnown := c.entries[read.Key]; isKnown && strings.HasPrefix(read.Key, leafPrefix) && isOfEarlierLife(read, known) {
			entries = append(entries, known)
			continue
		}
		delete(c.restored.kept, read.Key)
		c.noteKept(read, snapshot.Revision)
		entries = append(entries, read)
	}
	for key, kept := range c.restored.kept {
		if !isRead[key] && !kept.IsLost {
			entries = append(entries, kept.Entry)
		}
	}
	return entries
}

// isNewer reports whether an entry of an earlier epoch is newer than one that came with the state of a new one.
func (c *Catalog) isNewer(known, read Entry, position int64) bool {
	switch {
	case read.Deleted == known.Deleted && bytes.Equal(read.Value, known.Value):
		return false
	case revision.IsLater(position, read.Revision):
		return known.Revision > read.Revision // another node keeps it: both are of the epochs before
	}
	if order, isTold := compareOwn(known, read); isTold {
		return order > 0
	}
	return c.restored.past.has(read) || descends(known, read)
}

// compareOwn compares two entries of a key by what they say themselves of their order; not told where they don't.
func compareOwn(a, b Entry) (order int, isTold bool) {
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

// compareParsed compares two entries by their documents; one that can't be read is older than one that can.
func compareParsed[T any](a, b Entry, parse func([]byte) (T, error), compare func(a, b T) (order int, isTold bool)) (order int, isTold bool) {
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

func parsed[T any](entry Entry, parse func([]byte) (T, error)) (T, error) {
	document, err := DecodeDocument(entry)
	if err != nil {
		var none T
		return none, err
	}
	return parse(document)
}

// descends reports whether a write was made on top of another, by the changes that it remembers.
func descends(entry, other Entry) bool {
	envelope, err := OpenEnvelope(other.Value)
	if err != nil || envelope.ChangeID == "" {
		return false
	}
	_, found := FindChange(&entry, envelope.ChangeID)
	return found
}

// isOutranked reports whether a change is older than what is kept of its key, by what both say of their order: operators
// and leafs may write again what they wrote in between.
func (c *Catalog) isOutranked(entry Entry) bool {
	known, isKnown := c.entries[entry.Key]
	if !isKnown || entry.Deleted {
		return false
	}
	if _, isKept := c.restored.kept[entry.Key]; isKept {
		order, isTold := compareOwn(known, entry)
		return isTold && order > 0
	}
	return strings.HasPrefix(entry.Key, leafPrefix) && isOfEarlierLife(entry, known)
}

// isOfEarlierLife reports whether a record was written by a process of a leaf that another one came after.
func isOfEarlierLife(entry, known Entry) bool {
	record, err := parsed(entry, leafset.Parse)
	if err != nil {
		return false
	}
	later, err := parsed(known, leafset.Parse)
	return err == nil && record.IsOfEarlierIncarnation(later)
}
