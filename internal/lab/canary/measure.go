package canary

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Measure is what a way found in a case, over seeds.
type Measure struct {
	Case  Case
	Way   string
	Seeds int
	// Good, Bad and Undecided are the findings at the end of the order; Switched are those found good before bad.
	Good, Bad, Undecided, Switched int
	// BadAnswers are those until found bad, GoodParts when it was found good as parts of the order, each sorted.
	BadAnswers []int
	BadAfter   []time.Duration
	GoodParts  []float64
}

// Weigh plays a case for seeds before a way.
func Weigh(of Case, way Way, seeds int) Measure {
	measured := Measure{Case: of, Way: way.Name, Seeds: seeds}
	for seed := range seeds {
		measured.count(Play(of, uint64(seed)+1, way.New(of)))
	}
	measured.sort()
	return measured
}

func (m *Measure) sort() {
	slices.Sort(m.BadAnswers)
	slices.Sort(m.BadAfter)
	slices.Sort(m.GoodParts)
}

func (m *Measure) merge(other *Measure) {
	m.Good += other.Good
	m.Bad += other.Bad
	m.Undecided += other.Undecided
	m.Switched += other.Switched
	m.BadAnswers = append(m.BadAnswers, other.BadAnswers...)
	m.BadAfter = append(m.BadAfter, other.BadAfter...)
	m.GoodParts = append(m.GoodParts, other.GoodParts...)
}

func (m *Measure) count(outcome Outcome) {
	duration := m.Case.withDefaults().Duration
	if outcome.GoodAt > 0 {
		m.GoodParts = append(m.GoodParts, float64(outcome.GoodAt)/float64(duration))
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
	if outcome.SpentInSwitch {
		m.Switched++
	}
}

// Wrong gives the share of seeds with the wrong end: a bad version that serves, or a good one that does not.
func (m *Measure) Wrong() float64 {
	wrong := m.Good
	if !m.Case.Fault.IsBad() {
		wrong = m.Seeds - m.Good
	}
	return float64(wrong) / float64(m.Seeds)
}

// String prints a line of the table.
func (m *Measure) String() string {
	return fmt.Sprintf("%-38s %-9s good %5.1f%%  bad %5.1f%%  undecided %5.1f%%  good, then bad %5.1f%%  bad answers %3d/%3d  bad after %4.1f/%4.1f s  good at %.2f/%.2f",
		m.Case.Name, m.Way, m.percent(m.Good), m.percent(m.Bad), m.percent(m.Undecided), m.percent(m.Switched),
		quantile(m.BadAnswers, 0.5), quantile(m.BadAnswers, 0.95),
		quantile(m.BadAfter, 0.5).Seconds(), quantile(m.BadAfter, 0.95).Seconds(),
		quantile(m.GoodParts, 0.5), quantile(m.GoodParts, 0.95))
}

func (m *Measure) percent(n int) float64 { return share100(n, m.Seeds) }

func quantile[T any](sorted []T, part float64) T {
	var zero T
	if len(sorted) == 0 {
		return zero
	}
	return sorted[int(part*float64(len(sorted)-1))]
}

// atOnce is how many parts of the seeds are played at the same time.
const atOnce = 4

// WeighAll plays a case for seeds before each way.
func WeighAll(ctx context.Context, of Case, ways []Way, seeds int) ([]Measure, error) {
	measured := make([]Measure, len(ways))
	for i, way := range ways {
		measured[i] = weighParts(ctx, of, way, seeds)
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return measured, nil
}

// weighParts plays the seeds on several processors; it stops early with the context.
func weighParts(ctx context.Context, of Case, way Way, seeds int) Measure {
	parts := make([]Measure, atOnce)
	var wait sync.WaitGroup
	for part := range parts {
		wait.Go(func() {
			parts[part].Case = of
			for seed := part; seed < seeds && ctx.Err() == nil; seed += atOnce {
				parts[part].count(Play(of, uint64(seed)+1, way.New(of)))
			}
		})
	}
	wait.Wait()
	whole := Measure{Case: of, Way: way.Name, Seeds: seeds}
	for _, part := range parts {
		whole.merge(&part)
	}
	whole.sort()
	return whole
}

// Total sums up the wrong ends of the cases of a way.
type Total struct {
	good, refused, condemned int
	bad, passed              int
	cases                    [2]int
}

// Add counts a case.
func (t *Total) Add(m *Measure) {
	if m.Case.Fault.IsBad() {
		t.cases[1]++
		t.bad += m.Seeds
		t.passed += m.Good
		return
	}
	t.cases[0]++
	t.good += m.Seeds
	t.refused += m.Seeds - m.Good
	t.condemned += m.Bad
}

// String gives the shares of wrong ends.
func (t *Total) String() string {
	return fmt.Sprintf("%d good cases: %.2f%% refused, %.2f%% found bad; %d bad cases: %.2f%% served",
		t.cases[0], share100(t.refused, t.good), share100(t.condemned, t.good), t.cases[1], share100(t.passed, t.bad))
}

func share100(part, of int) float64 { return 100 * float64(part) / float64(max(of, 1)) }
