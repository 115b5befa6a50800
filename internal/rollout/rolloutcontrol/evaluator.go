package rolloutcontrol

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Evaluator finds out whether the version on trial by one order is good.
type Evaluator interface {
	// Update takes the counts of all nodes so far, added up by key, at a time since the order.
	Update(elapsed time.Duration, rows []evidence.Row) verdict.Judgement
}

// EvaluatorFactory makes the judging of an order.
type EvaluatorFactory func(serving, trial string, duration time.Duration) Evaluator

// VersionCounts are the attempts at a version, on all routes and leafs.
type VersionCounts struct {
	Version  string `json:"version"`
	Attempts int64  `json:"attempts"`
	Failures int64  `json:"failures"`
}

// countVersions adds rows up by version, in order of version.
func countVersions(rows []evidence.Row) []VersionCounts {
	var counts []VersionCounts
	for _, row := range rows {
		at := slices.IndexFunc(counts, func(one VersionCounts) bool { return one.Version == row.Version })
		if at < 0 {
			at = len(counts)
			counts = append(counts, VersionCounts{Version: row.Version})
		}
		counts[at].Attempts += row.Attempts()
		counts[at].Failures += row.Failures
	}
	slices.SortFunc(counts, func(a, b VersionCounts) int { return strings.Compare(a.Version, b.Version) })
	return counts
}

// undecidedReason says how much was known of a version that was not found good in time.
func undecidedReason(target string, rows []evidence.Row) string {
	for _, one := range countVersions(rows) {
		if one.Version == target {
			return fmt.Sprintf("not found good in time: %d of %d attempts failed", one.Failures, one.Attempts)
		}
	}
	return "not found good in time: no attempt was counted"
}
