package gateway

import (
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/leafhttp"
	"github.com/portgauge/portgauge/internal/leafset"
)

// Attempts that are made later than the first go by the leafs as they are then: one that drains or whose
// zone was evacuated meanwhile gets nothing, one that came meanwhile is asked.
func TestLaterAttemptsGoByTheLeafsOfTheirMoment(t *testing.T) {
	changes := map[string]func(t *testing.T, g *Gateway){
		"drained": func(t *testing.T, g *Gateway) {
			for _, id := range []string{"s0a", "s0b"} {
				put(t, g.catalog, catalog.LeafKey(id), leafset.Record{ID: id, Service: "s0", Address: "127.0.0.1:1", State: leafset.Draining})
			}
		},
		"evacuated": func(t *testing.T, g *Gateway) { put(t, g.catalog, catalog.EvacuationKey(""), struct{}{}) },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var changed atomic.Bool
				leafs := &scriptedLeafs{}
				leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
					if changed.Load() {
						return time.Millisecond, answered(200, leaf), nil
					}
					return 100 * time.Millisecond, nil, &leafhttp.NeverSentError{Cause: errors.New("the leaf can't be reached")}
				}
				g, _ := newGateway(t, leafs)
				go func() {
					time.Sleep(50 * time.Millisecond)
					put(t, g.catalog, catalog.LeafKey("s0c"), leafset.Record{ID: "s0c", Service: "s0", Zone: "west", Address: "127.0.0.1:1", State: leafset.Ready})
					change(t, g)
					changed.Store(true)
				}()
				answer, err := g.Serve(t.Context(), ask("/single/1"))
				is.NoErr(err)
				is.Equal(string(answer.Body), "s0c")
				asked := leafs.asked[slices.IndexFunc(leafs.asked, func(id string) bool { return strings.HasSuffix(id, "c") }):]
				is.Equal(asked, []string{"s0c"})
			})
		})
	}
}
