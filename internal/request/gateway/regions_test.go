package gateway

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
)

// newRegionTree starts a node in each zone; the route allows some regions.
func newRegionTree(t *testing.T, regions ...string) *tree {
	t.Helper()
	built := newTree(t, near("n1"), far("f1"), catalog.NodeRecord{ID: "r1", Zone: zoneFarther})
	var gathered []string
	for index := range shardCount {
		gathered = append(gathered, fmt.Sprintf("s%d", index))
	}
	for _, node := range built.nodes {
		built.putRoutes(node, 2, gathered, regions...)
	}
	return built
}

// A route that allows one region is served by its leafs only, even if those fail; a node elsewhere reads a request only if
// its caller sent it there.
func TestRouteIsKeptToItsRegions(t *testing.T) {
	for _, root := range []string{"n1", "f1", "r1"} {
		t.Run("taken by "+root, func(t *testing.T) {
			is := is.New(t)
			built := newRegionTree(t, regionWest)
			built.requireWhole(built.ask(root))
			for _, node := range built.nodes {
				node.leafs.setAnswer(func(leaf string) (time.Duration, *leafhttp.Response, error) {
					return 0, nil, &leafhttp.BrokenAnswerError{Cause: errSilent}
				})
			}
			_, err := built.ask(root)
			is.True(err != nil)
			for id := range built.nodes {
				for _, leaf := range built.seen.by(id) {
					is.True(!strings.HasSuffix(leaf, zoneFarther)) // the only leafs in the south
				}
			}
			if root != "r1" {
				is.Equal(len(built.seen.by("r1")), 0)
				for _, pass := range built.nodes[root].events.groupRecords() {
					is.True(pass.Intermediate != "r1")
				}
			}
		})
	}
}

// A request is refused at once if its regions have leafs of too few services.
func TestRouteWithoutLeafsInItsRegionsIsRefused(t *testing.T) {
	is := is.New(t)
	built := newRegionTree(t, regionSouth)
	_, err := built.ask("n1")
	is.Equal(failure.From(err).Execution, failure.NotRun)
	is.True(failure.From(err).RetryAfter > 0)
	for id := range built.nodes {
		is.Equal(len(built.seen.by(id)), 0)
	}
}

// A route without regions is served everywhere.
func TestRouteWithoutRegionsIsServedEverywhere(t *testing.T) {
	built := newRegionTree(t)
	built.requireWhole(built.ask("n1"))
	built.requireWhole(built.ask("r1"))
}
