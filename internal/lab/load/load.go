// Package load sends searches over gRPC at a fixed rate: arrivals follow a seeded Poisson schedule whether or not earlier
// searches were answered, and latency counts from the scheduled arrival. It owns a goroutine for each search in flight, and
// is the only load tool for searches.
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
	// Addresses are the caller addresses of nodes, which get searches in turn.
	Addresses []string
	Service   string
	PerSecond float64
	Duration  time.Duration
	Deadline  time.Duration
	// Limit is the page size; 0 means the service's.
	Limit  uint32
	Filter string
	Seed   uint64
	// Progress receives a line each second, unless it is nil.
	Progress io.Writer
}

// Validate returns a failure with every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(len(c.Addresses) == 0, "addresses", "must name at least one")
	checks.Refuse(c.Service == "", "service", "must not be empty")
	checks.Refuse(c.PerSecond <= 0, "per-second", "must be positive")
	checks.Refuse(c.Duration <= 0, "duration", "must be positive")
	checks.Refuse(c.Deadline <= 0, "deadline", "must be positive")
	return checks.Err()
}

// Quantiles are latencies in milliseconds.
type Quantiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// Result sums up a load.
type Result struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Complete int `json:"complete"`
	// Failures counts failed searches by code.
	Failures map[string]int `json:"failures,omitempty"`
	// AnswerMillis are latencies of answers, RefusalMillis those of refusals as overloaded.
	AnswerMillis  Quantiles `json:"answer_ms"`
	RefusalMillis Quantiles `json:"refusal_ms"`
	// Late counts answers after the deadline.
	Late int `json:"late"`
	// Goodput is the rate of complete answers within the deadline.
	Goodput  float64 `json:"goodput_per_second"`
	Coverage float64 `json:"mean_coverage"`
	// ExtraLoad is the attempts at leafs over those of the plans, of answered searches; 1 means none extra.
	ExtraLoad float64 `json:"extra_load"`
	Hedges    uint64  `json:"hedges"`
	Retries   uint64  `json:"retries"`
	Cancelled uint64  `json:"cancelled"`
}

// Bounds and precision of latency histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// stream is a load in progress.
type stream struct {
	config  Config
	clients []searchv1connect.SearchServiceClient

	mutex    sync.Mutex
	answers  *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
	result   Result
	attempts uint64
	coverage float64
}

// clientGrace is how much longer than the deadline a caller waits.
const clientGrace = 5 * time.Second

// Run sends all searches and waits until each was answered or failed.
func Run(ctx context.Context, config Config) (Result, error) {
	if err := config.Validate(); err != nil {
		return Result{}, err
	}
	running := &stream{
		config:   config,
		answers:  hdrhistogram.New(lowestMicros, highestMicros, digits),
		refusals: hdrhistogram.New(lowestMicros, highestMicros, digits),
		result:   Result{Failures: map[string]int{}},
	}
	for _, address := range config.Addresses {
		running.clients = append(running.clients, cli.SearchClient(address))
	}
	stop := running.showProgress()
	running.send(ctx)
	stop()
	return running.finish(), nil
}

// send sends searches on the schedule.
func (s *stream) send(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.config.Seed, 5))
	var running sync.WaitGroup
	defer running.Wait()
	began := time.Now()
	arrival := time.Duration(0)
	for number := 0; ; number++ {
		arrival += time.Duration(random.ExpFloat64() / s.config.PerSecond * float64(time.Second))
		if arrival > s.config.Duration {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(began.Add(arrival))):
		}
		intended := began.Add(arrival)
		client := s.clients[number%len(s.clients)]
		running.Go(func() { s.search(ctx, client, intended) })
	}
}

func (s *stream) search(ctx context.Context, client searchv1connect.SearchServiceClient, intended time.Time) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Deadline+clientGrace)
	defer cancel()
	response, err := client.Search(ctx, connect.NewRequest(&searchv1.SearchRequest{
		Service: s.config.Service, Filter: s.config.Filter, Limit: s.config.Limit, DeadlineMillis: uint32(s.config.Deadline.Milliseconds()),
	}))
	took := time.Since(intended)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.result.Sent++
	if err != nil {
		s.noteFailure(api.FailureOf(err), took)
		return
	}
	s.noteAnswer(response.Msg.GetReport(), took)
}

func (s *stream) noteFailure(failed *failure.Failure, took time.Duration) {
	s.result.Failures[string(failed.Code)]++
	if failed.Code == failure.Overloaded {
		// The value is within the bounds of the histogram, so that recording can't fail.
		_ = s.refusals.RecordValue(min(max(took.Microseconds(), lowestMicros), highestMicros))
	}
}

func (s *stream) noteAnswer(report *searchv1.Report, took time.Duration) {
	_ = s.answers.RecordValue(min(max(took.Microseconds(), lowestMicros), highestMicros))
	s.result.Answered++
	if took > s.config.Deadline {
		s.result.Late++
	}
	if report.GetCoverage().GetComplete() {
		s.result.Complete++
	}
	s.coverage += report.GetCoverage().GetFraction()
	extra := report.GetExtraLoad()
	s.attempts += uint64(extra.GetAttempts())
	s.result.Hedges += uint64(extra.GetHedges())
	s.result.Retries += uint64(extra.GetRetries())
	s.result.Cancelled += uint64(extra.GetCancelled())
}

func (s *stream) finish() Result {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.result.AnswerMillis = quantilesOf(s.answers)
	s.result.RefusalMillis = quantilesOf(s.refusals)
	s.result.Goodput = float64(max(s.result.Complete-s.result.Late, 0)) / s.config.Duration.Seconds()
	if s.result.Answered > 0 {
		s.result.Coverage = s.coverage / float64(s.result.Answered)
	}
	if first := s.attempts - s.result.Hedges - s.result.Retries; first > 0 {
		s.result.ExtraLoad = float64(s.attempts) / float64(first)
	}
	return s.result
}

// quantilesOf returns the quantiles of a histogram of microseconds.
func quantilesOf(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(histogram.Max()) / 1000}
}

// showProgress prints a line each second until the returned function is called.
func (s *stream) showProgress() func() {
	if s.config.Progress == nil {
		return func() {}
	}
	ticker := time.NewTicker(time.Second)
	ended := make(chan struct{})
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
				s.printProgress()
			}
		}
	}()
	return func() {
		ticker.Stop()
		close(ended)
	}
}

func (s *stream) printProgress() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, err := fmt.Fprintf(s.config.Progress, "%d sent, %d answered, p99 %.1f ms, failures %v\n",
		s.result.Sent, s.result.Answered, quantilesOf(s.answers).P99, s.result.Failures)
	if err != nil {
		return
	}
}
