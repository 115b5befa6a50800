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

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Later attempts use the leafs listed when they start: a draining leaf or one in an evacuated zone is not queried, a
// new leaf is.
func TestLaterAttemptsUseCurrentLeafs(t *testing.T) {
	changes := map[string]func(t *testing.T, g *Gateway){
		"drained": func(t *testing.T, g *Gateway) {
			for _, id := range []string{"s0a", "s0b"} {
				put(t, g.catalog, catalog.LeafKey(id), leafset.Record{Name: id, Service: "s0", Address: "127.0.0.1:1", State: leafset.Draining})
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
					return 100 * time.Millisecond, nil, &leafhttp.NeverSentError{Cause: errors.New("the leaf cannot be reached")}
				}
				g, _ := newGateway(t, leafs)
				go func() {
					time.Sleep(50 * time.Millisecond)
					put(t, g.catalog, catalog.LeafKey("s0c"), leafset.Record{Name: "s0c", Service: "s0", Zone: "west", Address: "127.0.0.1:1", State: leafset.Ready})
					change(t, g)
					changed.Store(true)
				}()
				answer, err := g.Serve(t.Context(), newRequest("/single/1"))
				is.NoErr(err)
				is.Equal(string(answer.Body), "s0c")
				queried := leafs.queried[slices.IndexFunc(leafs.queried, func(id string) bool { return strings.HasSuffix(id, "c") }):]
				is.Equal(queried, []string{"s0c"})
			})
		})
	}
}

// Requests beyond the rate of a cold leaf go to another leaf.
func TestRequestsBeyondColdRateGoToAnotherLeaf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(200, leaf), nil
		}}
		g, _ := newGateway(t, leafs)
		g.warmup = warmup.New(warmup.DefaultConfig(), g.catalog, registeredFleet{}, catalog.NodeRecord{ID: "n"})
		put(t, g.catalog, catalog.LeafKey("s0a"), leafset.Record{
			Name: "s0a", Service: "s0", Address: "127.0.0.1:1", State: leafset.Ready, WarmupMillis: 60_000,
		})
		put(t, g.catalog, catalog.RoutesKey, routing.Configuration{Version: 2, Routes: []routing.Route{{
			Host: "h", Prefix: "/single/", Service: "s0", Repeatability: routing.Repeatable,
		}}, Services: []routing.Service{{Name: "s0", ColdRequestsPerSecond: 4}}})
		for range 20 {
			answer, err := g.Serve(t.Context(), newRequest("/single/1"))
			is.NoErr(err)
			is.Equal(string(answer.Body), "s0b") // no token for s0a is due within 20 ms
		}
	})
}
