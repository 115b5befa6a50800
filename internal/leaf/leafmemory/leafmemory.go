// Package leafmemory keeps leafs usable for a short while after discovery lost them.
//
// Discovery loses healthy leafs: their records expire while the store is down, and come
// back with the next heartbeat after that. Until then requests for a service without any ready leaf go to
// those that were ready a moment ago. A node that starts has seen none, and uses the last list that
// the fleet stored. Each leaf refuses requests that are meant for another incarnation, so that asking a
// leaf that is really gone does no harm.
//
// A Memory reads the catalog's view, which records when leafs were lost, by the catalog's clock; it has no state of its
// own. A Writer stores the list of leafs; its Run is a goroutine of the node. Failed writes are logged and retried.
package leafmemory

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Memory returns the leafs that may be asked; safe for concurrent use.
type Memory struct {
	config  Config
	catalog *catalog.Catalog
	now     func() time.Time
	started time.Time
}

// New returns the memory of a node that starts now.
func New(config Config, known *catalog.Catalog) *Memory {
	return &Memory{config: config, catalog: known, now: time.Now, started: time.Now()}
}

// SetClock sets the clock by which leafs are lost, which must be that of the catalog. It must be called before
// the memory is used.
func (m *Memory) SetClock(clock boottime.Clock) {
	m.now = clock.Now
	m.started = clock.Now()
}

// Candidates returns the leafs of a service that may be asked for requests other than those for canaries: ready ones, or,
// as a last resort, lost ones (see fallback). Leafs of an evacuated zone are never among them, nor those of a version
// that doesn't serve.
func (m *Memory) Candidates(service string) (leafs []*leafset.Leaf, lastResort bool) {
	view := m.catalog.View()
	ready := view.Leafs.Ready(service)
	if len(ready) > 0 {
		return ready, false
	}
	return m.fallback(view, service, view.Leafs.MayServe), true
}

// Canaries returns the leafs of a service that may be asked if all requests go to its canary version: ready ones,
// or, if there are none, lost ones (see fallback). Leafs of an evacuated zone are never among them.
func (m *Memory) Canaries(service string) []*leafset.Leaf {
	view := m.catalog.View()
	if ready := view.Leafs.Canaries(service); len(ready) > 0 {
		return ready
	}
	return m.fallback(view, service, view.Leafs.MayServeCanary)
}

// fallback decides which lost leafs of a service are asked when it has no ready leaf.
//
// Inputs: when each leaf was lost, how long ago this node started, the stored list, and which leafs may be asked by zone
// and version.
//
// Rule: the leafs that were lost within Config.Retention; if there are none, and the node started within
// Config.TrustAfterStart, those of the stored list. Discovery that lost every leaf of a service is more likely at fault
// than the leafs.
func (m *Memory) fallback(view *catalog.View, service string, maySend func(*leafset.Leaf) bool) []*leafset.Leaf {
	mayNot := func(leaf *leafset.Leaf) bool { return !maySend(leaf) }
	recent := slices.DeleteFunc(view.Leafs.LostSince(service, m.oldestLoss()), mayNot)
	if len(recent) > 0 || !m.isNew() {
		return recent
	}
	return slices.DeleteFunc(slices.Clone(view.Remembered.ByService(service)), mayNot)
}

// MaySend reports whether a leaf, serving or canary, may be sent a request now. A request that was planned
// a while ago may not be sent any more: meanwhile the leaf may have started to drain or gone, its zone may have been
// evacuated, or its version disallowed.
func (m *Memory) MaySend(id string) bool {
	view := m.catalog.View()
	leaf, found := view.Leafs.ByID(id)
	if !found || leaf.State != leafset.Ready {
		leaf, found = view.Leafs.LostByID(id, m.oldestLoss())
	}
	if !found && m.isNew() {
		leaf, found = view.Remembered.ByID(id)
	}
	return found && view.Leafs.IsAllowed(leaf)
}

// IDs returns the id of every leaf that may be asked, including lost leafs and those that may be asked again once the
// evacuation of their zone ends, but not those of a disallowed version.
func (m *Memory) IDs() []string {
	view := m.catalog.View()
	var ids []string
	for _, id := range view.Leafs.IDs() {
		leaf, _ := view.Leafs.ByID(id)
		ids = appendAllowed(ids, view.Leafs, leaf)
	}
	since := m.oldestLoss()
	for _, id := range view.Leafs.LostIDs(since) {
		leaf, _ := view.Leafs.LostByID(id, since)
		ids = appendAllowed(ids, view.Leafs, leaf)
	}
	if !m.isNew() {
		return ids
	}
	for _, id := range view.Remembered.IDs() {
		leaf, _ := view.Remembered.ByID(id)
		ids = appendAllowed(ids, view.Leafs, leaf)
	}
	return ids
}

// appendAllowed appends the id of a leaf unless a set bars its version.
func appendAllowed(ids []string, set *leafset.Set, leaf *leafset.Leaf) []string {
	if set.IsVersionDisallowed(leaf) {
		return ids
	}
	return append(ids, leaf.ID)
}

// oldestLoss returns the time since which a leaf must have been lost to be asked.
func (m *Memory) oldestLoss() time.Time { return m.now().Add(-m.config.Retention) }

// isNew reports whether the node started so recently that it uses the stored list.
func (m *Memory) isNew() bool { return m.now().Sub(m.started) < m.config.TrustAfterStart }
