package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Evaluator evaluates the canary version of one spec. It is implemented by verdict.Evaluator.
type Evaluator interface {
	// Update evaluates the cumulative counts of all nodes, summed by key. elapsed is the time since the start of the
	// spec.
	Update(elapsed time.Duration, rows []evidence.Row) verdict.Evaluation
}

// EvaluatorFactory returns an evaluator for a spec.
type EvaluatorFactory func(serving, canary string, duration time.Duration) Evaluator
