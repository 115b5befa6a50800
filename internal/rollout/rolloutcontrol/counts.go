package rolloutcontrol

import (
	"cmp"
	"slices"
	"strings"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// VersionCounts are the attempts at a version, summed over all routes and leafs.
type VersionCounts struct {
	Version  string `json:"version"`
	Attempts int64  `json:"attempts"`
	Failures int64  `json:"failures"`
}

// countVersions sums rows by version, sorted by version.
func countVersions(rows []evidence.Row) []VersionCounts {
	var counts []VersionCounts
	for _, row := range rows {
		index := slices.IndexFunc(counts, func(c VersionCounts) bool { return c.Version == row.Version })
		if index < 0 {
			index = len(counts)
			counts = append(counts, VersionCounts{Version: row.Version})
		}
		counts[index].Attempts += row.Attempts()
		counts[index].Failures += row.Failures
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
		isSame := func(c RouteCounts) bool { return c.Version == row.Version && c.Route == row.Route }
		index := slices.IndexFunc(counts, isSame)
		if index < 0 {
			index = len(counts)
			counts = append(counts, RouteCounts{Version: row.Version, Route: row.Route})
		}
		counts[index].Attempts += row.Attempts()
		counts[index].Failures += row.Failures
	}
	slices.SortFunc(counts, func(a, b RouteCounts) int {
		return cmp.Or(strings.Compare(a.Version, b.Version), strings.Compare(a.Route, b.Route))
	})
	return counts
}
