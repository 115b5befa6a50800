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

// versionsInterval is how often the serving versions are compared with those in the store.
const versionsInterval = time.Second

// VersionsWriter writes to the store which version serves each service that never had a roll-out, so that another
// version beside it gets nothing without a spec. Every node runs one; the first by rendezvous hash writes, and the
// others take over after growing delays. A write applies only in place of the revision that it was computed from.
type VersionsWriter struct {
	cfg     Config
	catalog *catalog.Catalog
	store   store.Store
	self    string
	events  EventLog

	view   *catalog.View // the latest one handled
	wanted map[string]string
	since  time.Time // when that became wanted, or was last written
}

// NewVersionsWriter returns a writer for the node with the given id.
func NewVersionsWriter(cfg Config, known *catalog.Catalog, kept store.Store, self string, events EventLog) *VersionsWriter {
	return &VersionsWriter{cfg: cfg, catalog: known, store: kept, self: self, events: events}
}

// Run writes the versions whenever they have changed, until the context ends.
func (w *VersionsWriter) Run(ctx context.Context) {
	for wait.For(ctx, versionsInterval) {
		w.step(ctx, time.Now())
	}
}

func (w *VersionsWriter) step(ctx context.Context, now time.Time) {
	// Read the entry first: the wanted versions are then computed from it or a later one, and a later one fails the write.
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

// isDue reports whether the wanted versions have differed from the stored ones for long enough that this node writes
// them.
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
	rank := registry.RendezvousRank(view.Nodes, catalog.VersionsKey, w.self)
	return now.Sub(w.since) >= w.cfg.VersionsDelay*time.Duration(1+rank)
}

// wantedVersions returns what the store should have: the stored versions, without services that are gone, and the
// services whose leafs are all of one version and that no spec concerns.
func wantedVersions(view *catalog.View) map[string]string {
	wanted := map[string]string{}
	isNamed := namedServices(view)
	for service, version := range view.Versions {
		if isNamed(service) || len(view.Leafs.ByService(service)) > 0 {
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
		if isOneVersion(view.Leafs.ByService(leaf.Service)) {
			wanted[leaf.Service] = leaf.Version
		}
	}
	return wanted
}

// namedServices returns a function that reports whether a route, a spec or a state names a service. While there are
// no routes at all it returns true for every service.
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

// isOneVersion reports whether all leafs have the same, known version.
func isOneVersion(leafs []*leafset.Leaf) bool {
	version := leafs[0].Version
	return version != "" && !slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool { return leaf.Version != version })
}

// documentOf returns the stored form of versions by service.
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
