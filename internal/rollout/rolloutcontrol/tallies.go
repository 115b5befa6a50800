package rolloutcontrol

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// mostRows bounds the rows that a judge keeps, of all orders together: at 396 bytes each (2,400 rows with ten filled
// buckets, as they are unpacked) 13 MB. 75 nodes that count 8 rows each for 4 orders are 2,400; adding 600 rows up
// takes 0.1 ms.
const mostRows = 1 << 15

// reporter is one process that counts.
type reporter struct {
	node  string
	start int64
}

// orderKey names the order of a service.
type orderKey struct {
	service string
	id      int64
}

// tally is what one process counted for one order.
type tally struct {
	address string
	rows    map[evidence.Key]evidence.Tally
}

// tallies are the counts that a judge was told, by order and by the process that counted. A process that starts
// anew counts from nothing, so that what its predecessor told is kept beside it. The zero value is empty; it is safe
// for concurrent use.
type tallies struct {
	mu     sync.Mutex
	orders map[orderKey]*heard
	size   int // rows of all orders
}

// heard is what was told of one order.
type heard struct {
	reporters map[reporter]*tally
	newest    time.Time
}

// hear takes rows of a process at a time, and gives how many there was no room for. Of two rows of one key the one
// with more attempts holds.
func (t *tallies) hear(from reporter, address string, rows []evidence.Row, now time.Time) (dropped int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range rows {
		if !t.take(from, address, row, now) {
			dropped++
		}
	}
	return dropped
}

// take keeps one row if there is room. The lock must be held.
func (t *tallies) take(from reporter, address string, row evidence.Row, now time.Time) bool {
	order := orderKey{row.Service, row.Order}
	known, found := t.known(order, from, row.Key)
	if !found && t.size >= mostRows {
		return false
	}
	if found && row.Attempts() <= known.Attempts() {
		return true
	}
	if !found {
		t.size++
	}
	t.put(order, from, address, row, now)
	return true
}

// known gives what a process told under a key. The lock must be held.
func (t *tallies) known(order orderKey, from reporter, key evidence.Key) (evidence.Tally, bool) {
	all := t.orders[order]
	if all == nil || all.reporters[from] == nil {
		return evidence.Tally{}, false
	}
	counts, found := all.reporters[from].rows[key]
	return counts, found
}

// put keeps a row that is newer than what is known. The lock must be held.
func (t *tallies) put(order orderKey, from reporter, address string, row evidence.Row, now time.Time) {
	if t.orders == nil {
		t.orders = map[orderKey]*heard{}
	}
	if t.orders[order] == nil {
		t.orders[order] = &heard{reporters: map[reporter]*tally{}}
	}
	all := t.orders[order]
	if all.reporters[from] == nil {
		all.reporters[from] = &tally{rows: map[evidence.Key]evidence.Tally{}}
	}
	told := all.reporters[from]
	told.address = address
	told.rows[row.Key] = row.Tally
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
	for _, told := range all.reporters {
		for key, counts := range told.rows {
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
	for _, told := range all.reporters {
		addresses = append(addresses, told.address)
	}
	slices.SortFunc(addresses, strings.Compare)
	return slices.Compact(addresses)
}

// keep drops what was told of the orders that are not wanted any more.
func (t *tallies) keep(isWanted func(orderKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for order, all := range t.orders {
		if isWanted(order) {
			continue
		}
		for _, told := range all.reporters {
			t.size -= len(told.rows)
		}
		delete(t.orders, order)
	}
}
