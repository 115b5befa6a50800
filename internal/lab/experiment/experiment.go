package experiment

import (
	"context"
	"fmt"
	"io"
	"math"
	"sort"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// Options are shared by all experiments.
type Options struct {
	// Repetitions is how often each arm runs, in turn with the others; of canary the seeds of each case.
	Repetitions int
	// Slice is how long one arm runs at a time.
	Slice time.Duration
	// PerSecond is the rate of searches; 0 means the experiment's own.
	PerSecond float64
}

// Run runs an experiment by its name and prints its arms and ratios.
func Run(ctx context.Context, name string, options Options, programs process.Programs, output io.Writer) error {
	experiments := map[string]func(context.Context, Options, process.Programs, io.Writer) error{
		"tail":         runTail,
		"slow-replica": runSlowReplica,
		"overload":     runOverload,
		"brownout":     runBrownout,
		"node-cost":    runNodeCost,
		"canary":       runCanary,
	}
	run, found := experiments[name]
	if !found {
		return failure.Invalid("name", "%q is not an experiment", name)
	}
	return run(ctx, options, programs, output)
}

// arm is one variant that is measured, in every repetition once.
type arm struct {
	name    string
	results []load.Result
}

// quantile gives the median over repetitions of a figure, with its least and greatest.
func (a *arm) spread(figure func(load.Result) float64) spread {
	var values []float64
	for _, result := range a.results {
		values = append(values, figure(result))
	}
	return spreadOf(values)
}

// spread is a median with its least and greatest value.
type spread struct {
	median, least, greatest float64
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{math.NaN(), math.NaN(), math.NaN()}
	}
	sorted := append([]float64(nil), values...)
	sort.Float64s(sorted)
	return spread{sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]}
}

// String prints the median and the range.
func (s spread) String() string {
	return fmt.Sprintf("%.2f (%.2f-%.2f)", s.median, s.least, s.greatest)
}

// ratios compares two arms repetition by repetition.
func ratios(upper, lower *arm, figure func(load.Result) float64) spread {
	var values []float64
	for index := range min(len(upper.results), len(lower.results)) {
		values = append(values, figure(upper.results[index])/figure(lower.results[index]))
	}
	return spreadOf(values)
}

func p50(result load.Result) float64  { return result.AnswerMillis.P50 }
func p99(result load.Result) float64  { return result.AnswerMillis.P99 }
func p999(result load.Result) float64 { return result.AnswerMillis.P999 }

// printArms prints a line for each arm.
func printArms(output io.Writer, arms []*arm) error {
	for _, measured := range arms {
		sent, complete, failed := 0, 0, 0
		for _, result := range measured.results {
			sent += result.Sent
			complete += result.Complete
			for _, count := range result.Failures {
				failed += count
			}
		}
		_, err := fmt.Fprintf(output, "%-22s p50 %s  p99 %s  p99.9 %s ms  extra load %s  %d sent, %d complete, %d failed\n",
			measured.name, measured.spread(p50), measured.spread(p99), measured.spread(p999),
			measured.spread(func(r load.Result) float64 { return r.ExtraLoad }), sent, complete, failed)
		if err != nil {
			return err
		}
	}
	return nil
}
