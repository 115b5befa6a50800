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

// VersionsWriter writes the serving versions of services that never had a rollout to the store, so that other versions
// receive no requests without a spec. Every node runs one. The first node by rendezvous hash writes, and the others
// take over after increasing delays. A write takes effect only if it replaces the revision that it was computed from.
type VersionsWriter struct {
	cfg     Config
	catalog *catalog.Catalog
	store   store.Store
	self    string
	events  EventLog

	view   *catalog.View // latest handled view
	wanted map[string]string
	since  time.Time // when wanted changed, or the last write was sent
}

// NewVersionsWriter returns a writer for the node with the ID self.
func NewVersionsWriter(cfg Config, nodeCatalog *catalog.Catalog, versionStore store.Store, self string, events EventLog) *VersionsWriter {
	return &VersionsWriter{cfg: cfg, catalog: nodeCatalog, store: versionStore, self: self, events: events}
}

// Run checks every versionsInterval whether the versions must be written, until the context is done.
func (w *VersionsWriter) Run(ctx context.Context) {
	for wait.For(ctx, versionsInterval) {
		w.step(ctx, time.Now())
	}
}

func (w *VersionsWriter) step(ctx context.Context, now time.Time) {
	// The entry is read before the view: if the versions are computed from a later entry, the write conflicts.
	replaced, _ := w.catalog.Entry(catalog.VersionsKey)
	view := w.catalog.View()
	if !w.isDue(now, view) {
		return
	}
	w.since = now
	err := w.write(ctx, replaced)
	if failure.Is(err, failure.RevisionConflict) {
		return // another node has written
	}
	w.events.VersionsWritten(VersionsWriteEvent{Services: len(w.wanted), Err: err})
}

// isDue reports whether the wanted versions differ from the stored ones and have been unchanged for the delay of this
// node's rank.
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

// wantedVersions returns the versions that the store should contain: the stored versions of existing services, and the
// versions of services without a spec or state whose leafs all have the same version.
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
		if haveSameVersion(view.Leafs.ByService(leaf.Service)) {
			wanted[leaf.Service] = leaf.Version
		}
	}
	return wanted
}

// namedServices returns a function that reports whether a service is named by a route, a spec or a state. Without a
// routing configuration the function returns true for every service.
func namedServices(view *catalog.View) func(service string) bool {
	if view.Routes == nil {
		return func(string) bool { return true }
	}
	names := view.Routes.ServiceNames()
	return func(service string) bool {
		_, isRouted := slices.BinarySearch(names, service)
		return isRouted || view.Rollouts[service] != (catalog.Rollout{})
	}
}

// haveSameVersion reports whether all leafs have the same non-empty version.
func haveSameVersion(leafs []*leafset.Leaf) bool {
	version := leafs[0].Version
	return version != "" && !slices.ContainsFunc(leafs, func(leaf *leafset.Leaf) bool { return leaf.Version != version })
}

// documentOf encodes versions by service as they are stored.
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
