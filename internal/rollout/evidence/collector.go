package evidence

import (
	"slices"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

// maxRows bounds the rows that a node keeps. A service has one for each route of the serving version, and one for
// each route and canary.
const maxRows = 4096

// Collector counts how one node's attempts end at leafs of services with a canary version. The leafs of the serving
// version share a row for each route, without leaf and zone. It is safe for concurrent use.
type Collector struct {
	catalog *catalog.Catalog

	mu   sync.Mutex
	rows map[Key]*collected
	// changed are the rows that changed since they were taken, the longest waiting first.
	changed []*collected
	// leafs is the set whose rules the rows were last checked against.
	leafs *leafset.Set
}

// collected is a row that is being counted.
type collected struct {
	Row
	isChanged bool
}

// NewCollector returns a collector without rows.
func NewCollector(known *catalog.Catalog) *Collector {
	return &Collector{catalog: known, rows: map[Key]*collected{}}
}

// Observe counts an answer of a leaf.
func (c *Collector) Observe(route string, leaf *leafset.Leaf, failed bool, took time.Duration) {
	if !c.IsCounted(leaf) {
		return
	}
	c.count(route, leaf, func(tally *Tally) { tally.Observe(failed, took) })
}

// ObserveAbandoned counts an attempt that was given up without an answer.
func (c *Collector) ObserveAbandoned(route string, leaf *leafset.Leaf, took time.Duration) {
	if !c.IsCounted(leaf) {
		return
	}
	c.count(route, leaf, func(tally *Tally) { tally.ObserveAbandoned(took) })
}

// IsCounted reports whether a leaf's attempts are counted now.
func (c *Collector) IsCounted(leaf *leafset.Leaf) bool {
	return isCounted(c.catalog.View().Leafs.Rule(leaf.Service), leaf)
}

// isCounted reports whether a leaf's attempts are counted under a rule.
func isCounted(rule rollout.Rule, leaf *leafset.Leaf) bool {
	return rule.Canary != "" && (rule.IsCanary(leaf.Version) || rule.IsServing(leaf.Version))
}

// Rows returns copies of all rows, in no particular order.
func (c *Collector) Rows() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld()
	rows := make([]Row, 0, len(c.rows))
	for _, kept := range c.rows {
		rows = append(rows, kept.copy())
	}
	return rows
}

// TakeChanged returns copies of up to limit rows that changed since they were last taken, the longest waiting first.
func (c *Collector) TakeChanged(limit int) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld()
	limit = min(max(0, limit), len(c.changed))
	rows := make([]Row, 0, limit)
	for _, kept := range c.changed[:limit] {
		kept.isChanged = false
		rows = append(rows, kept.copy())
	}
	c.changed = slices.Delete(c.changed, 0, limit)
	return rows
}

func (c *Collector) count(route string, leaf *leafset.Leaf, add func(*Tally)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld()
	rule := c.leafs.Rule(leaf.Service)
	if !isCounted(rule, leaf) {
		return // the rule has changed since IsCounted
	}
	key := Key{Service: leaf.Service, SpecID: rule.SpecID, Route: route, Version: leaf.Version}
	if rule.IsCanary(leaf.Version) {
		key.Leaf, key.Zone = leaf.ID, leaf.Zone
	}
	kept, found := c.rows[key]
	if !found {
		if len(c.rows) >= maxRows {
			return
		}
		kept = &collected{Row: Row{Key: key}}
		c.rows[key] = kept
	}
	add(&kept.Tally)
	if !kept.isChanged {
		kept.isChanged = true
		c.changed = append(c.changed, kept)
	}
}

// dropOld drops the rows of specs that are no longer in force. The lock must be held.
func (c *Collector) dropOld() {
	leafs := c.catalog.View().Leafs
	if leafs == c.leafs {
		return
	}
	c.leafs = leafs
	isOld := func(kept *collected) bool { return leafs.Rule(kept.Service).SpecID != kept.SpecID }
	for key, kept := range c.rows {
		if isOld(kept) {
			delete(c.rows, key)
		}
	}
	c.changed = slices.DeleteFunc(c.changed, isOld)
}

// copy returns a copy of the row.
func (c *collected) copy() Row {
	row := c.Row
	row.Answered, row.Abandoned = slices.Clone(row.Answered), slices.Clone(row.Abandoned)
	return row
}
