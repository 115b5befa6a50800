// Package soak runs real nodes as separate processes with a stand-in store and stand-in leafs, injects random faults from a
// seed, and checks the guarantees of the product against the records of callers, store and leafs.
//
// An environment owns the processes, the links between them and the store; it stops everything that it started before
// Run returns. Package process starts the nodes; packages kvstore, httpleaf and rollouts implement the store, the leafs
// and their versions. Seeds that once broke a guarantee are kept as tests, so the order of calls to the random
// generators must not change.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/wait"
)

// Config configures a soak.
type Config struct {
	Seed uint64
	// Length is the time for which faults are injected.
	Length time.Duration
	// PerSecond is the total rate of the callers' requests.
	PerSecond int
	// Nodes is the number of nodes, at least four.
	Nodes int
	// Streams is the number of concurrent streams of faults, each with its own random generator. Crashing requests are sent
	// in addition.
	Streams int
	// Logs is the directory for the records of a soak that broke a guarantee: the newest output of the nodes, the events, and
	// the requests as their callers saw them. Empty writes no records.
	Logs string
	// KeepAll writes the records of soaks that kept all guarantees too.
	KeepAll bool
}

const (
	startTime         = 6 * time.Second  // from the start of the nodes to the first fault
	recoveryTime      = 12 * time.Second // from the last fault until the nodes must have recovered
	afterRecoveryTime = 4 * time.Second  // for which requests are sent after that
)

// Numbers of the random streams: requests of callers, first stream of faults, rollouts, crashing requests, series of
// faults, and restores of the store. The numbers of further streams of faults follow crashingStream.
const (
	loadStream     = 1
	firstStream    = 2
	operatorStream = 3
	crashingStream = 4
	seriesStream   = 1 << 20
	restoreStream  = seriesStream + 1
)

// firstWithSeries is the lowest seed that injects the faults of series.
const firstWithSeries = 10000

// isRestored reports whether a seed restores the store from backups. Such a seed performs no rollouts, since a restore
// reverts rollout statuses that operators have read.
func isRestored(seed uint64) bool { return seed >= firstWithSeries && seed%2 == 0 }

// streamOf returns the number of the random stream for a stream of faults.
func streamOf(stream int) uint64 {
	if stream == 0 {
		return firstStream
	}
	return crashingStream + uint64(stream)
}

// session is a soak in progress.
type session struct {
	cfg         Config
	environment *environment
	callers     *load
	operators   *operator
	began       time.Time
	out         io.Writer
	events      eventLog
}

// Run runs a soak over nodes of the program at the given path and returns a result for each guarantee. It writes the
// events to out.
func Run(ctx context.Context, program string, cfg Config, out io.Writer) ([]Result, error) {
	dir, err := os.MkdirTemp("", "portgauge-soak-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	e, err := newEnvironment(program, dir, cfg.Nodes)
	if err != nil {
		return nil, err
	}
	defer e.close()
	s := &session{cfg: cfg, environment: e, callers: newLoad(e), began: time.Now(), out: out}
	s.operators = newOperator(e, s.log)
	wait.For(ctx, startTime)
	if err := e.checkStarted(); err != nil {
		return nil, err
	}
	recovered := s.run(ctx)
	if err := e.replacementErrors(); err != nil {
		return nil, err
	}
	results, err := s.checkAll(recovered)
	if err != nil {
		return nil, err
	}
	return results, ctx.Err()
}

// log writes an event with the time since the soak began.
func (s *session) log(text string) {
	_, _ = fmt.Fprintf(io.MultiWriter(s.out, &s.events), "%8.3f %s\n", time.Since(s.began).Seconds(), text)
}

// random returns the generator of a random stream.
func (s *session) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.cfg.Seed, stream)) }

// run sends requests while faults are injected and for some time afterwards. It returns the time by which the nodes must have
// recovered.
func (s *session) run(ctx context.Context) (recovered time.Time) {
	callCtx, stopCalls := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		s.callers.run(callCtx, s.random(loadStream), s.cfg.PerSecond)
		close(ended)
	}()
	go s.operators.read(callCtx)
	s.injectFaults(ctx)
	s.log("all faults ended")
	wait.For(ctx, recoveryTime)
	recovered = time.Now()
	wait.For(ctx, afterRecoveryTime)
	stopCalls()
	<-ended
	return recovered
}

// injectFaults injects the faults of the seed and performs its rollouts. It returns when all have ended.
func (s *session) injectFaults(ctx context.Context) {
	faultCtx, cancel := context.WithTimeout(ctx, s.cfg.Length)
	defer cancel()
	rolloutsEnded := make(chan struct{})
	go func() {
		defer close(rolloutsEnded)
		if !isRestored(s.cfg.Seed) {
			s.operators.run(ctx, faultCtx, s.random(operatorStream))
		}
	}()
	var injecting sync.WaitGroup
	injecting.Go(func() {
		(&crasher{load: s.callers, random: s.random(crashingStream), log: s.log}).run(faultCtx)
	})
	inject := func(kinds []fault, stream uint64) {
		inj := &injector{environment: s.environment, kinds: kinds, random: s.random(stream), log: s.log}
		injecting.Go(func() { inj.run(faultCtx) })
	}
	for stream := range s.cfg.Streams {
		inject(faults(), streamOf(stream))
	}
	if s.cfg.Seed >= firstWithSeries {
		inject(series(), seriesStream)
	}
	if isRestored(s.cfg.Seed) {
		inject(restores(), restoreStream)
	}
	injecting.Wait()
	cancel()
	<-rolloutsEnded
}

// checkAll checks all guarantees, and writes the records of the soak if a guarantee was broken or KeepAll is set.
func (s *session) checkAll(recovered time.Time) ([]Result, error) {
	seen := s.callers.all()
	results := append(checkAll(s.environment, seen, recovered), checkRollouts(s.operators.allReleases(), s.environment.faultFreeOf(seen))...)
	if s.cfg.Logs == "" || !s.cfg.KeepAll && !hasBroken(results) {
		return results, nil
	}
	dir := filepath.Join(s.cfg.Logs, fmt.Sprintf("seed-%d-%s", s.cfg.Seed, s.began.UTC().Format("150405")))
	_, _ = fmt.Fprintf(s.out, "writing the logs to %s\n", dir)
	return results, s.environment.writeRun(dir, s.events.String(), s.began, seen)
}

// eventLog stores the events of a soak. It is safe for concurrent use. The zero value is empty.
type eventLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *eventLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
