package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
)

// If most shards have too many requests queued, a request is refused at once as not run, with a Retry-After. If only a
// few have, it is served.
func TestOverloadOfMostShardsIsRefusedAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		busy    int // shards with long queues
		refused bool
	}{"most": {shardCount, true}, "a few": {3, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
					return time.Millisecond, answered(200, records(leaf)), nil
				}}
				g, _ := newGateway(t, leafs)
				for range 100 {
					g.latencies.get(gatheredKind+"200 0", time.Second).observe(20 * time.Millisecond)
				}
				for index := range c.busy {
					for _, replica := range []string{"a", "b"} {
						chosen := g.balancer.Choose([]balancer.Candidate{{LeafID: fmt.Sprintf("s%d%s", index, replica)}}, nil)
						g.balancer.ReportLoad(chosen.Leaf, balancer.Load{InFlight: 40, Slots: 2})
					}
				}
				started := time.Now()
				_, err := g.Serve(t.Context(), newRequest("/pages/1"))
				if !c.refused {
					is.NoErr(err)
					return
				}
				is.True(failure.Is(err, failure.Overloaded))
				is.Equal(failure.From(err).Execution, failure.NotRun)
				is.True(failure.From(err).RetryAfter > 0)
				is.Equal(time.Since(started), time.Duration(0))
				is.Equal(len(leafs.queried), 0)
				time.Sleep(2 * time.Second) // until the load reports have expired
				_, err = g.Serve(t.Context(), newRequest("/pages/1"))
				is.NoErr(err)
			})
		})
	}
}
