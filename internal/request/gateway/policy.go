package gateway

import (
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/hedging"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
)

// minimumSamples is how many latencies of a kind of request must be known.
const minimumSamples = 20

// median and the guess of the median, as a part of the objective, while none is known.
const (
	medianPercent        = 50
	initialMedianDivisor = 6
)

// latencyTable keeps the latency of each kind of request; safe for concurrent use.
type latencyTable struct {
	window time.Duration

	mu    sync.Mutex
	kinds map[string]*kindLatency
}

// kindLatency is the latency of one kind of request at its leafs.
type kindLatency struct {
	latencies *hedging.Latencies

	mu     sync.Mutex
	median time.Duration
	// least is about the lowest median: what the work takes while nothing waits.
	least time.Duration
}

// minimumMedianRise lets the lowest median follow work that became slower for good.
const minimumMedianRise = 1.003

// gatheredKind begins the names of the kinds of gathered requests.
const gatheredKind = "gathered "

func newLatencyTable(window time.Duration) *latencyTable {
	return &latencyTable{window: window, kinds: map[string]*kindLatency{}}
}

// of gives the latencies of a kind, which start with a guess of the median.
func (b *latencyTable) of(kind string, guess time.Duration) *kindLatency {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.kinds[kind]
	if !found {
		known = &kindLatency{latencies: hedging.NewLatencies(b.window, minimumSamples), median: guess}
		b.kinds[kind] = known
	}
	return known
}

func (k *kindLatency) observe(took time.Duration) {
	if !k.latencies.Observe(took) {
		return
	}
	if median, known := k.latencies.Quantile(medianPercent); known {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.median = median
		rising := time.Duration(minimumMedianRise * float64(k.least))
		if k.least == 0 || median < rising {
			rising = median
		}
		k.least = rising
	}
}

// unloaded gives what the work takes while nothing waits; 0 while that is not known.
func (k *kindLatency) unloaded() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.least
}

// longestUnloaded gives the longest of what gathered kinds of work take while nothing waits.
func (b *latencyTable) longestUnloaded() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := time.Duration(0)
	for kind, latency := range b.kinds {
		if strings.HasPrefix(kind, gatheredKind) {
			longest = max(longest, latency.unloaded())
		}
	}
	return longest
}

func (k *kindLatency) typical() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.median
}

// shardPolicy decides on the hedges and retries of one shard of one request.
type shardPolicy struct {
	config  *Config
	service string
	budgets *retrybudget.Budgets
	latency *kindLatency
	// objective is until when the answer has its full worth.
	objective time.Time
}

// Parts of the budget below which hedges wait longer, and how much longer.
const (
	lowBudget      = 0.5
	lowBudgetWait  = 1.4
	tightBudget    = 0.3
	tightWait      = 2.2
	minimumHedge   = 2 * time.Millisecond
	lastChanceTail = 1.5
)

// FirstAttempt implements scatter.Policy. Requests are counted when they come, see Gateway.
func (p *shardPolicy) FirstAttempt() {}

// HedgeDelay implements scatter.Policy: a hedge is due when the leaf takes much longer than is
// usual for this kind of request, and at the latest when another could still answer in time.
func (p *shardPolicy) HedgeDelay(stage int) (time.Duration, bool) {
	if stage > 0 {
		return 0, false
	}
	typical := p.latency.typical()
	factor := p.config.HedgeFactor
	switch left := p.budgets.Left(p.service); {
	case left < tightBudget:
		factor *= tightWait
	case left < lowBudget:
		factor *= lowBudgetWait
	}
	left := time.Until(p.objective)
	delay := max(time.Duration(factor*float64(typical)), time.Duration(p.config.HedgeShare*float64(left)))
	lastChance := left - time.Duration(lastChanceTail*float64(typical))
	if lastChance > 0 {
		delay = min(delay, lastChance)
	}
	return max(delay, minimumHedge), true
}

// Typical implements scatter.Policy.
func (p *shardPolicy) Typical() time.Duration { return p.latency.typical() }

// WorthHedging implements scatter.Policy: a hedge that is not expected to answer within the
// objective is not, until that is over.
func (p *shardPolicy) WorthHedging(expected float64) bool {
	left := time.Until(p.objective)
	return left <= 0 || time.Duration(expected*float64(p.latency.typical())) < left
}

// AllowHedge implements scatter.Policy.
func (p *shardPolicy) AllowHedge() bool { return p.budgets.Take(p.service, p.config.HedgeReserve) }

// AllowRetry implements scatter.Policy.
func (p *shardPolicy) AllowRetry() bool { return p.budgets.Take(p.service, 0) }

// Observe implements scatter.Policy.
func (p *shardPolicy) Observe(took time.Duration) { p.latency.observe(took) }

// Shed implements scatter.Policy.
func (p *shardPolicy) Shed() {}
