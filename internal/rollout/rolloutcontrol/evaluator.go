package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Evaluator decides whether the canary version of one spec is good; verdict.Evaluator is the real one.
type Evaluator interface {
	// Update evaluates the cumulative counts of all nodes, summed by key, at a time since the spec.
	Update(elapsed time.Duration, rows []evidence.Row) verdict.Evaluation
}

// EvaluatorFactory returns the evaluator of a spec.
type EvaluatorFactory func(serving, canary string, duration time.Duration) Evaluator
