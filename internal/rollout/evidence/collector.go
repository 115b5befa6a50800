package evidence

import (
	"slices"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

// maxRows bounds the rows of a node. A service has one row per route for the serving version, and one per route and
// canary leaf.
const maxRows = 4096

// Collector counts the attempts of one node at leafs of services with a canary version. All leafs of the serving
// version are counted in one row per route, without leaf and zone. It is safe for concurrent use.
type Collector struct {
	catalog *catalog.Catalog

	mu   sync.Mutex
	rows map[Key]*countedRow
	// changed are the rows that changed since they were taken, in the order of their first change.
	changed []*countedRow
	// leafs is the set whose rules dropOld last applied.
	leafs *leafset.Set
}

// countedRow is a row of a collector. isChanged reports whether it is in Collector.changed.
type countedRow struct {
	Row
	isChanged bool
}

func NewCollector(nodeCatalog *catalog.Catalog) *Collector {
	return &Collector{catalog: nodeCatalog, rows: map[Key]*countedRow{}}
}

// Observe counts an answer of a leaf.
func (c *Collector) Observe(route string, leaf *leafset.Leaf, failed bool, took time.Duration) {
	if !c.IsCounted(leaf) {
		return
	}
	c.count(route, leaf, func(tally *Tally) { tally.Observe(failed, took) })
}

// ObserveCancelled counts an attempt at a leaf that was cancelled without an answer.
func (c *Collector) ObserveCancelled(route string, leaf *leafset.Leaf, took time.Duration) {
	if !c.IsCounted(leaf) {
		return
	}
	c.count(route, leaf, func(tally *Tally) { tally.ObserveCancelled(took) })
}

// IsCounted reports whether attempts at a leaf are counted now.
func (c *Collector) IsCounted(leaf *leafset.Leaf) bool {
	return isCounted(c.catalog.View().Leafs.Rule(leaf.Service), leaf)
}

// isCounted reports whether attempts at a leaf are counted under a rule.
func isCounted(rule rollout.Rule, leaf *leafset.Leaf) bool {
	return rule.Canary != "" && (rule.IsCanary(leaf.Version) || rule.IsServing(leaf.Version))
}

// Rows returns copies of all rows, in no particular order.
func (c *Collector) Rows() []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld()
	rows := make([]Row, 0, len(c.rows))
	for _, counted := range c.rows {
		rows = append(rows, counted.copy())
	}
	return rows
}

// TakeChanged returns copies of up to limit rows that changed since they were last taken, in the order of their first
// change.
func (c *Collector) TakeChanged(limit int) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropOld()
	limit = min(max(0, limit), len(c.changed))
	rows := make([]Row, 0, limit)
	for _, counted := range c.changed[:limit] {
		counted.isChanged = false
		rows = append(rows, counted.copy())
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
	counted, found := c.rows[key]
	if !found {
		if len(c.rows) >= maxRows {
			return
		}
		counted = &countedRow{Row: Row{Key: key}}
		c.rows[key] = counted
	}
	add(&counted.Tally)
	if !counted.isChanged {
		counted.isChanged = true
		c.changed = append(c.changed, counted)
	}
}

// dropOld drops the rows of specs that are no longer in force. c.mu must be held.
func (c *Collector) dropOld() {
	leafs := c.catalog.View().Leafs
	if leafs == c.leafs {
		return
	}
	c.leafs = leafs
	isOld := func(counted *countedRow) bool { return leafs.Rule(counted.Service).SpecID != counted.SpecID }
	for key, counted := range c.rows {
		if isOld(counted) {
			delete(c.rows, key)
		}
	}
	c.changed = slices.DeleteFunc(c.changed, isOld)
}

// copy returns a deep copy of the row.
func (c *countedRow) copy() Row {
	row := c.Row
	row.Answered, row.Cancelled = slices.Clone(row.Answered), slices.Clone(row.Cancelled)
	return row
}
