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

// refreshEvery is after how many samples quantiles are worth computing anew.
const refreshEvery = 64

// Latencies is the distribution of the latencies of the last moments; safe for concurrent use.
type Latencies struct {
	window  time.Duration
	minimum int64 // samples that must be known before there are quantiles

	mutex    sync.Mutex
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	rotated  time.Time
	unread   int
}

// NewLatencies makes an empty distribution. A sample counts for a window at least and two at
// most; quantiles are given once so many samples are known.
func NewLatencies(window time.Duration, minimum int) *Latencies {
	return &Latencies{
		window:   window,
		minimum:  int64(minimum),
		current:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		previous: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		rotated:  time.Now(),
	}
}

// Observe records a latency and reports whether quantiles are worth computing anew.
func (l *Latencies) Observe(took time.Duration) bool {
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.rotate()
	// The value is clamped into the histogram's bounds, so recording can't fail.
	_ = l.current.RecordValue(micros)
	l.unread++
	if l.unread < refreshEvery {
		return false
	}
	l.unread = 0
	return true
}

func (l *Latencies) rotate() {
	now := time.Now()
	if now.Sub(l.rotated) < l.window {
		return
	}
	l.rotated = now
	l.current, l.previous = l.previous, l.current
	l.current.Reset()
}

// Quantile gives a quantile in percent, of the fuller one of the two windows; false while too
// few samples are known.
func (l *Latencies) Quantile(percent float64) (time.Duration, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	source := l.current
	if l.current.TotalCount() < l.previous.TotalCount() {
		source = l.previous
	}
	if source.TotalCount() < l.minimum {
		return 0, false
	}
	return time.Duration(source.ValueAtQuantile(percent)) * time.Microsecond, true
}
