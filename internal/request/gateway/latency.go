package gateway

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/hedging"
)

const (
	// minimumSamples is how many latencies a kind of request needs for a median.
	minimumSamples = 20
	// medianPercent is the percentile that is used as the typical latency.
	medianPercent = 50
	// initialMedianDivisor sets the initial median: a sixth of the objective.
	initialMedianDivisor = 6
	// maximumMedianRise is the largest factor by which one update of the median raises the lowest median. The lowest
	// median then follows a lasting rise of the latency, but not a queue that builds up.
	maximumMedianRise = 1.003
)

// gatheredKind is the prefix of the names of gathered kinds.
const gatheredKind = "gathered "

// latencyTable holds the latency of each kind of request. It is safe for concurrent use.
type latencyTable struct {
	window time.Duration

	mu    sync.Mutex
	kinds map[string]*kindLatency
}

// kindLatency is the latency of one kind of request at its leafs. It is safe for concurrent use.
type kindLatency struct {
	latencies *hedging.Latencies

	mu     sync.Mutex
	median time.Duration
	// lowestMedian approximates the latency without queueing by the lowest recent median; 0 until it is known.
	lowestMedian time.Duration
}

func newLatencyTable(window time.Duration) *latencyTable {
	return &latencyTable{window: window, kinds: map[string]*kindLatency{}}
}

// get returns the latency of a kind. The guess is used as its median until there are enough samples.
func (t *latencyTable) get(kind string, guess time.Duration) *kindLatency {
	t.mu.Lock()
	defer t.mu.Unlock()
	latency, found := t.kinds[kind]
	if !found {
		latency = &kindLatency{latencies: hedging.NewLatencies(t.window, minimumSamples), median: guess}
		t.kinds[kind] = latency
	}
	return latency
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

func (k *kindLatency) observe(took time.Duration) {
	if !k.latencies.Observe(took) {
		return
	}
	if median, known := k.latencies.Quantile(medianPercent); known {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.median = median
		lowest := time.Duration(maximumMedianRise * float64(k.lowestMedian))
		if k.lowestMedian == 0 || median < lowest {
			lowest = median
		}
		k.lowestMedian = lowest
	}
}

// typical returns the median latency.
func (k *kindLatency) typical() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.median
}

// unloaded returns the latency without queueing; 0 if unknown.
func (k *kindLatency) unloaded() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lowestMedian
}

// latency returns the latency of this kind of request. The shards of a gathered route are alike and share one; single
// requests have one per service. Kinds also differ by objective and priority.
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
	latency := e.gateway.latencies.get(kind, route.Objective/initialMedianDivisor)
	if e.isGathered() {
		e.gatheredLatency = latency
	}
	return latency
}
