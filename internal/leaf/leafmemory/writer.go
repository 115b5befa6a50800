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

// checkInterval is how often a writer compares the leafs with the list.
const checkInterval = time.Second

// writeTimeout bounds one write of the list.
const writeTimeout = time.Second

// Writer stores the list of leafs for nodes that start. All nodes run one; the first by
// the hash of their ids writes, and if it does not, the others take over one after the
// other. Each write is conditional on the revision that it replaces, so that concurrent ones do no harm.
type Writer struct {
	config  Config
	catalog *catalog.Catalog
	store   store.Store
	self    string
	logger  *zap.Logger

	wanted []leafset.Record // what the list should be
	since  time.Time        // when wanted last changed
	// leafs and remembered are the sets that were compared last, and isWritten is the result. It is kept because the sets
	// rarely change, and comparing thousands of leafs each second would be a large part of an idle node's CPU time.
	leafs, remembered *leafset.Set
	isWritten         bool
}

// NewWriter returns the writer of the node of an id.
func NewWriter(config Config, known *catalog.Catalog, kept store.Store, self string, logger *zap.Logger) *Writer {
	return &Writer{config: config, catalog: known, store: kept, self: self, logger: logger}
}

// Run stores the list whenever it has changed, until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for wait.For(ctx, checkInterval) {
		if !w.isDue(time.Now()) {
			continue
		}
		if err := w.write(ctx); err != nil {
			w.logger.Info("list of leafs can't be stored", zap.Error(err))
		}
	}
}

// isDue decides whether this node stores the list now.
//
// Rule: the leafs have differed from the stored list, and been unchanged themselves, for Config.WriteDelay times one
// more than the node's rank. A set without ready leafs is not stored, since it means an outage of discovery.
func (w *Writer) isDue(now time.Time) bool {
	view := w.catalog.View()
	w.compare(view, now)
	if len(w.wanted) == 0 || len(w.wanted) > w.config.MaximumLeafs || w.isWritten {
		return false
	}
	rank := registry.RendezvousRank(view.Nodes, catalog.SavedLeafsKey, w.self)
	return now.Sub(w.since) >= w.config.WriteDelay*time.Duration(1+rank)
}

// compare updates wanted and isWritten, if the leafs or the stored list changed since the last call.
func (w *Writer) compare(view *catalog.View, now time.Time) {
	if view.Leafs == w.leafs && view.Remembered == w.remembered {
		return
	}
	w.leafs, w.remembered = view.Leafs, view.Remembered
	if current := records(view.Leafs); !slices.Equal(current, w.wanted) {
		w.wanted, w.since = current, now
	}
	w.isWritten = slices.Equal(w.wanted, records(view.Remembered))
}

// records returns the records of the ready leafs in order of name, without the fields that change with each heartbeat.
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

// write stores the list.
func (w *Writer) write(ctx context.Context) error {
	document, err := json.Marshal(leafset.List{Leafs: w.wanted})
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "encode list of leafs")
	}
	replaced, _ := w.catalog.Entry(catalog.SavedLeafsKey)
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = w.store.CompareAndSwap(ctx, catalog.SavedLeafsKey, replaced.LiveRevision(), value, false)
	w.since = time.Now() // a retry waits as long again
	return err
}
