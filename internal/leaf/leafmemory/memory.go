// Package leafmemory keeps leafs usable for a short while after discovery lost them.
//
// Discovery loses leafs that are well: their records lapse while the store is down, and come
// back with the next heartbeat after it. Until then a service without any ready leaf is asked at
// those that it had a moment ago. A node that starts has seen none, and takes the last list that
// the fleet wrote down. Each leaf refuses requests that are meant for another incarnation, so a
// leaf that is really gone does no harm.
package leafmemory

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Config tunes what is remembered.
type Config struct {
	// Hold is how long a leaf that went or drains may still be asked when its service has no
	// other. It must stay below the time after which such a leaf must get nothing.
	Hold time.Duration `yaml:"hold"`
	// TrustAfterStart is how long after its start a node believes the list that was written down.
	TrustAfterStart time.Duration `yaml:"trust_after_start"`
	// WriteDelay is how long the leafs must stay the same before the list is written.
	WriteDelay time.Duration `yaml:"write_delay"`
	// MaximumLeafs is the size of fleet up to which a list is written.
	MaximumLeafs int `yaml:"maximum_leafs"`
}

// DefaultConfig holds a leaf for two seconds.
func DefaultConfig() Config {
	return Config{Hold: 2 * time.Second, TrustAfterStart: 2500 * time.Millisecond, WriteDelay: 2 * time.Second, MaximumLeafs: 2000}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Hold < 0, "hold", "must not be negative")
	checks.Refuse(c.TrustAfterStart < 0, "trust_after_start", "must not be negative")
	checks.Refuse(c.WriteDelay <= 0, "write_delay", "must be positive")
	checks.Refuse(c.MaximumLeafs < 0, "maximum_leafs", "must not be negative")
	return checks.Err()
}

// Memory gives the leafs to ask; safe for concurrent use.
type Memory struct {
	config  Config
	catalog *catalog.Catalog
	now     func() time.Time
	started time.Time
}

// New makes a memory of a node that starts now.
func New(config Config, known *catalog.Catalog) *Memory {
	return &Memory{config: config, catalog: known, now: time.Now, started: time.Now()}
}

// SetClock has what was lost a while ago measured by a clock, which must be that of the catalog. It must be called before
// the memory is used.
func (m *Memory) SetClock(clock boottime.Clock) {
	m.now = clock.Now
	m.started = clock.Now()
}

// Candidates gives the leafs of a service that may be asked outside of a trial, and whether they are only what is
// left of it: ready ones, or, where there is none, those that were ready a moment ago. Leafs of an evacuated zone
// are never among them, nor those of a version that doesn't serve.
func (m *Memory) Candidates(service string) (leafs []*leafset.Leaf, lastResort bool) {
	view := m.catalog.View()
	ready := view.Leafs.Ready(service)
	if len(ready) > 0 {
		return ready, false
	}
	return m.left(view, service, view.Leafs.MayServe), true
}

// OnTrial gives the leafs of a service that may be asked where all requests go to its version on trial: ready ones,
// or, where there is none, those that were ready a moment ago. Leafs of an evacuated zone are never among them.
func (m *Memory) OnTrial(service string) []*leafset.Leaf {
	view := m.catalog.View()
	if ready := view.Leafs.OnTrial(service); len(ready) > 0 {
		return ready
	}
	return m.left(view, service, view.Leafs.MayTry)
}

// left gives what is left of a service without ready leafs: of those that may be asked the ones that were ready a
// moment ago, or, for a node that has seen none, those written down.
func (m *Memory) left(view *catalog.View, service string, mayAsk func(*leafset.Leaf) bool) []*leafset.Leaf {
	mayNot := func(leaf *leafset.Leaf) bool { return !mayAsk(leaf) }
	recent := slices.DeleteFunc(view.Leafs.LostSince(service, m.heldSince()), mayNot)
	if len(recent) > 0 || !m.isNew() {
		return recent
	}
	return slices.DeleteFunc(slices.Clone(view.Remembered.Of(service)), mayNot)
}

// MaySend reports whether a leaf may be sent a request now, be it one that serves or one on trial. What was planned
// a while ago may not be sent any more: meanwhile the leaf began to drain, went, its zone was evacuated, or its
// version was barred.
func (m *Memory) MaySend(id string) bool {
	view := m.catalog.View()
	leaf, found := view.Leafs.ByID(id)
	if !found || leaf.State != leafset.Ready {
		leaf, found = view.Leafs.LostByID(id, m.heldSince())
	}
	if !found && m.isNew() {
		leaf, found = view.Remembered.ByID(id)
	}
	return found && view.Leafs.IsAllowed(leaf)
}

// IDs gives every leaf that may still be asked, be it by the memory alone, and those that may again once their
// zone is restored; none of a version that is barred.
func (m *Memory) IDs() []string {
	view := m.catalog.View()
	var ids []string
	for _, id := range view.Leafs.IDs() {
		leaf, _ := view.Leafs.ByID(id)
		ids = appendUnbarred(ids, view.Leafs, leaf)
	}
	since := m.heldSince()
	for _, id := range view.Leafs.LostIDs(since) {
		leaf, _ := view.Leafs.LostByID(id, since)
		ids = appendUnbarred(ids, view.Leafs, leaf)
	}
	if !m.isNew() {
		return ids
	}
	for _, id := range view.Remembered.IDs() {
		leaf, _ := view.Remembered.ByID(id)
		ids = appendUnbarred(ids, view.Leafs, leaf)
	}
	return ids
}

// appendUnbarred appends the id of a leaf unless a set bars its version.
func appendUnbarred(ids []string, set *leafset.Set, leaf *leafset.Leaf) []string {
	if set.IsBarred(leaf) {
		return ids
	}
	return append(ids, leaf.ID)
}

// heldSince is since when a leaf must have been ready to be asked still.
func (m *Memory) heldSince() time.Time { return m.now().Add(-m.config.Hold) }

// isNew reports whether the node started so short a while ago that it believes the list written down.
func (m *Memory) isNew() bool { return m.now().Sub(m.started) < m.config.TrustAfterStart }
