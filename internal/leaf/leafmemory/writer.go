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

// Writer writes the list of leafs down for nodes that start. All nodes run one; the first by
// the hash of their ids writes, and the others take over the longer nothing comes, one after the
// other. The write is fenced by the revision that it replaces, so that two do no harm.
type Writer struct {
	config  Config
	catalog *catalog.Catalog
	store   store.Store
	self    string
	logger  *zap.Logger

	wanted []leafset.Record
	since  time.Time // when the leafs became what is wanted
	// leafs and remembered are those last compared, isWritten what came of it: most looks find nothing
	// new, and comparing thousands of leafs each second is a small node's dearest work at rest.
	leafs, remembered *leafset.Set
	isWritten         bool
}

// NewWriter makes a writer for the node of an id.
func NewWriter(config Config, known *catalog.Catalog, kept store.Store, self string, logger *zap.Logger) *Writer {
	return &Writer{config: config, catalog: known, store: kept, self: self, logger: logger}
}

// Run writes the list whenever it changed, until the context ends.
func (w *Writer) Run(ctx context.Context) {
	for wait.For(ctx, checkInterval) {
		if !w.isDue(time.Now()) {
			continue
		}
		if err := w.write(ctx); err != nil {
			w.logger.Info("list of leafs can't be written", zap.Error(err))
		}
	}
}

// isDue reports whether the list differs from the leafs for so long that this node writes it.
func (w *Writer) isDue(now time.Time) bool {
	view := w.catalog.View()
	w.compare(view, now)
	if len(w.wanted) == 0 || len(w.wanted) > w.config.MaximumLeafs || w.isWritten {
		return false
	}
	rank := registry.Rank(view.Nodes, catalog.RememberedKey, w.self)
	return now.Sub(w.since) >= w.config.WriteDelay*time.Duration(1+rank)
}

// compare finds what is wanted, and whether it is written, if either changed since the last look.
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

// records gives the ready leafs in order of name, without what changes from one of their writes to the next.
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

func (w *Writer) write(ctx context.Context) error {
	document, err := json.Marshal(leafset.List{Leafs: w.wanted})
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "encode list of leafs")
	}
	replaced, _ := w.catalog.Entry(catalog.RememberedKey)
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = w.store.CompareAndSwap(ctx, catalog.RememberedKey, replaced.LiveRevision(), value, false)
	w.since = time.Now() // the next try, if any, waits as long again
	return err
}
