package rolloutcontrol

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// maxRows bounds the rows that an evaluator node stores for all specs: about 13 MB at 396 bytes per row.
const maxRows = 1 << 15

// process identifies a process of a node. Its counts start at zero.
type process struct {
	node  string
	start int64
}

// specKey identifies a spec of a service.
type specKey struct {
	service string
	specID  int64
}

// processCounts are the counts of one process for one spec.
type processCounts struct {
	address string
	rows    map[evidence.Key]evidence.Tally
}

// tallies are the counts reported to an evaluator node, by spec and process. The counts of a restarted node are added
// to the counts of its earlier process. The zero value is empty. It is safe for concurrent use.
type tallies struct {
	mu       sync.Mutex
	rollouts map[specKey]*rolloutCounts
	size     int // rows of all specs
}

// rolloutCounts are the counts reported for one spec.
type rolloutCounts struct {
	processes map[process]*processCounts
	newest    time.Time
}

// add adds rows of a process and returns the number of rows dropped for lack of room. Of two rows with the same key it
// keeps the one with more attempts.
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

// addRow adds one row and reports whether there was room. t.mu must be held.
func (t *tallies) addRow(from process, address string, row evidence.Row, now time.Time) bool {
	id := specKey{row.Service, row.SpecID}
	known, found := t.lookup(id, from, row.Key)
	if !found && t.size >= maxRows {
		return false
	}
	if found && row.Attempts() <= known.Attempts() {
		return true
	}
	if !found {
		t.size++
	}
	t.store(id, from, address, row, now)
	return true
}

// lookup returns the counts that a process reported for a key. t.mu must be held.
func (t *tallies) lookup(id specKey, from process, key evidence.Key) (evidence.Tally, bool) {
	all := t.rollouts[id]
	if all == nil || all.processes[from] == nil {
		return evidence.Tally{}, false
	}
	counts, found := all.processes[from].rows[key]
	return counts, found
}

// store adds a row or replaces an older one. t.mu must be held.
func (t *tallies) store(id specKey, from process, address string, row evidence.Row, now time.Time) {
	if t.rollouts == nil {
		t.rollouts = map[specKey]*rolloutCounts{}
	}
	if t.rollouts[id] == nil {
		t.rollouts[id] = &rolloutCounts{processes: map[process]*processCounts{}}
	}
	all := t.rollouts[id]
	if all.processes[from] == nil {
		all.processes[from] = &processCounts{rows: map[evidence.Key]evidence.Tally{}}
	}
	counted := all.processes[from]
	counted.address = address
	counted.rows[row.Key] = row.Tally
	all.newest = now
}

// sum returns the counts for a spec, summed over all processes and sorted by key, and the arrival of the newest ones.
func (t *tallies) sum(id specKey) (rows []evidence.Row, newest time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.rollouts[id]
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

// addresses returns the peer addresses of the nodes that reported counts for a spec, sorted.
func (t *tallies) addresses(id specKey) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := t.rollouts[id]
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

// retain drops the counts of all specs for which isWanted returns false.
func (t *tallies) retain(isWanted func(specKey) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, all := range t.rollouts {
		if isWanted(id) {
			continue
		}
		for _, counted := range all.processes {
			t.size -= len(counted.rows)
		}
		delete(t.rollouts, id)
	}
}
