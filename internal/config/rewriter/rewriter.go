// Package rewriter rewrites the entries of nodes in the platform's store that were lost when the store was restored from
// a backup.
//
// Every node retains such entries in force, see catalog.RetainedEntry. Each of them is rewritten by the first node in the
// rendezvous ranking of its key; the next nodes take over in turn if that node fails. Operators and leafs rewrite their
// own entries.
//
// A Rewriter runs in one goroutine, Run, and stores when it last wrote each key. A failed write is logged and retried on
// the node's next turn.
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
	// checkInterval is how often a node checks which entries it must rewrite.
	checkInterval = time.Second
	// takeoverDelay is how long each node waits for the node ranked before it: two checks and a call that times out.
	takeoverDelay = 3 * time.Second
	// maxWrites bounds the entries that a node rewrites per check, so that all nodes together stay within the store's
	// rate limit.
	maxWrites = 20
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
)

// EventLog records rewritten entries.
type EventLog interface {
	// Rewritten records that an entry was rewritten, or the error that prevented it.
	Rewritten(key string, err error)
}

// Rewriter rewrites lost entries on behalf of one node.
type Rewriter struct {
	catalog *catalog.Catalog
	store   store.Store
	self    string
	events  EventLog
	// mayWrite reports whether the store allows nodes to write a key. Other keys are rewritten by their owners.
	mayWrite func(key string) bool
	// lastWrite is when this node last wrote a key, by key.
	lastWrite map[string]time.Time
}

// New returns a rewriter for the node with the given ID. It passes the keys that nodes may write to Catalog.SetWritable.
func New(cat *catalog.Catalog, target store.Store, self string, events EventLog) *Rewriter {
	mayWrite := func(string) bool { return true }
	if owned, isOwned := target.(store.WriteRestricted); isOwned {
		mayWrite = owned.MayWrite
	}
	cat.SetWritable(mayWrite)
	return &Rewriter{catalog: cat, store: target, self: self, events: events, mayWrite: mayWrite, lastWrite: map[string]time.Time{}}
}

// Run rewrites lost entries and drops expired ones until the context is done.
func (r *Rewriter) Run(ctx context.Context) {
	for wait.For(ctx, wait.Jittered(checkInterval)) {
		r.catalog.DropExpired()
		r.writeDue(ctx)
	}
}

// writeDue rewrites the entries that are due on this node, in key order.
func (r *Rewriter) writeDue(ctx context.Context) {
	retained := r.catalog.RetainedEntries()
	if len(retained) == 0 {
		clear(r.lastWrite)
		return
	}
	slices.SortFunc(retained, func(a, b catalog.RetainedEntry) int { return strings.Compare(a.Entry.Key, b.Entry.Key) })
	writes := 0
	for _, entry := range retained {
		if writes >= maxWrites || ctx.Err() != nil {
			return
		}
		if !r.mayWrite(entry.Entry.Key) || !r.isDue(entry.Entry.Key, time.Now()) {
			continue
		}
		value, isReady := r.catalog.RewriteValue(entry.Entry)
		if !isReady {
			continue
		}
		writes++
		r.lastWrite[entry.Entry.Key] = time.Now()
		r.events.Rewritten(entry.Entry.Key, r.write(ctx, entry.Entry, value))
	}
}

// isDue reports whether this node must rewrite a key now. The first node in the key's ranking starts checkInterval after
// the restore, each further one takeoverDelay later. A node rewrites a key at most once per takeoverDelay.
func (r *Rewriter) isDue(key string, now time.Time) bool {
	view := r.catalog.View()
	rank := registry.RendezvousRank(view.Nodes, key, r.self)
	turn := r.catalog.RestoredAt().Add(checkInterval + time.Duration(rank)*takeoverDelay)
	return !now.Before(turn) && now.Sub(r.lastWrite[key]) >= takeoverDelay
}

// write replaces a key's entry in the store with the retained one. If the store's entry is newer, it does nothing: the
// watch will deliver that entry.
func (r *Rewriter) write(ctx context.Context, entry catalog.Entry, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := r.store.Get(ctx, entry.Key)
	if err != nil {
		return err
	}
	if current != nil && !r.catalog.Supersedes(entry, *current) {
		return nil
	}
	_, err = r.store.CompareAndSwap(ctx, entry.Key, current.LiveRevision(), value, entry.Deleted)
	return err
}
