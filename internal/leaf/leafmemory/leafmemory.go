// Package leafmemory keeps leafs usable for a short while after discovery lost them.
//
// Discovery can lose healthy leafs: their records expire while the store is down and return with the next heartbeat
// after the outage. Until then, requests for a service without any ready leaf are sent to leafs that were ready
// recently. A node that just started has seen none, and uses the last list that the fleet stored. This is safe, because
// a leaf refuses requests that are meant for another incarnation.
//
// A Memory reads the catalog's view, which records when leafs were lost, by the catalog's clock. It has no state of its
// own. A Writer stores the list of leafs, and its Run is a goroutine of the node. Failed writes are logged and retried.
package leafmemory

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Memory determines the leafs that may get requests. It is safe for concurrent use.
type Memory struct {
	cfg     Config
	catalog *catalog.Catalog
	now     func() time.Time
	started time.Time
}

// New returns the memory of a node that is starting.
func New(cfg Config, cat *catalog.Catalog) *Memory {
	return &Memory{cfg: cfg, catalog: cat, now: time.Now, started: time.Now()}
}

// SetClock sets the clock by which losses are timed, which must be the catalog's clock. It must be called before the
// memory is used.
func (m *Memory) SetClock(clock boottime.Clock) {
	m.now = clock.Now
	m.started = clock.Now()
}

// Candidates returns the leafs of a service that may get requests other than canary requests: its ready leafs or, as a
// last resort, lost ones (see fallback). It never returns leafs of an evacuated zone or of a version that does not
// serve.
func (m *Memory) Candidates(service string) (leafs []*leafset.Leaf, lastResort bool) {
	view := m.catalog.View()
	ready := view.Leafs.Ready(service)
	if len(ready) > 0 {
		return ready, false
	}
	return m.fallback(view, service, view.Leafs.MayServe), true
}

// CanaryLeafs returns the leafs of a service that may get canary requests: its ready canary leafs or, if there are
// none, lost ones (see fallback). It never returns leafs of an evacuated zone.
func (m *Memory) CanaryLeafs(service string) []*leafset.Leaf {
	view := m.catalog.View()
	if ready := view.Leafs.CanaryLeafs(service); len(ready) > 0 {
		return ready
	}
	return m.fallback(view, service, view.Leafs.MayServeCanary)
}

// fallback selects the leafs that get requests if a service has no ready leaf: the leafs that were lost within
// Config.Retention or, if there are none and the node started within Config.StoredListAfterStart, the leafs of the
// stored list, each if maySend allows it. If all leafs of a service are lost, a failure of discovery is more likely
// than a failure of every leaf.
func (m *Memory) fallback(view *catalog.View, service string, maySend func(*leafset.Leaf) bool) []*leafset.Leaf {
	isExcluded := func(leaf *leafset.Leaf) bool { return !maySend(leaf) }
	recent := slices.DeleteFunc(view.Leafs.LostSince(service, m.lossCutoff()), isExcluded)
	if len(recent) > 0 || !m.isNew() {
		return recent
	}
	return slices.DeleteFunc(slices.Clone(view.StoredLeafs.ByService(service)), isExcluded)
}

// MaySend reports whether a request may be sent to a leaf, serving or canary, now. It is checked right before sending,
// because since the leaf was chosen it may have drained or ended, its zone may have been evacuated, or its version may
// have been disallowed.
func (m *Memory) MaySend(id string) bool {
	view := m.catalog.View()
	leaf, found := view.Leafs.ByID(id)
	if !found || leaf.State != leafset.Ready {
		leaf, found = view.Leafs.LostByID(id, m.lossCutoff())
	}
	if !found && m.isNew() {
		leaf, found = view.StoredLeafs.ByID(id)
	}
	return found && view.Leafs.IsAllowed(leaf)
}

// IDs returns the IDs of all leafs that this node may need connections to: all listed leafs, including draining ones
// and those in evacuated zones, lost leafs within Config.Retention and, on a new node, leafs of the stored list. An ID
// may occur more than once. Leafs of a disallowed version are not included.
func (m *Memory) IDs() []string {
	view := m.catalog.View()
	var ids []string
	for _, id := range view.Leafs.IDs() {
		leaf, _ := view.Leafs.ByID(id)
		ids = appendAllowed(ids, view.Leafs, leaf)
	}
	since := m.lossCutoff()
	for _, id := range view.Leafs.LostIDs(since) {
		leaf, _ := view.Leafs.LostByID(id, since)
		ids = appendAllowed(ids, view.Leafs, leaf)
	}
	if !m.isNew() {
		return ids
	}
	for _, id := range view.StoredLeafs.IDs() {
		leaf, _ := view.StoredLeafs.ByID(id)
		ids = appendAllowed(ids, view.Leafs, leaf)
	}
	return ids
}

// appendAllowed appends the ID of a leaf unless its version is disallowed by the set's rules.
func appendAllowed(ids []string, set *leafset.Set, leaf *leafset.Leaf) []string {
	if set.IsVersionDisallowed(leaf) {
		return ids
	}
	return append(ids, leaf.ID)
}

// lossCutoff returns the earliest time of a loss that is within Config.Retention.
func (m *Memory) lossCutoff() time.Time { return m.now().Add(-m.cfg.Retention) }

// isNew reports whether the node started within Config.StoredListAfterStart, so that it uses the stored list.
func (m *Memory) isNew() bool { return m.now().Sub(m.started) < m.cfg.StoredListAfterStart }
