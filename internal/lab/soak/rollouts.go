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

// RolloutsConfig configures a run of rollouts, one after the other and without faults of nodes or of the store.
type RolloutsConfig struct {
	Seed uint64
	// Duration is the duration of each rollout.
	Duration time.Duration
	// PerSecond is the total rate of the callers' requests.
	PerSecond int
	// Cases are the names of the cases to run; empty runs all.
	Cases []string
	// Logs is the directory to which the newest output of the nodes is written; empty writes none.
	Logs string
}

// rolloutCase is a rollout with its expected outcome.
type rolloutCase struct {
	name string
	plan plan
	want rollouts.Outcome
}

// rolloutCases returns all cases, each with a rollout of the given duration.
func rolloutCases(duration time.Duration) []rolloutCase {
	gathered := "part0"
	cases := []rolloutCase{
		{"good", plan{service: singleName}, rollouts.Succeeded},
		{"good, gathered", plan{service: gathered}, rollouts.Succeeded},
	}
	for _, fault := range rollouts.Faults(AtMostOncePrefix) {
		cases = append(cases, rolloutCase{fault.Name, plan{service: singleName, fault: fault}, rollouts.RolledBack})
		if fault.Prefix == "" && fault.AtOnce == 0 {
			cases = append(cases, rolloutCase{fault.Name + ", gathered", plan{service: gathered, fault: fault}, rollouts.RolledBack})
		}
	}
	cases = append(cases,
		rolloutCase{"cancelled", plan{service: singleName, cancelledAfter: duration / 2}, rollouts.RolledBack},
		rolloutCase{"no leaf", plan{service: singleName, hasNoLeafs: true}, rollouts.RolledBack},
		rolloutCase{"serves already", plan{service: singleName, targetsServingVersion: true}, rollouts.Succeeded},
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

// Times without a rollout.
const (
	baselineSpan = 6 * time.Second // at the start, as the baseline of the callers' statistics
	rolloutGap   = 2 * time.Second // between two rollouts
)

// RunRollouts runs rollouts over nodes of the program at the given path, and writes a line for each. It returns how
// many had the expected outcome and kept all guarantees, and how many did not.
func RunRollouts(ctx context.Context, program string, cfg RolloutsConfig, out io.Writer) (passed, failed int, err error) {
	cases := slices.DeleteFunc(rolloutCases(cfg.Duration), func(one rolloutCase) bool {
		return len(cfg.Cases) > 0 && !slices.Contains(cfg.Cases, one.name)
	})
	if len(cases) == 0 {
		return 0, 0, failure.Invalid("cases", "no such case; the cases are %q", caseNames())
	}
	dir, err := os.MkdirTemp("", "portgauge-rollout-")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	e, err := newEnvironment(program, dir, minNodes)
	if err != nil {
		return 0, 0, err
	}
	defer e.close()
	wait.For(ctx, startTime)
	if err := e.checkStarted(); err != nil {
		return 0, 0, err
	}
	if passed, failed, err = runCases(ctx, e, cfg, cases, out); err != nil {
		return passed, failed, err
	}
	if err := e.writeLogs(cfg.Logs); err != nil {
		return passed, failed, err
	}
	return passed, failed, ctx.Err()
}

// runCases runs cases in an environment one after the other while callers send requests.
func runCases(ctx context.Context, e *environment, cfg RolloutsConfig, cases []rolloutCase, out io.Writer) (passed, failed int, err error) {
	callers := newLoad(e)
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	go callers.run(callCtx, rand.New(rand.NewPCG(cfg.Seed, loadStream)), cfg.PerSecond)
	o := newOperator(e, func(text string) { _, _ = fmt.Fprintln(out, text) })
	go o.read(callCtx)
	baselineFrom := time.Now()
	wait.For(ctx, baselineSpan)
	baselineUntil := time.Now()
	for _, one := range cases {
		number, err := o.rollOut(ctx, one.plan)
		if err != nil {
			return passed, failed, err
		}
		wait.For(ctx, rolloutGap+requestDeadline)
		s := rolloutRun{release: o.allReleases()[number], seen: callers.all(), baselineFrom: baselineFrom, baselineUntil: baselineUntil}
		if s.report(out, one, e) {
			passed++
		} else {
			failed++
		}
	}
	return passed, failed, nil
}

// rolloutRun is a rollout with the outcomes of all requests and the bounds of the baseline before the first rollout.
type rolloutRun struct {
	release                     rollouts.Release
	seen                        []outcome
	baselineFrom, baselineUntil time.Time
}

// report writes a line for a case, followed by a line for each failure. It reports whether the case passed.
func (s rolloutRun) report(out io.Writer, one rolloutCase, e *environment) bool {
	r := s.release
	status, at := r.Outcome()
	end := r.At.Add(r.Duration)
	took := "-"
	if !at.IsZero() {
		took = at.Sub(r.At).Round(10 * time.Millisecond).String()
	}
	exposure := r.Exposure(rollouts.AlwaysFaultFree)
	during := s.callers(r, r.At, end)
	baseline := s.callers(r, s.baselineFrom, s.baselineUntil)
	broken := s.broken(one, status, at.Sub(r.At))
	word := "PASS"
	if len(broken) > 0 {
		word = "FAIL"
	}
	_, _ = fmt.Fprintf(out, "%s %-34s %q after %s; %d of %d requests, bound %.0f; %s; callers: %s; baseline: %s; disallowed %d\n",
		word, one.name, status, took, exposure.Received, exposure.Reached, exposure.Bound(), s.describeLastRequest(), during, baseline,
		len(r.OutsideRollout(rollouts.AlwaysFaultFree))+len(r.AtOldVersion(rollouts.AlwaysFaultFree)))
	for _, text := range broken {
		_, _ = fmt.Fprintln(out, "    ", text)
	}
	return len(broken) == 0
}

// broken describes the failures of the rollout.
func (s rolloutRun) broken(one rolloutCase, status rollouts.Outcome, took time.Duration) []string {
	var broken []string
	if status == rollouts.Running {
		status = ""
	}
	if status != one.want {
		broken = append(broken, fmt.Sprintf("outcome %q, want %q", status, one.want))
	}
	if status != "" && took > s.release.Duration {
		broken = append(broken, fmt.Sprintf("outcome %v after the start, later than the duration of %v", took, s.release.Duration))
	}
	for _, result := range checkRollouts([]rollouts.Release{s.release}, rollouts.AlwaysFaultFree) {
		broken = append(broken, result.Broken...)
	}
	return broken
}

// describeLastRequest describes the number of bad answers and, if there were at least 50, the time from the 50th to the
// version's last request.
func (s rolloutRun) describeLastRequest() string {
	bad := s.release.BadAnswers()
	fiftieth, hadFiftyBadAnswers := s.release.FiftiethBadAnswer()
	if !hadFiftyBadAnswers {
		return fmt.Sprintf("%d bad answers", bad)
	}
	requests := s.release.Target.Requests()
	return fmt.Sprintf("%d bad answers, last request %v after the 50th", bad, requests[len(requests)-1].At.Sub(fiftieth).Round(10*time.Millisecond))
}

// callerStats summarizes the requests of callers.
type callerStats struct {
	requested, failed int
	median, high      time.Duration
}

func (c callerStats) String() string {
	return fmt.Sprintf("%d of %d failed, p50 %v p99 %v", c.failed, c.requested, c.median, c.high)
}

// callers summarizes the requests for the service of a rollout that were sent between two times.
func (s rolloutRun) callers(r rollouts.Release, from, until time.Time) callerStats {
	kinds := []Kind{Gathered}
	if r.Target.Service() == singleName {
		kinds = []Kind{Single, AtMostOnce, Switched}
	}
	var c callerStats
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
