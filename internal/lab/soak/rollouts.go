package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/wait"
)

// RolloutsConfig is a run of roll-outs, one after the other and without faults of nodes or store.
type RolloutsConfig struct {
	Seed uint64
	// Duration is the duration of each order.
	Duration time.Duration
	// PerSecond is the rate of requests of all callers.
	PerSecond int
	// Cases are the names of the cases to play; empty plays all.
	Cases []string
	// Logs is a folder for the newest output of the nodes; empty for none.
	Logs string
}

// rolloutCase is a roll-out with the outcome that it must have.
type rolloutCase struct {
	name string
	plan plan
	want rollouts.Outcome
}

// rolloutCases returns all cases, with orders of a duration.
func rolloutCases(duration time.Duration) []rolloutCase {
	gathered := "part0"
	cases := []rolloutCase{
		{"good", plan{service: singleName}, rollouts.Succeeded},
		{"good, gathered", plan{service: gathered}, rollouts.Succeeded},
	}
	for _, fault := range rollouts.Faults(OncePrefix) {
		cases = append(cases, rolloutCase{fault.Name, plan{service: singleName, fault: fault}, rollouts.RolledBack})
		if fault.Prefix == "" && fault.AtOnce == 0 {
			cases = append(cases, rolloutCase{fault.Name + ", gathered", plan{service: gathered, fault: fault}, rollouts.RolledBack})
		}
	}
	cases = append(cases,
		rolloutCase{"cancelled", plan{service: singleName, cancelledAfter: duration / 2}, rollouts.RolledBack},
		rolloutCase{"no leaf", plan{service: singleName, isEmpty: true}, rollouts.RolledBack},
		rolloutCase{"serves already", plan{service: singleName, isServing: true}, rollouts.Succeeded},
	)
	for index := range cases {
		cases[index].plan.duration = duration
	}
	return cases
}

// caseNames returns the names of all cases.
func caseNames() []string {
	var names []string
	for _, one := range rolloutCases(time.Second) {
		names = append(names, one.name)
	}
	return names
}

// Times without an order.
const (
	baselineTime = 6 * time.Second // at the start, for comparison
	restTime     = 2 * time.Second // between two orders
)

// RunRollouts plays roll-outs over the program at a path, and writes a line for each. It returns how many had the right
// outcome and kept all promises, and how many did not.
func RunRollouts(ctx context.Context, program string, cfg RolloutsConfig, out io.Writer) (passed, failed int, err error) {
	cases := slices.DeleteFunc(rolloutCases(cfg.Duration), func(one rolloutCase) bool {
		return len(cfg.Cases) > 0 && !slices.Contains(cfg.Cases, one.name)
	})
	if len(cases) == 0 {
		return 0, 0, failure.Invalid("cases", "none of these is known; there are %q", caseNames())
	}
	folder, err := os.MkdirTemp("", "portgauge-rollout-")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	w, err := newEnvironment(program, folder, leastNodes)
	if err != nil {
		return 0, 0, err
	}
	defer w.close()
	wait.For(ctx, startTime)
	if err := w.checkStarted(); err != nil {
		return 0, 0, err
	}
	if passed, failed, err = runCases(ctx, w, cfg, cases, out); err != nil {
		return passed, failed, err
	}
	if err := w.keepLogs(cfg.Logs); err != nil {
		return passed, failed, err
	}
	return passed, failed, ctx.Err()
}

// runCases sends requests to an environment and runs cases there, one after the other.
func runCases(ctx context.Context, w *environment, cfg RolloutsConfig, cases []rolloutCase, out io.Writer) (passed, failed int, err error) {
	callers := newLoad(w)
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	go callers.run(calling, rand.New(rand.NewPCG(cfg.Seed, loadStream)), cfg.PerSecond)
	o := newOperator(w, func(text string) { _, _ = fmt.Fprintln(out, text) })
	go o.read(calling)
	quietFrom := time.Now()
	wait.For(ctx, baselineTime)
	quietUntil := time.Now()
	for _, one := range cases {
		number, err := o.rollOut(ctx, one.plan)
		if err != nil {
			return passed, failed, err
		}
		wait.For(ctx, restTime+requestDeadline)
		s := rolloutRun{release: o.allReleases()[number], seen: callers.all(), quietFrom: quietFrom, quietUntil: quietUntil}
		if s.report(out, one, w) {
			passed++
		} else {
			failed++
		}
	}
	return passed, failed, nil
}

// rolloutRun is a roll-out with the outcomes of all requests, and the time before the first one.
type rolloutRun struct {
	release               rollouts.Release
	seen                  []outcome
	quietFrom, quietUntil time.Time
}

// report writes a line for a case, and lines for what is wrong with it. It returns whether nothing is.
func (s rolloutRun) report(out io.Writer, one rolloutCase, w *environment) bool {
	r := s.release
	status, at := r.Outcome()
	end := r.At.Add(r.Duration)
	took := "-"
	if !at.IsZero() {
		took = at.Sub(r.At).Round(10 * time.Millisecond).String()
	}
	exposure := r.Exposure(rollouts.Always)
	ours := s.callers(r, r.At, end)
	quiet := s.callers(r, s.quietFrom, s.quietUntil)
	broken := s.broken(one, status, at.Sub(r.At))
	word := "PASS"
	if len(broken) > 0 {
		word = "FAIL"
	}
	_, _ = fmt.Fprintf(out, "%s %-34s %q after %s; %d of %d requests, bound %.0f; %s; callers: %s; quiet: %s; misplaced %d\n",
		word, one.name, status, took, exposure.Got, exposure.Reached, exposure.Bound(), s.lastAfterBad(), ours, quiet,
		len(r.Unordered(rollouts.Always))+len(r.AtOldVersion(rollouts.Always)))
	for _, text := range broken {
		_, _ = fmt.Fprintln(out, "    ", text)
	}
	return len(broken) == 0
}

// broken returns what is wrong with the roll-out.
func (s rolloutRun) broken(one rolloutCase, status rollouts.Outcome, took time.Duration) []string {
	var broken []string
	if status == rollouts.Running {
		status = ""
	}
	if status != one.want {
		broken = append(broken, fmt.Sprintf("outcome %q, %q is due", status, one.want))
	}
	if status != "" && took > s.release.Duration {
		broken = append(broken, fmt.Sprintf("outcome %v after the order, which was to take %v", took, s.release.Duration))
	}
	for _, v := range checkRollouts([]rollouts.Release{s.release}, rollouts.Always) {
		broken = append(broken, v.Broken...)
	}
	return broken
}

// lastAfterBad describes how long after its 50th bad answer the version got its last request.
func (s rolloutRun) lastAfterBad() string {
	bad := s.release.BadAnswers()
	fiftieth, isCondemned := s.release.FiftiethBadAnswer()
	if !isCondemned {
		return fmt.Sprintf("%d bad", bad)
	}
	visits := s.release.Target.Visits()
	return fmt.Sprintf("%d bad, last request %v after the 50th", bad, visits[len(visits)-1].At.Sub(fiftieth).Round(10*time.Millisecond))
}

// callersSeen sums up the requests of callers.
type callersSeen struct {
	requested, failed int
	median, high      time.Duration
}

func (c callersSeen) String() string {
	return fmt.Sprintf("%d of %d failed, p50 %v p99 %v", c.failed, c.requested, c.median, c.high)
}

// callers sums up the requests for the service of an order that were sent between two times.
func (s rolloutRun) callers(r rollouts.Release, from, until time.Time) callersSeen {
	kinds := []Kind{Gathered}
	if r.Target.Service() == singleName {
		kinds = []Kind{Single, Once, Switched}
	}
	var c callersSeen
	var took []time.Duration
	for _, o := range s.seen {
		if !slices.Contains(kinds, o.kind) || o.sent.Before(from) || o.sent.After(until) {
			continue
		}
		c.requested++
		if o.status != http.StatusOK {
			c.failed++
		}
		took = append(took, o.ended.Sub(o.sent).Round(100*time.Microsecond))
	}
	slices.Sort(took)
	if len(took) > 0 {
		c.median, c.high = took[len(took)/2], took[len(took)*99/100]
	}
	return c
}
