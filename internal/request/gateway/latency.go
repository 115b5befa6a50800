package gateway

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/hedging"
)

const (
	// minimumSamples is how many latencies of a kind of request make its median known.
	minimumSamples = 20
	// medianPercent is the quantile that is the typical latency.
	medianPercent = 50
	// initialMedianDivisor guesses the median until it is known: a sixth of the objective.
	initialMedianDivisor = 6
	// maximumMedianRise is the factor by which the lowest median rises with each sample at most, so that it follows
	// requests that became slower for good, but not a queue that builds up.
	maximumMedianRise = 1.003
)

// gatheredKind begins the names of the kinds of gathered requests.
const gatheredKind = "gathered "

// latencyTable has the latency of each kind of request; it is safe for concurrent use.
type latencyTable struct {
	window time.Duration

	mu    sync.Mutex
	kinds map[string]*kindLatency
}

// kindLatency is the latency of one kind of request at its leafs; it is safe for concurrent use.
type kindLatency struct {
	latencies *hedging.Latencies

	mu     sync.Mutex
	median time.Duration
	// least is about the lowest median: the latency without queueing. 0 until it is known.
	least time.Duration
}

func newLatencyTable(window time.Duration) *latencyTable {
	return &latencyTable{window: window, kinds: map[string]*kindLatency{}}
}

// of returns the latency of a kind, whose median is the guess until it is known.
func (t *latencyTable) of(kind string, guess time.Duration) *kindLatency {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.kinds[kind]
	if !found {
		known = &kindLatency{latencies: hedging.NewLatencies(t.window, minimumSamples), median: guess}
		t.kinds[kind] = known
	}
	return known
}

// longestUnloaded returns the longest latency without queueing among the kinds of gathered requests.
func (t *latencyTable) longestUnloaded() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest := time.Duration(0)
	for kind, latency := range t.kinds {
		if strings.HasPrefix(kind, gatheredKind) {
			longest = max(longest, latency.unloaded())
		}
	}
	return longest
}

// observe records the latency of an attempt.
func (k *kindLatency) observe(took time.Duration) {
	if !k.latencies.Observe(took) {
		return
	}
	if median, known := k.latencies.Quantile(medianPercent); known {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.median = median
		rising := time.Duration(maximumMedianRise * float64(k.least))
		if k.least == 0 || median < rising {
			rising = median
		}
		k.least = rising
	}
}

// typical returns the median latency.
func (k *kindLatency) typical() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.median
}

// unloaded returns the latency without queueing; 0 if it is not known.
func (k *kindLatency) unloaded() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.least
}

// latency returns the latency of this kind of request. The shards of a gathered route are alike, so that they share
// one; single requests have one for each service. Kinds differ by objective and priority, too.
func (e *execution) latency(service string) *kindLatency {
	if e.isGathered() && e.gatheredLatency != nil {
		return e.gatheredLatency
	}
	route := e.request.route
	kind := service + " "
	if e.isGathered() {
		kind = gatheredKind
	}
	kind += strconv.FormatInt(route.ObjectiveMillis, 10) + " " + strconv.Itoa(route.Priority)
	latency := e.gateway.latencies.of(kind, route.Objective/initialMedianDivisor)
	if e.isGathered() {
		e.gatheredLatency = latency
	}
	return latency
}
