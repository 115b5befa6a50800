package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// A complete gathered answer has the greatest records of all parts, and each signature once.
func TestGatheredAnswerHasAllParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(200, records(leaf, "0"+leaf)), nil
		}})
		answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err)
		is.Equal(len(answer.Stamps), shardCount)
		is.Equal(answer.Missing, 0)
		is.Equal(len(answer.Body), 3*recordBytes)
		is.Equal(string(answer.Body[:2]), "s9")
	})
}

// At the objective, the answer is sent without the part of a shard that does not answer.
func TestUnresponsiveShardIsOmittedAtObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, events := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf[:2] == "s3" {
				return time.Hour, nil, nil
			}
			return time.Millisecond, answered(200, records(leaf)), nil
		}})
		started := time.Now()
		answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
		is.Equal(len(answer.Stamps), shardCount-1)
		is.Equal(time.Since(started), 200*time.Millisecond-DefaultConfig().ObjectiveReserve)
		is.Equal(events.records[0].MissingServices[0].Service, "s3")
		is.True(events.records[0].InTime)
	})
}

// With too few parts the request fails, and the failure says that leafs ran it.
func TestTooFewPartsFailTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf[1] < '3' {
				return time.Millisecond, answered(500, "failed"), nil
			}
			return 2 * time.Millisecond, answered(200, records(leaf)), nil
		}})
		_, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.IncompleteCoverage))
		is.Equal(failure.From(err).Execution, failure.Ran)
	})
}

// A success without a signature is not used as a part.
func TestUnsignedSuccessIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf[:2] == "s0" {
				return time.Millisecond, &leafhttp.Response{Status: 200, Header: http.Header{}}, nil
			}
			return time.Millisecond, answered(200, records(leaf)), nil
		}})
		answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
		_, err = g.Serve(t.Context(), newRequest("/single/1"))
		is.True(err != nil)
		is.True(failure.From(err).Execution != failure.NotRun)
	})
}

// Checks the answer to a single request and the number of attempts. A leaf's own 408, 429 or 503 is not passed on:
// callers take it as the promise that the request did not run, and would send it again.
func TestSingleRequestOutcomes(t *testing.T) {
	broken := &leafhttp.BrokenAnswerError{Cause: errors.New("reset")}
	neverSent := &leafhttp.NeverSentError{Cause: errors.New("refused")}
	type reply struct {
		response *leafhttp.Response
		err      error
	}
	cases := map[string]struct {
		path    string
		replies []reply // by attempt; the last one repeats
		status  int     // of the answer; 0 if the request fails
		code    failure.Code
		state   failure.ExecutionState
		queried int
	}{
		"success":                             {"/single/1", []reply{{answered(200, "x"), nil}}, 200, "", 0, 1},
		"own failure, then success":           {"/single/1", []reply{{answered(500, "x"), nil}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"own failures are passed on":          {"/single/1", []reply{{answered(500, "x"), nil}}, 500, "", 0, 2},
		"own 503 does not mean not run":       {"/single/1", []reply{{answered(503, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 2},
		"own 429 does not mean not run":       {"/single/1", []reply{{answered(429, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 2},
		"once: own 503 does not mean not run": {"/once/1", []reply{{answered(503, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 1},
		"once: own 408 does not mean not run": {"/once/1", []reply{{answered(408, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 1},
		"own 404 is final":                    {"/single/1", []reply{{answered(404, "x"), nil}}, 404, "", 0, 1},
		"broken, then success":                {"/single/1", []reply{{nil, broken}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"broken twice":                        {"/single/1", []reply{{nil, broken}}, 0, failure.LeafFailed, failure.Unknown, 2},
		"once: success":                       {"/once/1", []reply{{answered(200, "x"), nil}}, 200, "", 0, 1},
		"once: broken is not repeated":        {"/once/1", []reply{{nil, broken}}, 0, failure.LeafFailed, failure.Unknown, 1},
		"once: own failure is final":          {"/once/1", []reply{{answered(500, "x"), nil}}, 500, "", 0, 1},
		"once: refused, then success":         {"/once/1", []reply{{refused(503), nil}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"once: not sent, then success":        {"/once/1", []reply{{nil, neverSent}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"once: refused by all is not run":     {"/once/1", []reply{{refused(503), nil}}, 0, failure.Overloaded, failure.NotRun, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				next := 0
				leafs := &scriptedLeafs{answer: func(string) (time.Duration, *leafhttp.Response, error) {
					reply := c.replies[min(next, len(c.replies)-1)]
					next++
					return time.Millisecond, reply.response, reply.err
				}}
				g, _ := newGateway(t, leafs)
				for range 3 { // earn the budget for a retry
					g.budgets.CountRequest("s0")
				}
				answer, err := g.Serve(t.Context(), newRequest(c.path))
				if c.status != 0 {
					is.NoErr(err)
					is.Equal(answer.Status, c.status)
				} else {
					is.Equal(failure.From(err).Code, c.code)
					is.Equal(failure.From(err).Execution, c.state)
					is.Equal(failure.From(err).RetryAfter > 0, c.state == failure.NotRun)
				}
				if c.queried > 0 {
					is.Equal(len(leafs.queried), c.queried)
				}
			})
		})
	}
}

func TestUnknownRouteAndNoRoutes(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	_, err := g.Serve(t.Context(), newRequest("/other/1"))
	is.True(failure.Is(err, failure.UnknownRoute))
	g.catalog = catalog.New(nil)
	_, err = g.Serve(t.Context(), newRequest("/pages/1"))
	is.True(failure.Is(err, failure.NotReady))
	is.True(failure.From(err).RetryAfter > 0)
}

// The request times out at the timeout of its route, even if the caller waits longer.
func TestRouteTimeoutIsEnforced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil }})
		started := time.Now()
		request := newRequest("/single/1")
		request.CallerTimeout = time.Minute
		_, err := g.Serve(t.Context(), request)
		is.True(failure.Is(err, failure.DeadlineExceeded))
		is.Equal(time.Since(started), time.Second)
	})
}

// The time that a caller has spent before is subtracted from the objective, once the route's longest timeout is known.
func TestTimeSpentByCallerShortensObjective(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	for range minimumObservations {
		_, err := g.routeRequest(newRequest("/pages/1"))
		is.NoErr(err)
	}
	late := newRequest("/pages/1")
	late.CallerTimeout -= 50 * time.Millisecond
	late.RoundTrip = 6 * time.Millisecond
	routed, err := g.routeRequest(late)
	is.NoErr(err)
	is.Equal(routed.objective.Sub(late.Arrived), 200*time.Millisecond-50*time.Millisecond-6*time.Millisecond-DefaultConfig().ObjectiveReserve)
	other := newRequest("/pages/1")
	other.CallerTimeout /= 2 // the caller has another timeout, or has already lost the objective
	routed, err = g.routeRequest(other)
	is.NoErr(err)
	is.Equal(routed.objective.Sub(other.Arrived), 200*time.Millisecond-DefaultConfig().ObjectiveReserve)
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := Config{HedgeReserve: 1, AnswerReserve: -1, ObjectiveReserve: -1, MaximumRefusals: -1}
	is.Equal(len(failure.Faults(bad.Validate())), 10)
}

// A node opens a connection for each gathered service before its first request, and none for other services.
func TestGatheredServicesAreWarmed(t *testing.T) {
	is := is.New(t)
	leafs := &scriptedLeafs{}
	g, _ := newGateway(t, leafs)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		g.KeepWarm(ctx)
		close(ended)
	}()
	for leafs.warmedCount() < shardCount {
		time.Sleep(time.Millisecond)
	}
	put(t, g.catalog, catalog.LeafKey("new"), leafset.Record{Name: "new", Service: "new", Address: "127.0.0.1:1", State: leafset.Ready})
	put(t, g.catalog, catalog.RoutesKey, routing.Configuration{Version: 2, Routes: []routing.Route{{
		Host: "h", Prefix: "/pages/", Gathered: []string{"new"}, TopRecords: 1, Repeatability: routing.Repeatable,
	}}})
	for leafs.warmedCount() < shardCount+1 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	is.Equal(leafs.warmed[shardCount], "new") // only services of the new configuration are warmed again
	services := map[string]bool{}
	for _, id := range leafs.warmed[:shardCount] {
		services[id[:2]] = true
	}
	is.Equal(len(services), shardCount)
}
