// Package load is an open-loop load generator that sends searches over gRPC. Arrivals follow a seeded Poisson process and don't
// wait for earlier searches. Latency is measured from the scheduled arrival. A goroutine runs for each search in flight.
package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// Config describes a load.
type Config struct {
	// Addresses are the caller addresses of nodes. Searches are sent to them round-robin.
	Addresses []string
	Service   string
	PerSecond float64
	Duration  time.Duration
	Deadline  time.Duration
	// Limit is the page size; 0 means the default of the service.
	Limit  uint32
	Filter string
	Seed   uint64
	// Progress receives a line per second, unless it is nil.
	Progress io.Writer
}

// Validate returns a failure that lists every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(len(c.Addresses) == 0, "addresses", "must name at least one")
	checks.Refuse(c.Service == "", "service", "must not be empty")
	checks.Refuse(c.PerSecond <= 0, "per-second", "must be positive")
	checks.Refuse(c.Duration <= 0, "duration", "must be positive")
	checks.Refuse(c.Deadline <= 0, "deadline", "must be positive")
	return checks.Err()
}

// Quantiles contains quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// Result is the summary of a load.
type Result struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Complete int `json:"complete"`
	// Failures counts failed searches by code.
	Failures map[string]int `json:"failures,omitempty"`
	// AnswerMillis contains the latencies of answers, and RefusalMillis the latencies of overloaded refusals.
	AnswerMillis  Quantiles `json:"answer_ms"`
	RefusalMillis Quantiles `json:"refusal_ms"`
	// Late counts answers that arrived after the deadline.
	Late int `json:"late"`
	// Goodput is the rate of complete answers within the deadline, per second.
	Goodput  float64 `json:"goodput_per_second"`
	Coverage float64 `json:"mean_coverage"`
	// ExtraLoad is the ratio of all attempts at leafs to first attempts, over the answered searches. It is 1 if there were no
	// hedges or retries.
	ExtraLoad float64 `json:"extra_load"`
	Hedges    uint64  `json:"hedges"`
	Retries   uint64  `json:"retries"`
	Cancelled uint64  `json:"cancelled"`
}

// Bounds and precision of latency histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// loadRun is a load in progress.
type loadRun struct {
	cfg     Config
	clients []searchv1connect.SearchServiceClient

	mu       sync.Mutex
	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	result   Result
	attempts uint64
	coverage float64
}

// clientGrace is the time that a caller waits after the deadline.
const clientGrace = 5 * time.Second

// Run sends all searches and waits until each is answered or has failed.
func Run(ctx context.Context, cfg Config) (Result, error) {
	if err := cfg.Validate(); err != nil {
		return Result{}, err
	}
	r := &loadRun{
		cfg:      cfg,
		answers:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		refusals: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		result:   Result{Failures: map[string]int{}},
	}
	for _, address := range cfg.Addresses {
		r.clients = append(r.clients, cli.SearchClient(address))
	}
	stop := r.showProgress()
	r.send(ctx)
	stop()
	return r.summarize(), nil
}

// send sends searches at their scheduled arrivals and waits for their results.
func (r *loadRun) send(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 5))
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	startedAt := time.Now()
	arrival := time.Duration(0)
	for number := 0; ; number++ {
		arrival += time.Duration(rng.ExpFloat64() / r.cfg.PerSecond * float64(time.Second))
		if arrival > r.cfg.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(startedAt.Add(arrival))):
		}
		scheduledAt := startedAt.Add(arrival)
		client := r.clients[number%len(r.clients)]
		inFlight.Go(func() { r.search(ctx, client, scheduledAt) })
	}
}

func (r *loadRun) search(ctx context.Context, client searchv1connect.SearchServiceClient, scheduledAt time.Time) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Deadline+clientGrace)
	defer cancel()
	response, err := client.Search(ctx, connect.NewRequest(&searchv1.SearchRequest{
		Service: r.cfg.Service, Filter: r.cfg.Filter, Limit: r.cfg.Limit, DeadlineMillis: uint32(r.cfg.Deadline.Milliseconds()),
	}))
	latency := time.Since(scheduledAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Sent++
	if err != nil {
		r.recordFailure(api.FailureOf(err), latency)
		return
	}
	r.recordAnswer(response.Msg.GetReport(), latency)
}

func (r *loadRun) recordFailure(failureErr *failure.Failure, latency time.Duration) {
	r.result.Failures[string(failureErr.Code)]++
	if failureErr.Code == failure.Overloaded {
		// Recording can't fail because the value is within the bounds of the histogram.
		_ = r.refusals.RecordValue(min(max(latency.Microseconds(), minMicros), maxMicros))
	}
}

func (r *loadRun) recordAnswer(report *searchv1.Report, latency time.Duration) {
	_ = r.answers.RecordValue(min(max(latency.Microseconds(), minMicros), maxMicros))
	r.result.Answered++
	if latency > r.cfg.Deadline {
		r.result.Late++
	}
	if report.GetCoverage().GetComplete() {
		r.result.Complete++
	}
	r.coverage += report.GetCoverage().GetFraction()
	extra := report.GetExtraLoad()
	r.attempts += uint64(extra.GetAttempts())
	r.result.Hedges += uint64(extra.GetHedges())
	r.result.Retries += uint64(extra.GetRetries())
	r.result.Cancelled += uint64(extra.GetCancelled())
}

func (r *loadRun) summarize() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.AnswerMillis = quantilesOf(r.answers)
	r.result.RefusalMillis = quantilesOf(r.refusals)
	r.result.Goodput = float64(max(r.result.Complete-r.result.Late, 0)) / r.cfg.Duration.Seconds()
	if r.result.Answered > 0 {
		r.result.Coverage = r.coverage / float64(r.result.Answered)
	}
	if first := r.attempts - r.result.Hedges - r.result.Retries; first > 0 {
		r.result.ExtraLoad = float64(r.attempts) / float64(first)
	}
	return r.result
}

// quantilesOf returns the quantiles of a histogram whose values are in microseconds.
func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(histogram.Max()) / 1000}
}

// showProgress prints a line per second until the returned function is called.
func (r *loadRun) showProgress() func() {
	if r.cfg.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				r.printProgress()
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(done)
	}
}

func (r *loadRun) printProgress() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err := fmt.Fprintf(r.cfg.Progress, "%d sent, %d answered, p99 %.1f ms, failures %v\n",
		r.result.Sent, r.result.Answered, quantilesOf(r.answers).P99, r.result.Failures)
	if err != nil {
		return
	}
}
