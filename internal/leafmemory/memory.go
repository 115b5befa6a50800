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
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leafset"
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

	mutex sync.Mutex
	seen  *leafset.Set
	lost  map[string]lostLeaf // by id
}

// lostLeaf is a leaf that was ready and is not any more.
type lostLeaf struct {
	leaf *leafset.Leaf
	at   time.Time
}

// New makes a memory of a node that starts now.
func New(config Config, known *catalog.Catalog) *Memory {
	return &Memory{
		config: config, catalog: known, now: time.Now, started: time.Now(),
		seen: known.View().Leafs, lost: map[string]lostLeaf{},
	}
}

// Candidates gives the leafs of a service that may be asked, and whether they are only what is
// left of it: ready ones, or, where there is none, those that were ready a moment ago. Leafs of an
// evacuated zone are never among them.
func (m *Memory) Candidates(service string) (leafs []*leafset.Leaf, lastResort bool) {
	view := m.catalog.View()
	m.notice(view.Leafs)
	ready := view.Leafs.Ready(service)
	if len(ready) > 0 {
		return ready, false
	}
	isEvacuated := func(leaf *leafset.Leaf) bool { return view.Leafs.IsEvacuated(leaf.Zone) }
	if recent := slices.DeleteFunc(m.recent(service), isEvacuated); len(recent) > 0 {
		return recent, true
	}
	if m.now().Sub(m.started) < m.config.TrustAfterStart {
		return slices.DeleteFunc(slices.Clone(view.Remembered.Of(service)), isEvacuated), true
	}
	return nil, true
}

// MayAsk reports whether a leaf may be sent a request now. What was planned a while ago may not be
// sent any more: meanwhile the leaf began to drain, went, or its zone was evacuated.
func (m *Memory) MayAsk(id string) bool {
	view := m.catalog.View()
	if leaf, found := view.Leafs.ByID(id); found && leaf.State == leafset.Ready {
		return !view.Leafs.IsEvacuated(leaf.Zone)
	}
	m.notice(view.Leafs)
	leaf, found := m.held(id)
	if !found && m.now().Sub(m.started) < m.config.TrustAfterStart {
		leaf, found = view.Remembered.ByID(id)
	}
	return found && !view.Leafs.IsEvacuated(leaf.Zone)
}

// held gives a leaf that was lost a moment ago.
func (m *Memory) held(id string) (*leafset.Leaf, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	lost, found := m.lost[id]
	if !found || m.now().Sub(lost.at) > m.config.Hold {
		return nil, false
	}
	return lost.leaf, true
}

// notice finds which leafs were lost since the last look.
func (m *Memory) notice(current *leafset.Set) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if current == m.seen {
		return
	}
	now := m.now()
	for _, id := range m.seen.IDs() {
		before, _ := m.seen.ByID(id)
		after, found := current.ByID(id)
		if before.State == leafset.Ready && (!found || after.State != leafset.Ready) {
			m.lost[id] = lostLeaf{leaf: before, at: now}
		}
	}
	for id, lost := range m.lost {
		if now.Sub(lost.at) > m.config.Hold {
			delete(m.lost, id)
		}
	}
	m.seen = current
}

func (m *Memory) recent(service string) []*leafset.Leaf {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	now := m.now()
	var leafs []*leafset.Leaf
	for _, lost := range m.lost {
		if lost.leaf.Service == service && now.Sub(lost.at) <= m.config.Hold {
			leafs = append(leafs, lost.leaf)
		}
	}
	return leafs
}

// IDs gives every leaf that may still be asked, be it by the memory alone.
func (m *Memory) IDs() []string {
	view := m.catalog.View()
	m.notice(view.Leafs)
	ids := view.Leafs.IDs()
	if m.now().Sub(m.started) < m.config.TrustAfterStart {
		ids = append(ids, view.Remembered.IDs()...)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for id := range m.lost {
		ids = append(ids, id)
	}
	return ids
}
