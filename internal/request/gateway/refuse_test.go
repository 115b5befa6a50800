package gateway

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// A request that no leaf can serve is refused at once as not run, with a Retry-After that its caller follows; one with
// enough leafs is served.
func TestRequestWithoutLeafsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(200, records(leaf)), nil
		}}
		g, _ := newGateway(t, leafs)
		time.Sleep(time.Minute) // long after the start of the gateway
		lose := func(service int) {
			for _, replica := range []string{"a", "b"} {
				put(t, g.catalog, catalog.LeafKey(fmt.Sprintf("s%d%s", service, replica)), nil)
			}
			g.memory.IDs()
			time.Sleep(time.Minute)
		}
		for _, service := range []int{0, 1} {
			lose(service)
		}
		answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err) // 8 of 10 parts are required
		is.Equal(answer.Missing, 2)
		lose(2)
		for _, path := range []string{"/pages/1", "/single/1", "/once/1"} {
			before := len(leafs.queried)
			started := time.Now()
			request := newRequest(path)
			_, err = g.Serve(t.Context(), request)
			failed := failure.From(err)
			is.Equal(failed.Execution, failure.NotRun)
			is.Equal(failed.Code, failure.Overloaded)
			is.True(failed.RetryAfter > request.CallerTimeout/6 && failed.RetryAfter <= request.CallerTimeout/3)
			is.Equal(time.Since(started), time.Duration(0))
			is.Equal(len(leafs.queried), before)
		}
	})
}

// If no leaf can be reached, the Retry-After is short: another leaf is usually reachable by then, within the objective.
func TestUnreachableLeafsGetShortRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, nil, &leafhttp.NeverSentError{Cause: errors.New("refused")}
		}})
		_, err := g.Serve(t.Context(), newRequest("/once/1"))
		is.Equal(failure.From(err).Execution, failure.NotRun)
		is.Equal(failure.From(err).RetryAfter, DefaultConfig().RetryAfter)
	})
}

// A weighted service without leafs keeps its share: its requests are refused, and none goes to another service.
func TestWeightedServiceWithoutLeafsKeepsItsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(200, leaf), nil
		}}
		g, _ := newGateway(t, leafs)
		time.Sleep(time.Minute)
		put(t, g.catalog, catalog.RoutesKey, routing.Configuration{Version: 2, Routes: []routing.Route{{
			Host: "h", Prefix: "/split/", Repeatability: routing.Repeatable,
			Weighted: []routing.WeightedService{{Service: "s0", Weight: 3}, {Service: "gone", Weight: 1}},
		}}})
		refusals := 0
		for range 400 {
			_, err := g.Serve(t.Context(), newRequest("/split/1"))
			if err != nil {
				is.Equal(failure.From(err).Execution, failure.NotRun)
				refusals++
			}
		}
		is.True(refusals >= 99 && refusals <= 101)
	})
}
