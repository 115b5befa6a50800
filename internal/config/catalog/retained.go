package catalog

import (
	"bytes"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// RetentionPeriod is how long an entry that only operators write stays in force after a restore if it isn't rewritten.
// Operators rewrite lost entries within a few seconds. An entry that they removed since the backup can't be
// distinguished from a lost one, so a zone whose evacuation was ended may stay evacuated for this long. Routes are
// retained without a limit, and entries that nodes write until a node has rewritten them.
const RetentionPeriod = 10 * time.Second

// RetainedEntry is an entry of an earlier epoch that is newer than the restored store's value of its key.
type RetainedEntry struct {
	Entry Entry
	// IsLost marks the record of a leaf that the store lost. The entry is not in force, and the leaf gets requests
	// only if no other leaf can serve them.
	IsLost bool
}

// SetWritable sets which keys nodes may write. Entries of these keys are retained until they are rewritten.
func (c *Catalog) SetWritable(mayWrite func(key string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.restored.mayWrite = mayWrite
}

// isExpired reports whether a retained entry must be dropped. Routes and entries that nodes may write never expire. Of
// the others, lost entries expire at once, since they are retained only for nodes to rewrite them, and the rest expire
// RetentionPeriod after the node entered the epoch.
func (c *Catalog) isExpired(retained RetainedEntry) bool {
	key := retained.Entry.Key
	if key == RoutesKey || c.restored.mayWrite == nil || c.restored.mayWrite(key) {
		return false
	}
	return retained.IsLost || !c.restored.at.IsZero() && c.clock.Since(c.restored.at) >= RetentionPeriod
}

// recordRetained marks an entry as retained if its epoch is earlier than the revision with which it was received: then
// another node retains it.
func (c *Catalog) recordRetained(entry Entry, atRevision int64) {
	if !revision.IsLater(atRevision, entry.Revision) {
		return
	}
	if c.restored.retained == nil {
		c.restored.retained = map[string]RetainedEntry{}
	}
	if c.restored.at.IsZero() {
		c.restored.at = c.clock.Now()
	}
	c.restored.retained[entry.Key] = RetainedEntry{Entry: entry}
}

// RetainedEntries returns all retained entries, including those not in force.
func (c *Catalog) RetainedEntries() []RetainedEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]RetainedEntry, 0, len(c.restored.retained))
	for _, retained := range c.restored.retained {
		all = append(all, retained)
	}
	return all
}

// RetainedInForce returns the retained entries that are in force.
func (c *Catalog) RetainedInForce() []Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []Entry
	for _, retained := range c.restored.retained {
		if !retained.IsLost {
			entries = append(entries, retained.Entry)
		}
	}
	return entries
}

// RestoredAt returns when the node entered the epoch in force, or the zero time if it observed no restore.
func (c *Catalog) RestoredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.restored.at
}

// RetainedFingerprint returns a hash of the set of retained entries in force, 0 if it is empty. Every message between
// nodes carries it, so it takes no lock unless the store was restored.
func (c *Catalog) RetainedFingerprint() uint64 {
	if revision.Epoch(c.Revision()) == 0 {
		return 0
	}
	sum := uint64(0)
	for _, entry := range c.RetainedInForce() {
		sum += xxhash.Sum64String(entry.Key + "\x00" + string(entry.Value))
	}
	return sum
}

// Supersedes reports whether a retained entry is newer than the stored one.
func (c *Catalog) Supersedes(retained, stored Entry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isNewer(retained, stored, c.view.Load().Revision)
}

// Retain adds entries that another node at the same revision retains. A node that started after the restore gets the
// lost entries this way. Entries that have expired on this node are skipped.
func (c *Catalog) Retain(entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	draft := c.newDraft(current, current.Revision)
	draft.acceptsOlderRoutes = true
	var added []Entry
	for _, entry := range entries {
		if !c.mayRetain(entry, current.Revision) {
			continue
		}
		c.recordRetained(entry, current.Revision)
		c.setEntry(entry)
		c.compile(draft, entry)
		added = append(added, entry)
	}
	c.putInForce(draft, added)
}

// mayRetain reports whether an entry that another node retains replaces the one in force on this node: it must be of
// an earlier epoch, not expired, not a process record, and newer than the known entry, if any.
func (c *Catalog) mayRetain(entry Entry, atRevision int64) bool {
	known, isKnown := c.entries[entry.Key]
	switch {
	case !revision.IsLater(atRevision, entry.Revision), isProcessRecord(entry.Key):
		return false
	case c.isExpired(RetainedEntry{Entry: entry}):
		return false
	case !isKnown:
		return true
	case revision.IsLater(atRevision, known.Revision):
		return entry.Revision > known.Revision
	case bytes.Equal(known.Value, entry.Value):
		return false
	}
	order, isComparable := compareDocuments(entry, known)
	return !isComparable || order > 0
}

// DropExpired removes the retained entries that were not rewritten in time.
func (c *Catalog) DropExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.view.Load()
	draft := c.newDraft(current, current.Revision)
	var removed []Entry
	for key, retained := range c.restored.retained {
		if !c.isExpired(retained) {
			continue
		}
		delete(c.restored.retained, key)
		if retained.IsLost || retained.Entry.Deleted {
			continue
		}
		entry := Entry{Key: key, Revision: current.Revision, Deleted: true}
		delete(c.entries, key)
		c.compile(draft, entry)
		removed = append(removed, entry)
	}
	c.putInForce(draft, removed)
}

// putInForce replaces the view with a draft of the same revision, and publishes its entries. c.mu must be held.
func (c *Catalog) putInForce(changed *draft, entries []Entry) {
	if len(entries) == 0 {
		return
	}
	c.view.Store(changed.compiled())
	at := c.view.Load().Revision
	c.publish(Change{Entry: Marker(at), Previous: at, More: entries})
}

// RewriteValue returns the value with which an entry of an earlier epoch must be rewritten. It isn't ready while the
// entry depends on another one that has not been rewritten: the progress of a rollout refers to its spec by a count,
// which changes if the restored store lost the spec.
func (c *Catalog) RewriteValue(entry Entry) (value json.RawMessage, isReady bool) {
	service, isState := strings.CutPrefix(entry.Key, rolloutStatePrefix)
	if !isState || entry.Deleted {
		return entry.Value, true
	}
	view := c.View()
	known := view.Rollouts[service]
	if known.Spec == nil || known.State == nil || !known.State.BelongsTo(known.Spec) {
		return entry.Value, true
	}
	if revision.IsLater(view.Revision, known.Spec.Revision) {
		return nil, false
	}
	state := *known.State
	state.SpecRevision = revision.Count(known.Spec.Revision)
	document, err := json.Marshal(state)
	if err != nil {
		return nil, false
	}
	envelope, err := OpenEnvelope(entry.Value)
	if err != nil {
		return nil, false
	}
	value, err = NewDocument(envelope.ChangeID, document, nil)
	return value, err == nil
}
