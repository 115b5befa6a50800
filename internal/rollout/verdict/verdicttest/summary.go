package verdicttest

import (
	"fmt"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Summary aggregates the outcomes of a case over several seeds.
type Summary struct {
	Case  Case
	Seeds int
	// Good, Bad and Undecided count the findings at the end of the spec. BadAfterGood counts the bad findings that were
	// good before.
	Good, Bad, Undecided, BadAfterGood int
	// BadAnswers are the numbers of bad answers until the version was found bad, BadAfter the times until then, and
	// GoodFractions the times until the version was found good as fractions of the spec's duration. Each is sorted.
	BadAnswers    []int
	BadAfter      []time.Duration
	GoodFractions []float64
}

// Repeat simulates a case with the given number of seeds and the default configuration.
func Repeat(c Case, seeds int) Summary {
	summary := Summary{Case: c, Seeds: seeds}
	for seed := range seeds {
		summary.count(Simulate(c, uint64(seed)+1, newEvaluator(c)))
	}
	summary.sort()
	return summary
}

// findingOnly adapts verdict.Evaluator to Evaluator.
type findingOnly struct{ *verdict.Evaluator }

func newEvaluator(c Case) Evaluator {
	return findingOnly{verdict.New(verdict.DefaultConfig(), Serving, Canary, c.withDefaults().Duration)}
}

func (f findingOnly) Update(elapsed time.Duration, rows []evidence.Row) verdict.Finding {
	return f.Evaluator.Update(elapsed, rows).Finding
}

func (s *Summary) sort() {
	slices.Sort(s.BadAnswers)
	slices.Sort(s.BadAfter)
	slices.Sort(s.GoodFractions)
}

func (s *Summary) count(outcome Outcome) {
	duration := s.Case.withDefaults().Duration
	if outcome.GoodAt > 0 {
		s.GoodFractions = append(s.GoodFractions, float64(outcome.GoodAt)/float64(duration))
	}
	switch outcome.Last {
	case verdict.Good:
		s.Good++
	case verdict.Undecided:
		s.Undecided++
	case verdict.Bad:
		s.Bad++
		s.BadAnswers = append(s.BadAnswers, outcome.BadAnswers)
		s.BadAfter = append(s.BadAfter, outcome.BadAt)
	}
	if outcome.WasGood {
		s.BadAfterGood++
	}
}

// Wrong returns the fraction of seeds with a wrong finding: a bad version found good, or a good version not found good.
func (s *Summary) Wrong() float64 {
	wrong := s.Good
	if !s.Case.Fault.IsBad() {
		wrong = s.Seeds - s.Good
	}
	return float64(wrong) / float64(s.Seeds)
}

// String formats the summary as one line.
func (s *Summary) String() string {
	return fmt.Sprintf("%-38s good %5.1f%%  bad %5.1f%%  undecided %5.1f%%  good, then bad %5.1f%%  bad answers %3d/%3d  bad after %4.1f/%4.1f s  good at %.2f/%.2f",
		s.Case.Name, s.percent(s.Good), s.percent(s.Bad), s.percent(s.Undecided), s.percent(s.BadAfterGood),
		quantile(s.BadAnswers, 0.5), quantile(s.BadAnswers, 0.95),
		quantile(s.BadAfter, 0.5).Seconds(), quantile(s.BadAfter, 0.95).Seconds(),
		quantile(s.GoodFractions, 0.5), quantile(s.GoodFractions, 0.95))
}

func (s *Summary) percent(n int) float64 { return 100 * float64(n) / float64(max(s.Seeds, 1)) }

func quantile[T any](sorted []T, fraction float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[int(fraction*float64(len(sorted)-1))]
}
