package catalog

import (
	"bytes"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/leafset"
	"github.com/portgauge/portgauge/internal/revision"
	"github.com/portgauge/portgauge/internal/routing"
)

// A store that was restored from a backup holds less than what nodes have in force: what was accepted since the backup, and
// told so, is missing there or stands there as it was before. Nodes that took its state as it is would go back by some
// seconds: routes, leafs that drain or are gone, zones that are evacuated, verdicts on versions, requests under quarantine.
// So a node that comes to a new epoch keeps what it knows to be newer, until that is written again. Whoever wrote it does
// so: operators and leafs, and the nodes what the fleet wrote.

// KeepFor is how long what others than nodes write, and the restored store lacks, stays in force unless it is written again,
// but for routes, which stay. Operators write again within 3 s, and what they took back before they did is never written: the
// keys of a lost entry and of one that was lost and then taken back look the same. So a zone whose evacuation ended in that
// time stays out for so long, and no longer. What nodes write stays until they have written it again.
const KeepFor = 10 * time.Second

// lossWindow is how long before the store went away an entry may have come to be lost with it: backups are some seconds old.
const lossWindow = time.Minute

// Kept is an entry of an earlier epoch that is newer than what the store has.
type Kept struct {
	Entry Entry
	// IsLost says that it is not in force: a leaf whose record the store lost is asked only as the last one.
	IsLost bool
}

// restored is what a catalog knows of the last restore; its zero value knows of none. The catalog's lock guards it.
type restored struct {
	// at is when the node came to the epoch.
	at time.Time
	// kept are the entries that are kept, by key.
	kept map[string]Kept
	// past are writes that others replaced.
	past pastWrites
	// learned is when an entry came that is neither a leaf nor a node.
	learned map[string]time.Time
	// mayWrite reports whether nodes may write a key; nil where they may write all.
	mayWrite func(key string) bool
}

// SetOwners has the catalog know which keys nodes may write: only these are kept until they are written again.
func (c *Catalog) SetOwners(mayWrite func(key string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restored.mayWrite = mayWrite
}

// isOver reports whether an entry that the restored store lacks was kept for long enough.
func (c *Catalog) isOver(key string) bool {
	if key == RoutesKey || c.restored.mayWrite == nil || c.restored.mayWrite(key) {
		return false
	}
	return !c.restored.at.IsZero() && c.clock.Since(c.restored.at) >= KeepFor
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

// reconcile gives the entries of a store that was restored, with those that this node knows to be newer in their place. It
// notes which these are. The lock must be held.
func (c *Catalog) reconcile(snapshot Snapshot) []Entry {
	now := c.clock.Now()
	c.restored.at = now
	c.restored.kept = map[string]Kept{}
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
			c.restored.kept[key] = Kept{Entry: known}
			entries = append(entries, known)
		} else if strings.HasPrefix(key, leafPrefix) {
			c.restored.kept[key] = Kept{Entry: known, IsLost: true}
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
		c.restored.kept[read.Key] = Kept{Entry: known}
		return known, true
	}
	c.noteKept(read, position)
	return read, true
}

// noteKept notes an entry that another node keeps: it is of an earlier epoch than the state that it came with.
func (c *Catalog) noteKept(entry Entry, position int64) {
	if !revision.IsLater(position, entry.Revision) {
		return
	}
	if c.restored.kept == nil {
		c.restored.kept = map[string]Kept{}
	}
	if c.restored.at.IsZero() {
		c.restored.at = c.clock.Now()
	}
	c.restored.kept[entry.Key] = Kept{Entry: entry}
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
	return err == nil && record.IsOfEarlierLife(later)
}

// Supersedes reports whether an entry that is kept is newer than what the store has of its key.
func (c *Catalog) Supersedes(kept, stored Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isNewer(kept, stored, c.view.Load().Revision)
}

// Kept gives the entries that are newer than what the store has of them.
func (c *Catalog) Kept() []Kept {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := make([]Kept, 0, len(c.restored.kept))
	for _, one := range c.restored.kept {
		kept = append(kept, one)
	}
	return kept
}

// RestoredAt gives when the node came to the epoch in force; zero where it saw no restore.
func (c *Catalog) RestoredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restored.at
}

// KeptSum tells sets of kept entries apart by 64 bits; 0 where none is kept.
func (c *Catalog) KeptSum() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	sum := uint64(0)
	for _, one := range c.restored.kept {
		if !one.IsLost {
			sum += xxhash.Sum64String(one.Entry.Key + "\x00" + string(one.Entry.Value))
		}
	}
	return sum
}

// Keep takes entries that another node at the same revision keeps: this one may have read the store without having known
// what it lost. What it let go is not taken again.
func (c *Catalog) Keep(entries []Entry) {
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
	case c.isOver(entry.Key):
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

// LetGo ends the keeping of what was not written again in time, as if it was removed, and of given keys.
func (c *Catalog) LetGo(keys ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	gone := map[string]bool{}
	for _, key := range keys {
		gone[key] = true
	}
	draft := c.newDraft(current, current.Revision)
	var removed []Entry
	for key, one := range c.restored.kept {
		if !gone[key] && !c.isOver(key) {
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
	marker := Entry{Key: MarkerKey, Revision: c.view.Load().Revision, Deleted: true}
	c.publish(Change{Entry: marker, Previous: marker.Revision, More: entries})
}

// mostPast bounds the writes that are remembered: at 500 a second, as when a fleet of 17,000 leafs starts, those of the
// last eight seconds, in about 0.5 MB.
const mostPast = 4096

// pastWrites are writes that others replaced, the newest of them. The zero value has none.
type pastWrites struct {
	known map[pastWrite]bool
	order []pastWrite
}

// pastWrite tells a write from others: by its key, its count and what it wrote.
type pastWrite struct {
	key   string
	count int64
	sum   uint64
}

func pastOf(entry Entry) pastWrite {
	return pastWrite{key: entry.Key, count: revision.Count(entry.Revision), sum: xxhash.Sum64(entry.Value)}
}

// add remembers a write.
func (p *pastWrites) add(entry Entry) {
	write := pastOf(entry)
	if p.known == nil {
		p.known = map[pastWrite]bool{}
	}
	if p.known[write] {
		return
	}
	if len(p.order) >= mostPast {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	p.known[write] = true
	p.order = append(p.order, write)
}

// has reports whether a write is remembered. That the store holds it again means that it holds it from before: what is
// written anew has another count, or the same as a lost one and says something else.
func (p *pastWrites) has(entry Entry) bool { return p.known[pastOf(entry)] }
