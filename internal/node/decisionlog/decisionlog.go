// Package decisionlog writes one JSON line for each decision about a request and each change of the state that
// decisions are based on, at a bounded rate.
//
// It owns a queue of events. Run encodes and writes them, so that callers of Write never wait for the output. Events
// that exceed the rate or the queue are dropped and counted. Failed and partial requests have a rate of their own, so
// that ordinary requests can't displace them.
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
	// LinesPerSecond bounds the lines per second for ordinary decisions.
	LinesPerSecond float64 `yaml:"lines_per_second"`
	// FailureLinesPerSecond bounds the lines per second for failed and partial requests and for changes of state.
	FailureLinesPerSecond float64 `yaml:"failure_lines_per_second"`
	// EveryAttempt also logs attempts that succeeded or were cancelled; the default logs failed attempts only.
	EveryAttempt bool `yaml:"every_attempt"`
	// Queue is the maximum number of lines queued for the output; further lines are dropped.
	Queue int `yaml:"queue"`
}

// DefaultConfig allows a few kilobytes per second.
func DefaultConfig() Config {
	return Config{LinesPerSecond: 5, FailureLinesPerSecond: 20, Queue: 256}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.LinesPerSecond < 0, "lines_per_second", "must not be negative")
	checks.Refuse(c.FailureLinesPerSecond < 0, "failure_lines_per_second", "must not be negative")
	checks.Refuse(c.Queue < 1, "queue", "must be at least 1")
	return checks.Err()
}

// Importance selects the rate limit of a line.
type Importance int

// Ordinary lines are limited to Config.LinesPerSecond. Important lines (failed and partial requests, changes of state)
// are limited to Config.FailureLinesPerSecond, so that ordinary lines do not displace them.
const (
	Ordinary Importance = iota
	Important
)

// Log is the decision log of a node. It is safe for concurrent use.
type Log struct {
	output       io.Writer
	queue        chan any
	ordinary     *rate.Limiter
	important    *rate.Limiter
	droppedLines atomic.Int64
	dropped      func()
}

// New returns a log that writes nothing until Run is called. It calls dropped for each dropped line.
func New(cfg Config, output io.Writer, dropped func()) *Log {
	return &Log{
		output:    output,
		queue:     make(chan any, cfg.Queue),
		ordinary:  limiter(cfg.LinesPerSecond),
		important: limiter(cfg.FailureLinesPerSecond),
		dropped:   dropped,
	}
}

// burstSeconds is how many seconds' worth of lines a burst may have.
const burstSeconds = 3

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(burstSeconds*perSecond)))
}

// Write queues an event, or drops it if the rate is exceeded or the queue is full. The event is encoded later and must
// not be changed.
func (l *Log) Write(importance Importance, event any) {
	limit := l.ordinary
	if importance == Important {
		limit = l.important
	}
	if limit.Allow() {
		select {
		case l.queue <- event:
			return
		default:
		}
	}
	l.droppedLines.Add(1)
	l.dropped()
}

// droppedEvent is the number of lines dropped since the previous droppedEvent.
type droppedEvent struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	Lines int64     `json:"lines"`
}

// reportInterval is how often dropped lines are reported.
const reportInterval = 5 * time.Second

// Run writes lines until the context is done, then writes the lines that are still queued and returns.
func (l *Log) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case event := <-l.queue:
			l.writeLine(event)
		case <-ticker.C:
			l.reportDropped()
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
			l.reportDropped()
			return
		}
	}
}

func (l *Log) reportDropped() {
	if lines := l.droppedLines.Swap(0); lines > 0 {
		l.writeLine(droppedEvent{Time: time.Now(), Event: "lines_left_out", Lines: lines})
	}
}

func (l *Log) writeLine(event any) {
	line, err := json.Marshal(event)
	if err != nil {
		return // unreachable: events are structs with encodable fields
	}
	// The error can't be reported: the failed output is the log itself.
	if _, err := l.output.Write(append(line, '\n')); err != nil {
		return
	}
}
