package verdicttest

import (
	"fmt"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Measure aggregates the outcomes of a case over several seeds.
type Measure struct {
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
func Repeat(c Case, seeds int) Measure {
	measured := Measure{Case: c, Seeds: seeds}
	for seed := range seeds {
		measured.count(Simulate(c, uint64(seed)+1, newEvaluator(c)))
	}
	measured.sort()
	return measured
}

// findingOnly adapts verdict.Evaluator to Evaluator.
type findingOnly struct{ *verdict.Evaluator }

func newEvaluator(c Case) Evaluator {
	return findingOnly{verdict.New(verdict.DefaultConfig(), Serving, Canary, c.withDefaults().Duration)}
}

func (f findingOnly) Update(elapsed time.Duration, rows []evidence.Row) verdict.Finding {
	return f.Evaluator.Update(elapsed, rows).Finding
}

func (m *Measure) sort() {
	slices.Sort(m.BadAnswers)
	slices.Sort(m.BadAfter)
	slices.Sort(m.GoodFractions)
}

func (m *Measure) count(outcome Outcome) {
	duration := m.Case.withDefaults().Duration
	if outcome.GoodAt > 0 {
		m.GoodFractions = append(m.GoodFractions, float64(outcome.GoodAt)/float64(duration))
	}
	switch outcome.Last {
	case verdict.Good:
		m.Good++
	case verdict.Undecided:
		m.Undecided++
	case verdict.Bad:
		m.Bad++
		m.BadAnswers = append(m.BadAnswers, outcome.BadAnswers)
		m.BadAfter = append(m.BadAfter, outcome.BadAt)
	}
	if outcome.WasGood {
		m.BadAfterGood++
	}
}

// Wrong returns the fraction of seeds with a wrong finding: a bad version found good, or a good version not found good.
func (m *Measure) Wrong() float64 {
	wrong := m.Good
	if !m.Case.Fault.IsBad() {
		wrong = m.Seeds - m.Good
	}
	return float64(wrong) / float64(m.Seeds)
}

// String formats the measure as one line.
func (m *Measure) String() string {
	return fmt.Sprintf("%-38s good %5.1f%%  bad %5.1f%%  undecided %5.1f%%  good, then bad %5.1f%%  bad answers %3d/%3d  bad after %4.1f/%4.1f s  good at %.2f/%.2f",
		m.Case.Name, m.percent(m.Good), m.percent(m.Bad), m.percent(m.Undecided), m.percent(m.BadAfterGood),
		quantile(m.BadAnswers, 0.5), quantile(m.BadAnswers, 0.95),
		quantile(m.BadAfter, 0.5).Seconds(), quantile(m.BadAfter, 0.95).Seconds(),
		quantile(m.GoodFractions, 0.5), quantile(m.GoodFractions, 0.95))
}

func (m *Measure) percent(n int) float64 { return 100 * float64(n) / float64(max(m.Seeds, 1)) }

func quantile[T any](sorted []T, fraction float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[int(fraction*float64(len(sorted)-1))]
}
