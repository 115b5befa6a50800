package hedging

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds and precision of the latency histograms.
const (
	lowestMicros      = 1
	highestMicros     = int64(time.Minute / time.Microsecond)
	significantDigits = 2
)

// samplesPerRefresh is the number of new samples after which quantiles are worth computing again.
const samplesPerRefresh = 64

// Latencies is the distribution of recent latencies. It is safe for concurrent use.
type Latencies struct {
	window  time.Duration
	minimum int64 // number of samples needed for quantiles

	mu         sync.Mutex
	current    *hdrhistogram.Histogram
	previous   *hdrhistogram.Histogram
	rotated    time.Time
	newSamples int // samples since Observe last returned true
}

// NewLatencies returns an empty distribution. A sample counts for at least one window and at most two. Quantile needs at
// least the minimum number of samples.
func NewLatencies(window time.Duration, minimum int) *Latencies {
	return &Latencies{
		window:   window,
		minimum:  int64(minimum),
		current:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		previous: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		rotated:  time.Now(),
	}
}

// Observe records a latency and reports whether quantiles are worth computing again.
func (l *Latencies) Observe(took time.Duration) bool {
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rotate()
	// The value is within the histogram's bounds, so RecordValue can't fail.
	_ = l.current.RecordValue(micros)
	l.newSamples++
	if l.newSamples < samplesPerRefresh {
		return false
	}
	l.newSamples = 0
	return true
}

// rotate starts a new window if the current one is over. l.mu must be held.
func (l *Latencies) rotate() {
	now := time.Now()
	if now.Sub(l.rotated) < l.window {
		return
	}
	l.rotated = now
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
}

// Quantile returns the quantile, in percent, of the current or the previous window, whichever has more samples. It
// returns false if that window has too few.
func (l *Latencies) Quantile(percent float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	larger := l.current
	if l.current.TotalCount() < l.previous.TotalCount() {
		larger = l.previous
	}
	if larger.TotalCount() < l.minimum {
		return 0, false
	}
	return time.Duration(larger.ValueAtQuantile(percent)) * time.Microsecond, true
}
