// Package soak runs real nodes as processes of their own over a stand-in store and stand-in leafs, injects faults drawn from
// a seed, and checks the promises of the product on the records of callers, store and leafs.
//
// An environment owns the processes, the links between them and the store; everything it starts ends with Run. Package process starts
// the nodes, package kvstore is the store, package httpleaf the leafs, package rollouts their versions. Seeds that once broke a
// promise are kept as tests, so that the order of the random draws must stay as it is.
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

// Config is one soak.
type Config struct {
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// PerSecond is the rate of requests of all callers.
	PerSecond int
	// Nodes is the number of nodes, at least four.
	Nodes int
	// Streams is how many faults are injected side by side, each stream with draws of its own; crashing requests come besides.
	Streams int
	// Logs is a folder for the records of a soak that broke a promise: the newest output of its nodes, the faults, and each
	// request as its caller saw it. Empty for none.
	Logs string
	// KeepAll writes these records of every soak.
	KeepAll bool
}

// Times before and after the faults.
const (
	startTime   = 6 * time.Second
	recoverTime = 12 * time.Second
	calmTime    = 4 * time.Second
)

// Numbers of the random streams: of callers, of the first stream of faults, of roll-out orders, crashing requests, series and
// restores of the store. Further streams of faults follow on that of crashing requests.
const (
	loadStream     = 1
	firstStream    = 2
	operatorStream = 3
	crashingStream = 4
	seriesStream   = 1 << 20
	restoreStream  = seriesStream + 1
)

// firstWithSeries is the first seed that plays series of planned work and leafs that start again under their names.
const firstWithSeries = 10000

// isRestored reports whether the store of a seed is restored from backups. There are no roll-outs then, since a restore takes
// back the status that operators read of an order.
func isRestored(seed uint64) bool { return seed >= firstWithSeries && seed%2 == 0 }

// streamOf returns the number of the random stream of a stream of faults.
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

// Run plays a soak over the program at a path and returns a result for each promise. It writes what happens to out.
func Run(ctx context.Context, program string, cfg Config, out io.Writer) ([]Result, error) {
	folder, err := os.MkdirTemp("", "portgauge-soak-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w, err := newEnvironment(program, folder, cfg.Nodes)
	if err != nil {
		return nil, err
	}
	defer w.close()
	s := &session{cfg: cfg, environment: w, callers: newLoad(w), began: time.Now(), out: out}
	s.operators = newOperator(w, s.log)
	wait.For(ctx, startTime)
	if err := w.checkStarted(); err != nil {
		return nil, err
	}
	calm := s.run(ctx)
	if err := w.failed(); err != nil {
		return nil, err
	}
	results, err := s.checkAll(calm)
	if err != nil {
		return nil, err
	}
	return results, ctx.Err()
}

// log writes what happens, with the time since the soak began.
func (s *session) log(text string) {
	_, _ = fmt.Fprintf(io.MultiWriter(s.out, &s.events), "%8.3f %s\n", time.Since(s.began).Seconds(), text)
}

// random returns a source of one of the random streams.
func (s *session) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.cfg.Seed, stream)) }

// run sends requests while faults are injected and for some time afterwards. It returns when the system had had the time to
// recover.
func (s *session) run(ctx context.Context) (calm time.Time) {
	calling, stopCalling := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		s.callers.run(calling, s.random(loadStream), s.cfg.PerSecond)
		close(ended)
	}()
	go s.operators.read(calling)
	s.injectFaults(ctx)
	s.log("no more faults")
	wait.For(ctx, recoverTime)
	calm = time.Now()
	wait.For(ctx, calmTime)
	stopCalling()
	<-ended
	return calm
}

// injectFaults injects all faults of the seed, and returns when the last one has ended.
func (s *session) injectFaults(ctx context.Context) {
	faulty, cancel := context.WithTimeout(ctx, s.cfg.Length)
	defer cancel()
	released := make(chan struct{})
	go func() {
		defer close(released)
		if !isRestored(s.cfg.Seed) {
			s.operators.run(ctx, faulty, s.random(operatorStream))
		}
	}()
	var injecting sync.WaitGroup
	injecting.Go(func() {
		(&crasher{load: s.callers, random: s.random(crashingStream), log: s.log}).run(faulty)
	})
	inject := func(kinds []fault, stream uint64) {
		drawn := &injector{environment: s.environment, kinds: kinds, random: s.random(stream), log: s.log}
		injecting.Go(func() { drawn.run(faulty) })
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
	<-released
}

// checkAll checks all promises, and writes the records of the soak to its folder if a promise was broken.
func (s *session) checkAll(calm time.Time) ([]Result, error) {
	seen := s.callers.all()
	results := append(checkAll(s.environment, seen, calm), checkRollouts(s.operators.allReleases(), s.environment.clearOf(seen))...)
	if s.cfg.Logs == "" || !s.cfg.KeepAll && !hasBroken(results) {
		return results, nil
	}
	folder := filepath.Join(s.cfg.Logs, fmt.Sprintf("seed-%d-%s", s.cfg.Seed, s.began.UTC().Format("150405")))
	_, _ = fmt.Fprintf(s.out, "logs: %s\n", folder)
	return results, s.environment.keepRun(folder, s.events.String(), s.began, seen)
}

// eventLog keeps what a soak logs; safe for concurrent use. The zero value is empty.
type eventLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *eventLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// String returns all that was written.
func (l *eventLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}
