// Package rewriter writes entries of the fleet to the platform's store again that a restore of the store lost.
//
// Every node retains such entries in force, see catalog.RetainedEntry. One node writes each of them: the first in the
// ranking of the entry's key, and the next ones take over in turn if it does not. Operators and leafs rewrite
// their own entries.
//
// A Writer owns one goroutine, Run, and remembers when it last wrote each key. It relies on the catalog, the
// store, and the registered nodes for the ranking. A write that fails is logged and attempted again by the next
// turn.
package rewriter

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/wait"
)

const (
	// checkInterval is how often a node checks what has to be rewritten.
	checkInterval = time.Second
	// takeover is how long each node waits for the one before it: two checks, and a call that times out.
	takeover = 3 * time.Second
	// maxWrites bounds the entries that a node rewrites in one check, so that all nodes together stay within the
	// store's rate of writes.
	maxWrites = 20
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// EventLog records entries that are rewritten.
type EventLog interface {
	// Rewritten records that the store accepted an entry again, or why it did not.
	Rewritten(key string, err error)
}

// Writer rewrites lost entries, on behalf of one node.
type Writer struct {
	catalog *catalog.Catalog
	store   store.Store
	self    string
	events  EventLog
	// mayWrite reports whether the store lets nodes write a key; other keys are rewritten by those who own them.
	mayWrite func(key string) bool
	// lastWrite is when this node last wrote a key, by key.
	lastWrite map[string]time.Time
}

// New returns a writer for the node of an id. It sets in the catalog which keys the store lets nodes write.
func New(known *catalog.Catalog, target store.Store, self string, events EventLog) *Writer {
	mayWrite := func(string) bool { return true }
	if owned, isOwned := target.(store.Owned); isOwned {
		mayWrite = owned.MayWrite
	}
	known.SetWritable(mayWrite)
	return &Writer{catalog: known, store: target, self: self, events: events, mayWrite: mayWrite, lastWrite: map[string]time.Time{}}
}

// Run rewrites lost entries until the context ends, and makes the catalog drop those that expired.
func (w *Writer) Run(ctx context.Context) {
	for wait.For(ctx, wait.Jittered(checkInterval)) {
		w.catalog.DropExpired()
		w.writeDue(ctx)
	}
}

// writeDue rewrites the entries that are this node's turn now, in order of their keys.
func (w *Writer) writeDue(ctx context.Context) {
	retained := w.catalog.RetainedEntries()
	if len(retained) == 0 {
		clear(w.lastWrite)
		return
	}
	slices.SortFunc(retained, func(a, b catalog.RetainedEntry) int { return strings.Compare(a.Entry.Key, b.Entry.Key) })
	writes := 0
	for _, lost := range retained {
		if writes >= maxWrites || ctx.Err() != nil {
			return
		}
		if !w.mayWrite(lost.Entry.Key) || !w.isDue(lost.Entry.Key, time.Now()) {
			continue
		}
		value, isReady := w.catalog.RewriteValue(lost.Entry)
		if !isReady {
			continue
		}
		writes++
		w.lastWrite[lost.Entry.Key] = time.Now()
		w.events.Rewritten(lost.Entry.Key, w.write(ctx, lost.Entry, value))
	}
}

// isDue decides whether it is this node's turn to rewrite a key: checkInterval after the restore for the first
// node in the ranking of the key, takeover later for each next one, and at most once each takeover.
func (w *Writer) isDue(key string, now time.Time) bool {
	view := w.catalog.View()
	rank := registry.RendezvousRank(view.Nodes, key, w.self)
	turn := w.catalog.RestoredAt().Add(checkInterval + time.Duration(rank)*takeover)
	return !now.Before(turn) && now.Sub(w.lastWrite[key]) >= takeover
}

// write replaces what the store has of a key by the retained entry, unless the store's is newer: then the change
// is on its way here.
func (w *Writer) write(ctx context.Context, entry catalog.Entry, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := w.store.Get(ctx, entry.Key)
	if err != nil {
		return err
	}
	if current != nil && !w.catalog.Supersedes(entry, *current) {
		return nil
	}
	_, err = w.store.CompareAndSwap(ctx, entry.Key, current.LiveRevision(), value, entry.Deleted)
	return err
}
