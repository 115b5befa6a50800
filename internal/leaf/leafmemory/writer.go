package leafmemory

import (
	"context"
	"slices"
	"strings"
	"time"

	json "github.com/goccy/go-json"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/wait"
)

// checkInterval is the interval at which a writer compares the leafs with the stored list.
const checkInterval = time.Second

// writeTimeout is the timeout of a write of the list.
const writeTimeout = time.Second

// Writer stores the list of leafs for nodes that start. Every node runs one. The first node in rendezvous order writes,
// and if it does not, the others take over one after another. Each write is conditional on the revision that it
// replaces, so that concurrent writes are safe.
type Writer struct {
	cfg     Config
	catalog *catalog.Catalog
	store   store.Store
	self    string
	logger  *zap.Logger

	desired []leafset.Record // the list to store
	since   time.Time        // when desired last changed
	// leafs and storedLeafs are the sets compared last, and isStored is the result. It is cached because the sets rarely
	// change, and comparing thousands of leafs per second would take a large part of an idle node's CPU time.
	leafs, storedLeafs *leafset.Set
	isStored           bool
}

// NewWriter returns the writer of the node whose ID is self.
func NewWriter(cfg Config, cat *catalog.Catalog, leafStore store.Store, self string, logger *zap.Logger) *Writer {
	return &Writer{cfg: cfg, catalog: cat, store: leafStore, self: self, logger: logger}
}

// Run stores the list when it has changed, until the context is done.
func (w *Writer) Run(ctx context.Context) {
	for wait.For(ctx, checkInterval) {
		if !w.isDue(time.Now()) {
			continue
		}
		if err := w.write(ctx); err != nil {
			w.logger.Info("the list of leafs could not be stored; retrying later", zap.Error(err))
		}
	}
}

// isDue decides whether this node stores the list now.
//
// Rule: the list is stored if it differs from the stored one and has been unchanged for Config.WriteDelay multiplied by
// one more than the node's rank. A list without leafs is not stored, since it indicates an outage of discovery.
func (w *Writer) isDue(now time.Time) bool {
	view := w.catalog.View()
	w.compare(view, now)
	if len(w.desired) == 0 || len(w.desired) > w.cfg.MaximumLeafs || w.isStored {
		return false
	}
	rank := registry.RendezvousRank(view.Nodes, catalog.StoredLeafsKey, w.self)
	return now.Sub(w.since) >= w.cfg.WriteDelay*time.Duration(1+rank)
}

// compare updates desired and isStored if the leafs or the stored list changed since the last call.
func (w *Writer) compare(view *catalog.View, now time.Time) {
	if view.Leafs == w.leafs && view.StoredLeafs == w.storedLeafs {
		return
	}
	w.leafs, w.storedLeafs = view.Leafs, view.StoredLeafs
	if current := records(view.Leafs); !slices.Equal(current, w.desired) {
		w.desired, w.since = current, now
	}
	w.isStored = slices.Equal(w.desired, records(view.StoredLeafs))
}

// records returns the records of the ready leafs sorted by name, without the fields that change with each heartbeat.
func records(set *leafset.Set) []leafset.Record {
	var ready []leafset.Record
	for _, id := range set.IDs() {
		leaf, _ := set.ByID(id)
		if leaf.State != leafset.Ready {
			continue
		}
		record := leaf.Record
		record.WarmupMillis, record.Sequence = 0, 0
		ready = append(ready, record)
	}
	slices.SortFunc(ready, func(a, b leafset.Record) int { return strings.Compare(a.Name, b.Name) })
	return ready
}

// write stores the list if the stored one has not changed since it was read.
func (w *Writer) write(ctx context.Context) error {
	document, err := json.Marshal(leafset.List{Leafs: w.desired})
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "encode the list of leafs")
	}
	replaced, _ := w.catalog.Entry(catalog.StoredLeafsKey)
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = w.store.CompareAndSwap(ctx, catalog.StoredLeafsKey, replaced.LiveRevision(), value, false)
	w.since = time.Now() // a retry waits for the same delay
	return err
}
