package rolloutcontrol

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// maxRows bounds the rows that a judge keeps, of all orders together: at 396 bytes each (2,400 rows with ten filled
// buckets, as they are unpacked) 13 MB. 75 nodes that count 8 rows each for 4 orders are 2,400; adding 600 rows up
// takes 0.1 ms.
const maxRows = 1 << 15

// process is one process that counts.
type process struct {
	node  string
	start int64
}

// orderKey names the order of a service.
type orderKey struct {
	service string
	id      int64
}

// processCounts is what one process counted for one order.
type processCounts struct {
	address string
	rows    map[evidence.Key]evidence.Tally
}

// tallies are the counts that a judge was told, by order and by the process that counted. A process that starts
// anew counts from nothing, so that what its predecessor told is kept beside it. The zero value is empty; it is safe
// for concurrent use.
type tallies struct {
	mu     sync.Mutex
	orders map[orderKey]*orderCounts
	size   int // rows of all orders
}

// orderCounts is what was told of one order.
type orderCounts struct {
	processes map[process]*processCounts
	newest    time.Time
}

// add takes rows of a process at a time, and gives how many there was no room for. Of two rows of one key the one
// with more attempts holds.
func (t *tallies) add(from process, address string, rows []evidence.Row, now time.Time) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if !t.addRow(from, address, row, now) {
			dropped++
		}
	}
	return dropped
}

// addRow keeps one row if there is room. The lock must be held.
func (t *tallies) addRow(from process, address string, row evidence.Row, now time.Time) bool {
	order := orderKey{row.Service, row.Order}
	known, found := t.lookup(order, from, row.Key)
	if !found && t.size >= maxRows {
		return false
	}
	if found && row.Attempts() <= known.Attempts() {
		return true
	}
	if !found {
		t.size++
	}
	t.store(order, from, address, row, now)
	return true
}

// lookup gives what a process told under a key. The lock must be held.
func (t *tallies) lookup(order orderKey, from process, key evidence.Key) (evidence.Tally, bool) {
	all := t.orders[order]
	if all == nil || all.processes[from] == nil {
		return evidence.Tally{}, false
	}
	counts, found := all.processes[from].rows[key]
	return counts, found
}

// store keeps a row that is newer than what is known. The lock must be held.
func (t *tallies) store(order orderKey, from process, address string, row evidence.Row, now time.Time) {
	if t.orders == nil {
		t.orders = map[orderKey]*orderCounts{}
	}
	if t.orders[order] == nil {
		t.orders[order] = &orderCounts{processes: map[process]*processCounts{}}
	}
	all := t.orders[order]
	if all.processes[from] == nil {
		all.processes[from] = &processCounts{rows: map[evidence.Key]evidence.Tally{}}
	}
	counted := all.processes[from]
	counted.address = address
	counted.rows[row.Key] = row.Tally
	all.newest = now
}

// sum gives the counts of all processes for an order added up by key, in order of key, and when the newest came.
func (t *tallies) sum(order orderKey) (rows []evidence.Row, newest time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.orders[order]
	if all == nil {
		return nil, time.Time{}
	}
	sums := map[evidence.Key]*evidence.Tally{}
	for _, counted := range all.processes {
		for key, counts := range counted.rows {
			if sums[key] == nil {
				sums[key] = &evidence.Tally{}
			}
			sums[key].Add(counts)
		}
	}
	for key, counts := range sums {
		rows = append(rows, evidence.Row{Key: key, Tally: *counts})
	}
	slices.SortFunc(rows, func(a, b evidence.Row) int { return compareKeys(a.Key, b.Key) })
	return rows, all.newest
}

func compareKeys(a, b evidence.Key) int {
	return slices.Compare([]string{a.Route, a.Version, a.Leaf, a.Zone}, []string{b.Route, b.Version, b.Leaf, b.Zone})
}

// addresses gives the peer addresses of the nodes that told of an order, sorted.
func (t *tallies) addresses(order orderKey) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.orders[order]
	if all == nil {
		return nil
	}
	var addresses []string
	for _, counted := range all.processes {
		addresses = append(addresses, counted.address)
	}
	slices.SortFunc(addresses, strings.Compare)
	return slices.Compact(addresses)
}

// retain drops what was told of the orders that are not wanted any more.
func (t *tallies) retain(isWanted func(orderKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for order, all := range t.orders {
		if isWanted(order) {
			continue
		}
		for _, counted := range all.processes {
			t.size -= len(counted.rows)
		}
		delete(t.orders, order)
	}
}
