// Package decisionlog writes one JSON line for each decision about a request and each change of the state that decisions
// are based on, at a bounded rate.
//
// It owns a queue of events and the goroutine in Run that encodes and writes them, so that no caller of Write ever waits
// for the output. Events beyond the rate or the queue are dropped and counted. Failed and partial requests have a rate of
// their own, so that they still get through when ordinary ones use theirs up. It relies on the output alone.
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

// Config bounds the volume of the log.
type Config struct {
	// LinesPerSecond bounds the lines of ordinary decisions.
	LinesPerSecond float64 `yaml:"lines_per_second"`
	// FailureLinesPerSecond bounds the lines of failed and partial requests.
	FailureLinesPerSecond float64 `yaml:"failure_lines_per_second"`
	// EveryAttempt also logs attempts that succeeded or were abandoned.
	EveryAttempt bool `yaml:"every_attempt"`
	// Queue is how many lines may be queued for the output.
	Queue int `yaml:"queue"`
}

// DefaultConfig allows a few kilobytes a second.
func DefaultConfig() Config {
	return Config{LinesPerSecond: 5, FailureLinesPerSecond: 20, Queue: 256}
}

// Validate returns all invalid fields.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.LinesPerSecond < 0, "lines_per_second", "must not be negative")
	checks.Refuse(c.FailureLinesPerSecond < 0, "failure_lines_per_second", "must not be negative")
	checks.Refuse(c.Queue < 1, "queue", "must be at least 1")
	return checks.Err()
}

// Importance selects the rate that a line counts against.
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

// New returns a log that writes nothing until Run is called. The dropped function is called for each dropped line.
func New(config Config, output io.Writer, dropped func()) *Log {
	return &Log{
		output:   output,
		queue:    make(chan any, config.Queue),
		ordinary: limiter(config.LinesPerSecond),
		failed:   limiter(config.FailureLinesPerSecond),
		dropped:  dropped,
	}
}

// burstSeconds is the burst of each rate, in seconds' worth of lines.
const burstSeconds = 3

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// Write queues an event, or drops it. The event is encoded later and must not be changed.
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

// leftOutEvent counts the lines dropped since the previous one.
type leftOutEvent struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	LeftOut int64     `json:"lines"`
}

// reportInterval is how often dropped lines are reported.
const reportInterval = 5 * time.Second

// Run writes lines until the context ends, and then those still queued.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.queue:
			l.writeLine(event)
		case <-ticker.C:
			l.reportLeftOut()
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
			l.reportLeftOut()
			return
		}
	}
}

func (l *Log) reportLeftOut() {
	if lines := l.leftOut.Swap(0); lines > 0 {
		l.writeLine(leftOutEvent{Time: time.Now(), Event: "lines_left_out", LeftOut: lines})
	}
}

func (l *Log) writeLine(event any) {
	line, err := json.Marshal(event)
	if err != nil {
		return // can't happen: events are plain structs of encodable fields
	}
	// An output that fails can't be reported anywhere: it is the log itself.
	if _, err := l.output.Write(append(line, '\n')); err != nil {
		return
	}
}
