package rolloutcontrol

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
)

// versionsInterval is how often the versions are compared with what is written down.
const versionsInterval = time.Second

// VersionsWriter writes down which version serves each service that never had a roll-out, so that another version
// which comes beside it gets nothing without an order. All nodes run one; the first by hash writes, and the others
// take over the longer nothing comes. The write is fenced by the revision that it replaces.
type VersionsWriter struct {
	cfg     Config
	catalog *catalog.Catalog
	store   store.Store
	self    string
	events  EventLog

	view   *catalog.View // the last one looked at
	wanted map[string]string
	since  time.Time // when that became wanted, or was last tried
}

// NewVersionsWriter makes a writer for the node of an id.
func NewVersionsWriter(cfg Config, known *catalog.Catalog, kept store.Store, self string, events EventLog) *VersionsWriter {
	return &VersionsWriter{cfg: cfg, catalog: known, store: kept, self: self, events: events}
}

// Run writes the versions whenever they changed, until the context ends.
func (w *VersionsWriter) Run(ctx context.Context) {
	for wait.For(ctx, versionsInterval) {
		w.step(ctx, time.Now())
	}
}

func (w *VersionsWriter) step(ctx context.Context, now time.Time) {
	// The entry first: what is wanted then follows from it or from a later one, and a later one refuses the write.
	replaced, _ := w.catalog.Entry(catalog.VersionsKey)
	view := w.catalog.View()
	if !w.isDue(now, view) {
		return
	}
	w.since = now
	err := w.write(ctx, replaced)
	if failure.Is(err, failure.RevisionConflict) {
		return // another node was first
	}
	w.events.VersionsWritten(VersionsWriteEvent{Services: len(w.wanted), Err: err})
}

// isDue reports whether what should be written down differs from what is for so long that this node writes it.
func (w *VersionsWriter) isDue(now time.Time, view *catalog.View) bool {
	if view != w.view {
		w.view = view
		if wanted := wantedVersions(view); w.wanted == nil || !maps.Equal(wanted, w.wanted) {
			w.wanted, w.since = wanted, now
		}
	}
	if maps.Equal(w.wanted, view.Versions) {
		return false
	}
	rank := registry.Rank(view.Nodes, catalog.VersionsKey, w.self)
	return now.Sub(w.since) >= w.cfg.VersionsDelay*time.Duration(1+rank)
}

// wantedVersions gives what should be written down: what is, without services that are gone, and the services whose
// leafs are all of one version and that no order concerns.
func wantedVersions(view *catalog.View) map[string]string {
	wanted := map[string]string{}
	isNamed := namedServices(view)
	for service, version := range view.Versions {
		if isNamed(service) || len(view.Leafs.Of(service)) > 0 {
			wanted[service] = version
		}
	}
	seen := map[string]bool{}
	for _, id := range view.Leafs.IDs() {
		leaf, _ := view.Leafs.ByID(id)
		if seen[leaf.Service] || wanted[leaf.Service] != "" || view.Rollouts[leaf.Service] != (catalog.Rollout{}) {
			continue
		}
		seen[leaf.Service] = true
		if isOneVersion(view.Leafs.Of(leaf.Service)) {
			wanted[leaf.Service] = leaf.Version
		}
	}
	return wanted
}

// namedServices tells which services a route, an order or a state names. While there are no routes at all, every
// service may be one that they name.
func namedServices(view *catalog.View) func(service string) bool {
	if view.Routes == nil {
		return func(string) bool { return true }
	}
	names := view.Routes.ServiceNames()
	return func(service string) bool {
		_, isRoutedByName := slices.BinarySearch(names, service)
		return isRoutedByName || view.Rollouts[service] != (catalog.Rollout{})
	}
}

// isOneVersion reports whether all of some leafs tell the same version.
func isOneVersion(leafs []*leafset.Leaf) bool {
	version := leafs[0].Version
	return version != "" && !slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool { return leaf.Version != version })
}

// documentOf gives versions by service as they are written down.
func documentOf(byService map[string]string) (json.RawMessage, error) {
	versions := rollout.Versions{ByVersion: map[string][]string{}}
	for service, version := range byService {
		versions.ByVersion[version] = append(versions.ByVersion[version], service)
	}
	for _, services := range versions.ByVersion {
		slices.SortFunc(services, strings.Compare)
	}
	return json.Marshal(versions)
}

func (w *VersionsWriter) write(ctx context.Context, replaced catalog.Entry) error {
	document, err := documentOf(w.wanted)
	if err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "encode the versions of services")
	}
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.WriteTimeout)
	defer cancel()
	expected := replaced.LiveRevision()
	result, err := w.store.CompareAndSwap(ctx, catalog.VersionsKey, expected, value, false)
	if err != nil {
		return failure.Wrap(err, failure.StoreUnavailable, failure.Unknown, "write the versions of services")
	}
	if !result.Swapped {
		return failure.New(failure.RevisionConflict, failure.NotRun, "%s is not at revision %d", catalog.VersionsKey, expected)
	}
	return nil
}
