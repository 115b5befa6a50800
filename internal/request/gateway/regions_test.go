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

// newRegionTree starts a node in each zone, with a route that allows the given regions, or all regions if there are
// none.
func newRegionTree(t *testing.T, regions ...string) *tree {
	t.Helper()
	tr := newTree(t, near("n1"), far("f1"), catalog.NodeRecord{ID: "r1", Zone: zoneFarther})
	var gathered []string
	for index := range shardCount {
		gathered = append(gathered, fmt.Sprintf("s%d", index))
	}
	for _, node := range tr.nodes {
		tr.putRoutes(node, 2, gathered, regions...)
	}
	return tr
}

// A route that allows one region uses only leafs in that region, even if they fail. Nodes in other regions read a
// request only if its caller sent it to them.
func TestRouteStaysInItsRegions(t *testing.T) {
	for _, root := range []string{"n1", "f1", "r1"} {
		t.Run("received by "+root, func(t *testing.T) {
			is := is.New(t)
			tr := newRegionTree(t, regionWest)
			tr.requireComplete(tr.serve(root))
			for _, node := range tr.nodes {
				node.leafs.setAnswer(func(leaf string) (time.Duration, *leafhttp.Response, error) {
					return 0, nil, &leafhttp.BrokenAnswerError{Cause: errUnresponsive}
				})
			}
			_, err := tr.serve(root)
			is.True(err != nil)
			for id := range tr.nodes {
				for _, leaf := range tr.attempts.by(id) {
					is.True(!strings.HasSuffix(leaf, zoneFarther)) // the only leafs in the southern region
				}
			}
			if root != "r1" {
				is.Equal(len(tr.attempts.by("r1")), 0)
				for _, record := range tr.nodes[root].events.groupRecords() {
					is.True(record.Intermediate != "r1")
				}
			}
		})
	}
}

// A request is refused at once if too few services have leafs in its regions.
func TestRouteWithoutLeafsInItsRegionsIsRefused(t *testing.T) {
	is := is.New(t)
	tr := newRegionTree(t, regionSouth)
	_, err := tr.serve("n1")
	is.Equal(failure.From(err).Execution, failure.NotRun)
	is.True(failure.From(err).RetryAfter > 0)
	for id := range tr.nodes {
		is.Equal(len(tr.attempts.by(id)), 0)
	}
}

// A route without regions uses leafs in all regions.
func TestRouteWithoutRegionsIsServedEverywhere(t *testing.T) {
	tr := newRegionTree(t)
	tr.requireComplete(tr.serve("n1"))
	tr.requireComplete(tr.serve("r1"))
}
