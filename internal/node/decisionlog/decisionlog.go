// Package decisionlog writes a line for each decision that touches a request or changes what
// the node believes, as JSON lines that bound themselves.
//
// Lines are queued and written by one goroutine: whoever decides never waits for the output.
// Lines beyond the rate, or beyond the queue, are left out and counted; those of requests that
// failed or came back partial have a rate of their own, so that they outlast the ordinary ones.
package decisionlog

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	json "github.com/goccy/go-json"
	"golang.org/x/time/rate"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config bounds the volume.
type Config struct {
	// LinesPerSecond bounds the lines of ordinary decisions.
	LinesPerSecond float64 `yaml:"lines_per_second"`
	// FailureLinesPerSecond bounds the lines of failed and partial requests.
	FailureLinesPerSecond float64 `yaml:"failure_lines_per_second"`
	// EveryAttempt logs leaf attempts that went as usual, too.
	EveryAttempt bool `yaml:"every_attempt"`
	// Queue is how many lines may wait for the output.
	Queue int `yaml:"queue"`
}

// DefaultConfig allows some kilobytes a second.
func DefaultConfig() Config {
	return Config{LinesPerSecond: 5, FailureLinesPerSecond: 20, Queue: 256}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.LinesPerSecond < 0, "lines_per_second", "must not be negative")
	checks.Refuse(c.FailureLinesPerSecond < 0, "failure_lines_per_second", "must not be negative")
	checks.Refuse(c.Queue < 1, "queue", "must be at least 1")
	return checks.Err()
}

// Importance says which bound a line falls under.
type Importance int

// The importances.
const (
	Ordinary Importance = iota
	Failed
)

// Log is the decision log of a node; safe for concurrent use.
type Log struct {
	output   io.Writer
	queue    chan any
	ordinary *rate.Limiter
	failed   *rate.Limiter
	leftOut  atomic.Int64
	dropped  func()
}

// New makes a log; Run must be called for lines to come out. The dropped function is told of
// each line left out.
func New(config Config, output io.Writer, dropped func()) *Log {
	return &Log{
		output:   output,
		queue:    make(chan any, config.Queue),
		ordinary: limiter(config.LinesPerSecond),
		failed:   limiter(config.FailureLinesPerSecond),
		dropped:  dropped,
	}
}

// burstSeconds is how many seconds' worth of lines may come at once.
const burstSeconds = 3

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// Write queues an event, or leaves it out. The event is encoded later and must not change.
func (l *Log) Write(importance Importance, event any) {
	bound := l.ordinary
	if importance == Failed {
		bound = l.failed
	}
	if bound.Allow() {
		select {
		case l.queue <- event:
			return
		default:
		}
	}
	l.leftOut.Add(1)
	l.dropped()
}

// leftOutEvent says how many lines are missing before it.
type leftOutEvent struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	LeftOut int64     `json:"lines"`
}

// tellInterval is how often the log says how many lines it left out.
const tellInterval = 5 * time.Second

// Run writes lines until the context ends, and then those that are queued.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.queue:
			l.writeLine(event)
		case <-ticker.C:
			l.tellLeftOut()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case event := <-l.queue:
			l.writeLine(event)
		default:
			l.tellLeftOut()
			return
		}
	}
}

func (l *Log) tellLeftOut() {
	if lines := l.leftOut.Swap(0); lines > 0 {
		l.writeLine(leftOutEvent{Time: time.Now(), Event: "lines_left_out", LeftOut: lines})
	}
}

func (l *Log) writeLine(event any) {
	line, err := json.Marshal(event)
	if err != nil {
		return
	}
	// There is nowhere to tell of a log that can't be written.
	if _, err := l.output.Write(append(line, '\n')); err != nil {
		return
	}
}
