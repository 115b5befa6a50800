// Package retrybudget limits the repeats, that is hedges and retries, that all nodes of a fleet send to a service.
//
// Over any window of time, the repeats that a service receives must not exceed a ratio of its requests plus a fixed
// allowance. Each node applies the same ratio to its own requests and adds its share of the allowance, so that the limit
// holds for the fleet without messages between the nodes.
//
// Budgets owns the counts of one node in memory; they are lost when the node restarts. It relies on a clock that includes
// the time for which the machine is suspended (package boottime). It starts no goroutines and returns errors only for
// invalid settings.
package retrybudget

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// slicesPerWindow is the number of slices of a window; a slice expires as a whole.
const slicesPerWindow = 20

// Budgets holds the budget of each service on one node. It is safe for concurrent use.
type Budgets struct {
	cfg   Config
	share func(service string) float64 // of the allowance, 0 to 1
	now   func() time.Time
	start time.Time

	mu       sync.Mutex
	services map[string]*window
}

// New returns the budgets of a node. The share function returns the node's share of the allowance for a service, or 0
// while the share is unknown. The shares of all nodes must not add up to more than 1.
func New(cfg Config, share func(service string) float64) *Budgets {
	return &Budgets{cfg: cfg, share: share, now: time.Now, start: time.Now(), services: map[string]*window{}}
}

// SetClock sets the clock of the windows. The clock should include the time for which the machine is suspended, since
// otherwise the requests of an expired window would allow repeats when the machine resumes. SetClock must be called
// before the budgets are used.
func (b *Budgets) SetClock(clock boottime.Clock) {
	b.now = clock.Now
	b.start = clock.Now()
}

// window counts the requests and repeats of the last Config.Window in a ring of slices.
type window struct {
	requests [slicesPerWindow + 1]int
	repeats  [slicesPerWindow + 1]int
	newest   int64 // number of the newest slice since Budgets.start
}

// CountRequest counts a request for a service. It must be called once per request of a caller.
func (b *Budgets) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.window(service)
	counts.requests[counts.newest%(slicesPerWindow+1)]++
}

// Take reports whether a repeat may be sent to a service, and counts the repeat if so. The repeats of the last
// Config.Window, including this one, must not exceed the limit (see limit) times 1 - reserve. The reserve, 0 to 1, is
// the fraction of the limit that must remain free. More repeats would overload a service that is already slow.
func (b *Budgets) Take(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.window(service)
	limit := b.limit(service, counts)
	if float64(counts.sumRepeats()+1) > limit*(1-reserve) {
		return false
	}
	counts.repeats[counts.newest%(slicesPerWindow+1)]++
	return true
}

// FreeFraction returns the fraction of the limit that is free, 0 to 1.
func (b *Budgets) FreeFraction(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.window(service)
	limit := b.limit(service, counts)
	if limit <= 0 {
		return 0
	}
	return max(0, 1-float64(counts.sumRepeats())/limit)
}

// limit returns the maximum number of repeats in the window that ends now: Config.Ratio of the requests plus the node's
// share of the allowance, both times Config.UsedFraction. A node gets no allowance until it has run for a
// window, since it may have used up its share before a restart. b.mu must be held.
func (b *Budgets) limit(service string, counts *window) float64 {
	requests := 0
	for index := range counts.requests {
		requests += counts.requests[index]
	}
	limit := b.cfg.Ratio * float64(requests)
	if b.now().Sub(b.start) >= b.cfg.Window {
		limit += b.cfg.Allowance * b.share(service)
	}
	return limit * b.cfg.UsedFraction
}

func (w *window) sumRepeats() int {
	repeats := 0
	for index := range w.repeats {
		repeats += w.repeats[index]
	}
	return repeats
}

// window returns the counts of a service without expired slices. b.mu must be held.
func (b *Budgets) window(service string) *window {
	current := b.now().Sub(b.start).Nanoseconds() * slicesPerWindow / b.cfg.Window.Nanoseconds()
	counts, found := b.services[service]
	if !found {
		counts = &window{newest: current}
		b.services[service] = counts
	}
	if current-counts.newest > slicesPerWindow {
		*counts = window{newest: current}
	}
	for counts.newest < current {
		counts.newest++
		counts.requests[counts.newest%(slicesPerWindow+1)] = 0
		counts.repeats[counts.newest%(slicesPerWindow+1)] = 0
	}
	return counts
}

// Forget drops the counts of services that are no longer known and had no repeats within the last Config.Window.
func (b *Budgets) Forget(known func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		if counts := b.window(service); !known(service) && counts.sumRepeats() == 0 {
			delete(b.services, service)
		}
	}
}
