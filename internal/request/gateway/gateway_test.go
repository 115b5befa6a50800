package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

var dialect = httpnames.Default()

// silentEvents takes everything and remembers the records.
type silentEvents struct {
	mu      sync.Mutex
	records []RequestRecord
	passes  []GroupRecord
}

func (j *silentEvents) Refused(*Request, error)        {}
func (j *silentEvents) Attempted(string, scatter.Kind) {}
func (j *silentEvents) AttemptEnded(AttemptRecord)     {}
func (j *silentEvents) LeafLost(LeafLossRecord)        {}
func (j *silentEvents) Served(record RequestRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.records = append(j.records, record)
}

func (j *silentEvents) GroupEnded(record GroupRecord) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.passes = append(j.passes, record)
}

// passed gives the groups that were passed on so far.
func (j *silentEvents) passed() []GroupRecord {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.passes)
}

// scriptedLeafs answers attempts by a function of the leaf, in virtual time.
type scriptedLeafs struct {
	answer func(leaf string) (time.Duration, *leafhttp.Response, error)
	mu     sync.Mutex
	asked  []string
	warmed []string
}

func (s *scriptedLeafs) Start(target leafhttp.Target, _ *leafhttp.Request, _ time.Time, done leafhttp.Done) context.CancelCauseFunc {
	s.mu.Lock()
	s.asked = append(s.asked, target.LeafID)
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(context.Background())
	go func() {
		delay, response, err := s.answer(target.LeafID)
		select {
		case <-time.After(delay):
			done(response, err)
		case <-ctx.Done():
			done(nil, &leafhttp.BrokenAnswerError{Cause: context.Cause(ctx)})
		}
	}()
	return cancel
}

func (s *scriptedLeafs) MayOpenExtra(string) bool { return true }

// Check finds each leaf alive.
func (s *scriptedLeafs) Check(_ leafhttp.Target, _ bool, tell leafhttp.OnChecked) { go tell(false) }

func (s *scriptedLeafs) warmedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.warmed)
}

func (s *scriptedLeafs) Warm(targets []leafhttp.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.warmed = append(s.warmed, targets[0].LeafID)
}

func answered(status int, body string) *leafhttp.Response {
	return &leafhttp.Response{Status: status, Header: http.Header{dialect.ResponseStamp: {"stamp-" + body}}, Body: []byte(body)}
}

func refused(status int) *leafhttp.Response {
	return &leafhttp.Response{Status: status, Header: http.Header{}, NotExecuted: true}
}

func put(t *testing.T, known *catalog.Catalog, key string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	wrapped, err := catalog.NewDocument("", content, nil)
	if err != nil {
		t.Fatal(err)
	}
	entry := catalog.Entry{Key: key, Value: wrapped, Revision: known.Revision() + 1, Deleted: value == nil}
	known.Apply(catalog.Change{Entry: entry, Previous: known.Revision()})
}

// alone is a fleet of one node.
type alone struct{}

func (alone) Nodes() []catalog.NodeRecord     { return []catalog.NodeRecord{{ID: "n"}} }
func (alone) Gatherers() []catalog.NodeRecord { return []catalog.NodeRecord{{ID: "n"}} }
func (alone) IsGatherer() bool                { return true }

const shardCount = 10

// newGateway makes a gateway with a gathered, a repeatable and an at-most-once route, over
// services s0 to s9 of two leafs each.
func newGateway(t *testing.T, leafs LeafCaller) (*Gateway, *silentEvents) {
	t.Helper()
	known := catalog.New(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	known.EnableRollouts()
	var gathered []string
	for index := range shardCount {
		service := fmt.Sprintf("s%d", index)
		gathered = append(gathered, service)
		for _, replica := range []string{"a", "b"} {
			id := service + replica
			put(t, known, catalog.LeafKey(id), leafset.Record{Name: id, Service: service, Address: "127.0.0.1:1", State: leafset.Ready})
		}
	}
	route := routing.Route{Host: "h", MaximumAttempts: 2, TimeoutMillis: 1000, ObjectiveMillis: 200}
	pages, single, once := route, route, route
	pages.Prefix, pages.Gathered, pages.TopRecords, pages.MinimumCoverage, pages.Repeatability = "/pages/", gathered, 3, 0.8, routing.Repeatable
	single.Prefix, single.Service, single.Repeatability = "/single/", "s0", routing.Repeatable
	once.Prefix, once.Service, once.Repeatability = "/once/", "s0", routing.AtMostOnce
	put(t, known, catalog.RoutesKey, routing.Configuration{Version: 1, Routes: []routing.Route{pages, single, once}})
	events := &silentEvents{}
	budget := retrybudget.Config{Ratio: 1, Window: 10 * time.Second, Share: 1}
	return New(Deps{
		Config: DefaultConfig(), Dialect: dialect, Catalog: known, Memory: leafmemory.New(leafmemory.DefaultConfig(), known),
		Dealer:   connshare.New(connshare.DefaultConfig(), alone{}, catalog.NodeRecord{ID: "n"}),
		Balancer: balancer.New(balancer.DefaultConfig(), "z"), Budgets: retrybudget.New(budget, func(string) float64 { return 1 }),
		Leafs: leafs, Events: events,
	}), events
}

func ask(path string) *Request {
	return &Request{
		Leaf: leafhttp.Request{ID: "r", Method: http.MethodGet, Target: path, Host: "h"}, Path: path,
		Arrived: time.Now(), CallerTimeout: 800 * time.Millisecond,
	}
}

func records(texts ...string) string {
	var body bytes.Buffer
	for _, text := range texts {
		fmt.Fprintf(&body, "%-16s", text)
	}
	return body.String()
}

// A whole gathered answer has the greatest records of all parts and every signature once.
func TestGatheredAnswerIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(200, records(leaf, "0"+leaf)), nil
		}})
		answer, err := g.Serve(t.Context(), ask("/pages/1"))
		is.NoErr(err)
		is.Equal(len(answer.Stamps), shardCount)
		is.Equal(answer.Missing, 0)
		is.Equal(len(answer.Body), 3*recordBytes)
		is.Equal(string(answer.Body[:2]), "s9")
	})
}

// A dark shard costs the answer its part at the objective, not the answer.
func TestDarkShardIsLeftOutAtTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, events := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf[:2] == "s3" {
				return time.Hour, nil, nil
			}
			return time.Millisecond, answered(200, records(leaf)), nil
		}})
		started := time.Now()
		answer, err := g.Serve(t.Context(), ask("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
		is.Equal(len(answer.Stamps), shardCount-1)
		is.Equal(time.Since(started), 200*time.Millisecond-DefaultConfig().ObjectiveReserve)
		is.Equal(events.records[0].MissingServices[0].Service, "s3")
		is.True(events.records[0].InTime)
	})
}

// Below the least coverage there is no success; the failure says that leafs have run it.
func TestTooFewPartsAreAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf[1] < '3' {
				return time.Millisecond, answered(500, "failed"), nil
			}
			return 2 * time.Millisecond, answered(200, records(leaf)), nil
		}})
		_, err := g.Serve(t.Context(), ask("/pages/1"))
		is.True(failure.Is(err, failure.IncompleteCoverage))
		is.Equal(failure.From(err).Execution, failure.Ran)
	})
}

// An answer without signature, or with a failure's, is no part.
func TestUnsignedSuccessIsNoPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf[:2] == "s0" {
				return time.Millisecond, &leafhttp.Response{Status: 200, Header: http.Header{}}, nil
			}
			return time.Millisecond, answered(200, records(leaf)), nil
		}})
		answer, err := g.Serve(t.Context(), ask("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
		_, err = g.Serve(t.Context(), ask("/single/1"))
		is.True(err != nil)
		is.True(failure.From(err).Execution != failure.NotRun)
	})
}

// What a caller of one leaf is told, and how often leafs were asked. A leaf that ran a request and answers by a status by
// which callers are promised that it did not run is not passed on: they were told "not run" by 408, 429 and 503, and would
// have had the work done twice.
func TestSingleLeafOutcomes(t *testing.T) {
	broken := &leafhttp.BrokenAnswerError{Cause: errors.New("reset")}
	neverSent := &leafhttp.NeverSentError{Cause: errors.New("refused")}
	type reply struct {
		response *leafhttp.Response
		err      error
	}
	cases := map[string]struct {
		path    string
		replies []reply // in order of attempts; the last repeats
		status  int     // of the answer; 0 means a failure
		code    failure.Code
		state   failure.ExecutionState
		asked   int
	}{
		"success":                       {"/single/1", []reply{{answered(200, "x"), nil}}, 200, "", 0, 1},
		"own failure, then success":     {"/single/1", []reply{{answered(500, "x"), nil}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"own failures are passed on":    {"/single/1", []reply{{answered(500, "x"), nil}}, 500, "", 0, 2},
		"own 503 is no promise":         {"/single/1", []reply{{answered(503, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 2},
		"own 429 is no promise":         {"/single/1", []reply{{answered(429, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 2},
		"once: own 503 is no promise":   {"/once/1", []reply{{answered(503, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 1},
		"once: own 408 is no promise":   {"/once/1", []reply{{answered(408, "x"), nil}}, 0, failure.LeafFailed, failure.Ran, 1},
		"own 404 is final":              {"/single/1", []reply{{answered(404, "x"), nil}}, 404, "", 0, 1},
		"broken, then success":          {"/single/1", []reply{{nil, broken}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"broken twice":                  {"/single/1", []reply{{nil, broken}}, 0, failure.LeafFailed, failure.Unknown, 2},
		"once: success":                 {"/once/1", []reply{{answered(200, "x"), nil}}, 200, "", 0, 1},
		"once: broken is not repeated":  {"/once/1", []reply{{nil, broken}}, 0, failure.LeafFailed, failure.Unknown, 1},
		"once: own failure is final":    {"/once/1", []reply{{answered(500, "x"), nil}}, 500, "", 0, 1},
		"once: refused, then success":   {"/once/1", []reply{{refused(503), nil}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"once: not sent, then success":  {"/once/1", []reply{{nil, neverSent}, {answered(200, "y"), nil}}, 200, "", 0, 2},
		"once: refused by all is known": {"/once/1", []reply{{refused(503), nil}}, 0, failure.Overloaded, failure.NotRun, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				next := 0
				leafs := &scriptedLeafs{answer: func(string) (time.Duration, *leafhttp.Response, error) {
					reply := one.replies[min(next, len(one.replies)-1)]
					next++
					return time.Millisecond, reply.response, reply.err
				}}
				g, _ := newGateway(t, leafs)
				for range 3 { // earns the budget for a retry
					g.budgets.CountRequest("s0")
				}
				answer, err := g.Serve(t.Context(), ask(one.path))
				if one.status != 0 {
					is.NoErr(err)
					is.Equal(answer.Status, one.status)
				} else {
					is.Equal(failure.From(err).Code, one.code)
					is.Equal(failure.From(err).Execution, one.state)
					is.Equal(failure.From(err).RetryAfter > 0, one.state == failure.NotRun)
				}
				if one.asked > 0 {
					is.Equal(len(leafs.asked), one.asked)
				}
			})
		})
	}
}

func TestUnknownRouteAndNoRoutes(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	_, err := g.Serve(t.Context(), ask("/other/1"))
	is.True(failure.Is(err, failure.UnknownRoute))
	g.catalog = catalog.New(nil)
	_, err = g.Serve(t.Context(), ask("/pages/1"))
	is.True(failure.Is(err, failure.NotReady))
	is.True(failure.From(err).RetryAfter > 0)
}

// The request is given up at its timeout, whatever the caller would wait.
func TestTimeoutOfTheRouteHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil }})
		started := time.Now()
		request := ask("/single/1")
		request.CallerTimeout = time.Minute
		_, err := g.Serve(t.Context(), request)
		is.True(failure.Is(err, failure.DeadlineExceeded))
		is.Equal(time.Since(started), time.Second)
	})
}

// Time that a caller spent before is taken off the objective, once its usual patience is known.
func TestSpentPatienceShortensTheObjective(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	for range minimumSightings {
		_, err := g.routeRequest(ask("/pages/1"))
		is.NoErr(err)
	}
	late := ask("/pages/1")
	late.CallerTimeout -= 50 * time.Millisecond
	late.RoundTrip = 6 * time.Millisecond
	routed, err := g.routeRequest(late)
	is.NoErr(err)
	is.Equal(routed.objective.Sub(late.Arrived), 200*time.Millisecond-50*time.Millisecond-6*time.Millisecond-DefaultConfig().ObjectiveReserve)
	other := ask("/pages/1")
	other.CallerTimeout /= 2 // a caller with another patience, or one that lost the objective already
	routed, err = g.routeRequest(other)
	is.NoErr(err)
	is.Equal(routed.objective.Sub(other.Arrived), 200*time.Millisecond-DefaultConfig().ObjectiveReserve)
}

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := Config{HedgeReserve: 1, AnswerReserve: -1, ObjectiveReserve: -1, MaximumRefusals: -1}
	is.Equal(len(failure.Faults(bad.Validate())), 10)
}

// A node opens a connection for each gathered service before its first request, and none for
// others.
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
	is.Equal(leafs.warmed[shardCount], "new") // only what the new configuration gathers
	services := map[string]bool{}
	for _, id := range leafs.warmed[:shardCount] {
		services[id[:2]] = true
	}
	is.Equal(len(services), shardCount)
}
