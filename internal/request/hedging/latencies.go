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

// refreshEvery is the number of new samples after which quantiles are worth computing again.
const refreshEvery = 64

// Latencies is the distribution of recent latencies; safe for concurrent use.
type Latencies struct {
	window  time.Duration
	minimum int64 // samples before there are quantiles

	mu       sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
	unread   int // samples since Observe last returned true
}

// NewLatencies returns an empty distribution. A sample counts for at least one window and at most two;
// quantiles are known from the minimum number of samples on.
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
	// The value is within the histogram's bounds, so that recording can't fail.
	_ = l.current.RecordValue(micros)
	l.unread++
	if l.unread < refreshEvery {
		return false
	}
	l.unread = 0
	return true
}

// rotate starts a new window if the current one is over. The mutex must be held.
func (l *Latencies) rotate() {
	now := time.Now()
	if now.Sub(l.rotated) < l.window {
		return
	}
	l.rotated = now
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
}

// Quantile returns a quantile, in percent, of the window with more samples; false while too
// few are known.
func (l *Latencies) Quantile(percent float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	source := l.current
	if l.current.TotalCount() < l.previous.TotalCount() {
		source = l.previous
	}
	if source.TotalCount() < l.minimum {
		return 0, false
	}
	return time.Duration(source.ValueAtQuantile(percent)) * time.Microsecond, true
}
