package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
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

var names = httpnames.Default()

// recordedEvents is an EventLog that keeps the records of requests and groups.
type recordedEvents struct {
	mu      sync.Mutex
	records []RequestRecord
	groups  []GroupRecord
}

func (r *recordedEvents) Refused(*Request, error)        {}
func (r *recordedEvents) Attempted(string, scatter.Kind) {}
func (r *recordedEvents) AttemptEnded(AttemptRecord)     {}
func (r *recordedEvents) LeafChecked(LeafCheckRecord)    {}
func (r *recordedEvents) Served(record RequestRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, record)
}

func (r *recordedEvents) GroupEnded(record GroupRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups = append(r.groups, record)
}

// groupRecords returns the records of the groups that have ended.
func (r *recordedEvents) groupRecords() []GroupRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.groups)
}

// scriptedLeafs is a LeafCaller whose leafs answer as a function says, after a delay.
type scriptedLeafs struct {
	answer  func(leaf string) (time.Duration, *leafhttp.Response, error)
	mu      sync.Mutex
	queried []string
	warmed  []string
}

func (s *scriptedLeafs) Start(target leafhttp.Target, _ *leafhttp.Request, _ time.Time, done leafhttp.Done) context.CancelCauseFunc {
	s.mu.Lock()
	s.queried = append(s.queried, target.LeafID)
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

// Check reports that the leaf's process is alive.
func (s *scriptedLeafs) Check(_ leafhttp.Target, _ bool, done leafhttp.OnChecked) { go done(false) }

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
	return &leafhttp.Response{Status: status, Header: http.Header{names.ResponseStamp: {"stamp-" + body}}, Body: []byte(body)}
}

func refused(status int) *leafhttp.Response {
	return &leafhttp.Response{Status: status, Header: http.Header{}, NotExecuted: true}
}

func put(t *testing.T, cat *catalog.Catalog, key string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	document, err := catalog.NewDocument("", content, nil)
	if err != nil {
		t.Fatal(err)
	}
	entry := catalog.Entry{Key: key, Value: document, Revision: cat.Revision() + 1, Deleted: value == nil}
	cat.Apply(catalog.Change{Entry: entry, Previous: cat.Revision()})
}

type singleNodeFleet struct{}

func (singleNodeFleet) Nodes() []catalog.NodeRecord     { return []catalog.NodeRecord{{ID: "n"}} }
func (singleNodeFleet) Gatherers() []catalog.NodeRecord { return []catalog.NodeRecord{{ID: "n"}} }
func (singleNodeFleet) IsGatherer() bool                { return true }

// registeredFleet is a fleet of one registered node.
type registeredFleet struct{ singleNodeFleet }

func (registeredFleet) IsRegistered() bool { return true }

const shardCount = 10

// newGateway returns a gateway with a gathered, a repeatable and an at-most-once route, over the services s0 to s9 with
// two leafs each.
func newGateway(t *testing.T, leafs LeafCaller) (*Gateway, *recordedEvents) {
	t.Helper()
	cat := catalog.New(func(key string, err error) { t.Errorf("%s: %v", key, err) })
	cat.EnableRollouts()
	var gathered []string
	for index := range shardCount {
		service := fmt.Sprintf("s%d", index)
		gathered = append(gathered, service)
		for _, replica := range []string{"a", "b"} {
			id := service + replica
			put(t, cat, catalog.LeafKey(id), leafset.Record{Name: id, Service: service, Address: "127.0.0.1:1", State: leafset.Ready})
		}
	}
	route := routing.Route{Host: "h", MaximumAttempts: 2, TimeoutMillis: 1000, ObjectiveMillis: 200}
	pages, single, once := route, route, route
	pages.Prefix, pages.Gathered, pages.TopRecords, pages.MinimumCoverage, pages.Repeatability = "/pages/", gathered, 3, 0.8, routing.Repeatable
	single.Prefix, single.Service, single.Repeatability = "/single/", "s0", routing.Repeatable
	once.Prefix, once.Service, once.Repeatability = "/once/", "s0", routing.AtMostOnce
	put(t, cat, catalog.RoutesKey, routing.Configuration{Version: 1, Routes: []routing.Route{pages, single, once}})
	events := &recordedEvents{}
	budget := retrybudget.Config{Ratio: 1, Window: 10 * time.Second, UsedFraction: 1}
	return New(Deps{
		Config: DefaultConfig(), Names: names, Catalog: cat, Memory: leafmemory.New(leafmemory.DefaultConfig(), cat),
		Allocator: connshare.New(connshare.DefaultConfig(), singleNodeFleet{}, catalog.NodeRecord{ID: "n"}),
		Balancer:  balancer.New(balancer.DefaultConfig(), "z"), Budgets: retrybudget.New(budget, func(string) float64 { return 1 }),
		Leafs: leafs, Events: events,
	}), events
}

func newRequest(path string) *Request {
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
