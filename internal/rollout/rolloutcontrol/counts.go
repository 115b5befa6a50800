package rolloutcontrol

import (
	"cmp"
	"slices"
	"strings"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// VersionCounts are the attempts at a version over all routes and leafs.
type VersionCounts struct {
	Version  string `json:"version"`
	Attempts int64  `json:"attempts"`
	Failures int64  `json:"failures"`
}

// countVersions sums rows by version, sorted by version.
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

// RouteCounts are the attempts at a version on a route.
type RouteCounts struct {
	Version  string
	Route    string
	Attempts int64
	Failures int64
}

// countRoutes sums rows by version and route, sorted by both.
func countRoutes(rows []evidence.Row) []RouteCounts {
	var counts []RouteCounts
	for _, row := range rows {
		isSame := func(one RouteCounts) bool { return one.Version == row.Version && one.Route == row.Route }
		at := slices.IndexFunc(counts, isSame)
		if at < 0 {
			at = len(counts)
			counts = append(counts, RouteCounts{Version: row.Version, Route: row.Route})
		}
		counts[at].Attempts += row.Attempts()
		counts[at].Failures += row.Failures
	}
	slices.SortFunc(counts, func(a, b RouteCounts) int {
		return cmp.Or(strings.Compare(a.Version, b.Version), strings.Compare(a.Route, b.Route))
	})
	return counts
}
