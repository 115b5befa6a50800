// Package rewriter writes again what the fleet wrote to the platform's store and a restore of the store lost.
//
// Every node keeps such entries in force, see catalog.Kept. One of them writes each: the first by the hash of their ids, and
// the others take over one after the other if nothing comes of it. Operators and leafs write again what is theirs.
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
	// checkInterval is how often a node looks for what is to be written again.
	checkInterval = time.Second
	// takeover is how long each node waits for the one before it: two looks, and a call that times out.
	takeover = 3 * time.Second
	// mostWrites bounds the entries that a node writes again at one look. All of 3,300 nodes together write what is kept once;
	// a store that takes 400 writes a second has 20 entries of 20 nodes written in one.
	mostWrites = 20
	// callTimeout bounds one call of the store.
	callTimeout = time.Second
)

// EventLog is told of entries that are written again.
type EventLog interface {
	// Rewritten tells that the store took an entry again, or why not.
	Rewritten(key string, err error)
}

// Writer writes again what is lost, for one node.
type Writer struct {
	catalog *catalog.Catalog
	store   store.Store
	self    string
	events  EventLog
	// mayWrite reports whether the store lets nodes write a key; the others write what is theirs again themselves.
	mayWrite func(key string) bool
	// tried is when this node last wrote a key, by key.
	tried map[string]time.Time
}

// New returns a writer for the node of an id. The catalog is told which keys the store lets nodes write.
func New(known *catalog.Catalog, kept store.Store, self string, events EventLog) *Writer {
	mayWrite := func(string) bool { return true }
	if owned, isOwned := kept.(store.Owned); isOwned {
		mayWrite = owned.MayWrite
	}
	known.SetWritable(mayWrite)
	return &Writer{catalog: known, store: kept, self: self, events: events, mayWrite: mayWrite, tried: map[string]time.Time{}}
}

// Run writes again what is lost until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for wait.For(ctx, wait.Jittered(checkInterval)) {
		w.catalog.DropExpired()
		w.writeDue(ctx)
	}
}

// writeDue writes the entries that are this node's to write now.
func (w *Writer) writeDue(ctx context.Context) {
	kept := w.catalog.Retained()
	if len(kept) == 0 {
		clear(w.tried)
		return
	}
	slices.SortFunc(kept, func(a, b catalog.Retained) int { return strings.Compare(a.Entry.Key, b.Entry.Key) })
	writes := 0
	for _, one := range kept {
		if writes >= mostWrites || ctx.Err() != nil {
			return
		}
		if !w.mayWrite(one.Entry.Key) || !w.isDue(one.Entry.Key, time.Now()) {
			continue
		}
		value, isReady := w.catalog.RewriteValue(one.Entry)
		if !isReady {
			continue
		}
		writes++
		w.tried[one.Entry.Key] = time.Now()
		w.events.Rewritten(one.Entry.Key, w.write(ctx, one.Entry, value))
	}
}

// isDue reports whether it is this node's turn to write a key.
func (w *Writer) isDue(key string, now time.Time) bool {
	view := w.catalog.View()
	rank := registry.Rank(view.Nodes, key, w.self)
	turn := w.catalog.RestoredAt().Add(checkInterval + time.Duration(rank)*takeover)
	return !now.Before(turn) && now.Sub(w.tried[key]) >= takeover
}

// write puts an entry in the place of what the store has, unless that is newer: then word of it is on its way.
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
