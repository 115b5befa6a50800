// Package retrybudget bounds how often a service is asked more than once for the same request,
// for all nodes of a fleet together.
//
// Over any window of time, the repeats that reach a service must stay below a share of the
// requests for it plus a fixed allowance. Each node keeps below the same share of its own
// requests plus its part of the allowance, so that the sum holds without the nodes talking to
// each other. A node that started a short while ago has forgotten what its predecessor spent,
// and leaves its part of the allowance alone for one window.
package retrybudget

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Config is the bound that the fleet keeps.
type Config struct {
	// Ratio is the repeats allowed per request.
	Ratio float64 `yaml:"ratio"`
	// Window is the span over which both are counted.
	Window time.Duration `yaml:"window"`
	// Allowance is the repeats allowed in a window whatever the requests, in the whole fleet.
	Allowance float64 `yaml:"allowance"`
	// Share is the part of the bound that is used; the rest covers what nodes can't see.
	Share float64 `yaml:"share"`
}

// DefaultConfig allows a tenth of the requests to be repeated.
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Window: 10 * time.Second, Allowance: 20, Share: 0.85}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Ratio < 0 || c.Ratio > 1, "ratio", "must be between 0 and 1")
	checks.Refuse(c.Window < time.Second, "window", "must be at least 1s")
	checks.Refuse(c.Allowance < 0, "allowance", "must not be negative")
	checks.Refuse(c.Share <= 0 || c.Share > 1, "share", "must be above 0 and at most 1")
	return checks.Err()
}

// slices is how many parts a window is counted in; a part is forgotten as a whole.
const slices = 20

// Budgets holds the budget of each service on one node; safe for concurrent use.
type Budgets struct {
	config Config
	part   func(service string) float64
	now    func() time.Time
	start  time.Time

	mutex    sync.Mutex
	services map[string]*window
}

// New makes the budgets of a node. The part function gives the node's part of the allowance for a
// service, 0 while that is unknown; those of all nodes must not exceed 1 together.
func New(config Config, part func(service string) float64) *Budgets {
	return &Budgets{config: config, part: part, now: time.Now, start: time.Now(), services: map[string]*window{}}
}

// SetClock has windows measured by a clock, which should count the time for which the machine is suspended: else the
// requests of a window that is long over allow repeats when the machine wakes. It must be called before the budgets are
// used.
func (b *Budgets) SetClock(clock boottime.Clock) {
	b.now = clock.Now
	b.start = clock.Now()
}

// window counts the requests and repeats of the last moments.
type window struct {
	requests [slices + 1]int
	repeats  [slices + 1]int
	newest   int64 // number of the newest slice
}

// CountRequest counts a request for a service, once for each that a caller sent.
func (b *Budgets) CountRequest(service string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	kept := b.window(service)
	kept.requests[kept.newest%(slices+1)]++
}

// Take counts a repeat in and reports true, if the bound leaves room for it. The reserve is a
// part of the room, 0 to 1, that must stay free after it.
func (b *Budgets) Take(service string, reserve float64) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	kept := b.window(service)
	limit := b.limit(service, kept)
	if float64(kept.sumRepeats()+1) > limit*(1-reserve) {
		return false
	}
	kept.repeats[kept.newest%(slices+1)]++
	return true
}

// FreeShare gives the part of the room that is still free, 0 to 1.
func (b *Budgets) FreeShare(service string) float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	kept := b.window(service)
	limit := b.limit(service, kept)
	if limit <= 0 {
		return 0
	}
	return max(0, 1-float64(kept.sumRepeats())/limit)
}

// limit is the most repeats in the window that ends now.
func (b *Budgets) limit(service string, kept *window) float64 {
	requests := 0
	for index := range kept.requests {
		requests += kept.requests[index]
	}
	limit := b.config.Ratio * float64(requests)
	if b.now().Sub(b.start) >= b.config.Window {
		limit += b.config.Allowance * b.part(service)
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

// window gives the counts of a service with what is too old forgotten.
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

// Forget drops the counts of services that are not known any more and were not used lately.
func (b *Budgets) Forget(known func(service string) bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for service := range b.services {
		if kept := b.window(service); !known(service) && kept.sumRepeats() == 0 {
			delete(b.services, service)
		}
	}
}
