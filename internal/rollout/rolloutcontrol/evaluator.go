package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Evaluator decides whether the canary version of one order is good; verdict.Evaluator is the real one.
type Evaluator interface {
	// Update evaluates the cumulative counts of all nodes, summed by key, at a time since the order.
	Update(elapsed time.Duration, rows []evidence.Row) verdict.Evaluation
}

// EvaluatorFactory returns the evaluator of an order.
type EvaluatorFactory func(serving, canary string, duration time.Duration) Evaluator
