// Package retrybudget limits how often a service is asked more than once for the same request, by hedges and retries,
// for all nodes of a fleet together.
//
// Over any window of time, the repeats that reach a service must stay below a share of the
// requests for it plus a fixed allowance. Each node stays below the same share of its own
// requests plus its share of the allowance, so that the limit holds for the sum without messages between nodes.
//
// Budgets owns the counts of one node in memory; they are lost when the node restarts. It relies on a clock that counts
// the time for which the machine is suspended (package boottime). It starts no goroutines and returns errors only for
// invalid settings.
package retrybudget

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// slices is the number of slices in which a window is counted; a slice expires as a whole.
const slices = 20

// Budgets has the budget of each service on one node; safe for concurrent use.
type Budgets struct {
	config Config
	share  func(service string) float64 // of the allowance, 0 to 1
	now    func() time.Time
	start  time.Time

	mu       sync.Mutex
	services map[string]*window
}

// New returns the budgets of a node. The share function returns the node's share of the allowance for a
// service, 0 while that is unknown; the sum over all nodes must not exceed 1.
func New(config Config, share func(service string) float64) *Budgets {
	return &Budgets{config: config, share: share, now: time.Now, start: time.Now(), services: map[string]*window{}}
}

// SetClock sets the clock of the windows, which should count the time for which the machine is suspended: otherwise the
// requests of a window that is long over would allow repeats when the machine resumes. It must be called before the
// budgets are used.
func (b *Budgets) SetClock(clock boottime.Clock) {
	b.now = clock.Now
	b.start = clock.Now()
}

// window counts the requests and repeats of the last Config.Window, in a ring of slices.
type window struct {
	requests [slices + 1]int
	repeats  [slices + 1]int
	newest   int64 // number of the newest slice
}

// CountRequest counts a request for a service, once for each that a caller sent.
func (b *Budgets) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.window(service)
	kept.requests[kept.newest%(slices+1)]++
}

// Take decides whether a service may be asked again, and counts the repeat if so.
//
// Inputs: the requests and repeats that this node counted within the last Config.Window, the node's share of the
// allowance, and the reserve, the share of the limit, 0 to 1, that must remain free.
//
// Rule: the repeats, including this one, must not exceed the limit (see limit) less the reserve. Retries and hedges beyond
// a share of the requests would overload a service that is slow already.
func (b *Budgets) Take(service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.window(service)
	limit := b.limit(service, kept)
	if float64(kept.sumRepeats()+1) > limit*(1-reserve) {
		return false
	}
	kept.repeats[kept.newest%(slices+1)]++
	return true
}

// FreeShare returns the share of the limit that is still free, 0 to 1.
func (b *Budgets) FreeShare(service string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.window(service)
	limit := b.limit(service, kept)
	if limit <= 0 {
		return 0
	}
	return max(0, 1-float64(kept.sumRepeats())/limit)
}

// limit returns the maximum number of repeats in the window that ends now: Config.Share of the ratio's and, once the node
// has run for a window, of its share of the allowance. Before that, its predecessor may have used that share up.
func (b *Budgets) limit(service string, kept *window) float64 {
	requests := 0
	for index := range kept.requests {
		requests += kept.requests[index]
	}
	limit := b.config.Ratio * float64(requests)
	if b.now().Sub(b.start) >= b.config.Window {
		limit += b.config.Allowance * b.share(service)
	}
	return limit * b.config.Share
}

func (w *window) sumRepeats() int {
	repeats := 0
	for index := range w.repeats {
		repeats += w.repeats[index]
	}
	return repeats
}

// window returns the counts of a service, without expired slices. The mutex must be held.
func (b *Budgets) window(service string) *window {
	current := b.now().Sub(b.start).Nanoseconds() * slices / b.config.Window.Nanoseconds()
	kept, found := b.services[service]
	if !found {
		kept = &window{newest: current}
		b.services[service] = kept
	}
	if current-kept.newest > slices {
		*kept = window{newest: current}
	}
	for kept.newest < current {
		kept.newest++
		kept.requests[kept.newest%(slices+1)] = 0
		kept.repeats[kept.newest%(slices+1)] = 0
	}
	return kept
}

// Forget drops the counts of services that are not known any more and had no repeats lately.
func (b *Budgets) Forget(known func(service string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range b.services {
		if kept := b.window(service); !known(service) && kept.sumRepeats() == 0 {
			delete(b.services, service)
		}
	}
}
