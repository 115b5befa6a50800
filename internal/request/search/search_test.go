package search

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafclient"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/request/hedging"
)

// scriptedLeafs is a LeafCaller whose replies and delays are returned by a function, in virtual time.
type scriptedLeafs struct {
	mu      sync.Mutex
	queried []string
	answer  func(address string, request *leafv1.SearchShardRequest) (time.Duration, error)
	// hasExited is the result of HasExited.
	hasExited bool
}

func (s *scriptedLeafs) HasExited(context.Context, string) bool { return s.hasExited }

func (s *scriptedLeafs) SearchShard(ctx context.Context, address string, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	s.mu.Lock()
	s.queried = append(s.queried, address)
	s.mu.Unlock()
	wait, err := s.answer(address, request)
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, err
	}
	return &leafv1.SearchShardResponse{Identity: request.GetIdentity(), CoveredFrom: request.GetKeyFrom(), CoveredTo: request.GetKeyTo()}, nil
}

func refusal(request *leafv1.SearchShardRequest, reason leafv1.RefusalReason) error {
	return &leafclient.Refusal{Detail: &leafv1.LeafRefusal{Identity: request.GetIdentity(), Reason: reason}}
}

func put(t *testing.T, cat *catalog.Catalog, key string, message proto.Message) {
	t.Helper()
	value, err := catalog.NewEnvelope("change", message, nil)
	if err != nil {
		t.Fatal(err)
	}
	revision := cat.Revision()
	cat.Apply(catalog.Change{Entry: catalog.Entry{Key: key, Value: json.RawMessage(value), Revision: revision + 1}, Previous: revision})
}

// newTestEngine returns an engine with one service, which has two shards on three leafs.
func newTestEngine(t *testing.T, leafs *scriptedLeafs) (*Engine, *catalog.Catalog) {
	t.Helper()
	cat := catalog.New(nil)
	spec := &adminv1.ServiceSpec{Name: "s", DefaultDeadlineMillis: 500, MaxDeadlineMillis: 1000, ConcurrencyLimit: 100, QueueLimit: 10, PageSize: 100}
	for _, id := range []string{"a", "b", "c"} {
		spec.Leafs = append(spec.Leafs, &adminv1.Leaf{Id: id, Address: id, Zone: "z"})
	}
	put(t, cat, catalog.ServiceKey("s"), spec)
	publish(t, cat, "v1")
	engine := New(Deps{
		Config: DefaultConfig(), Hedging: hedging.DefaultConfig(), Catalog: cat, Balancer: balancer.New(balancer.DefaultConfig(), "z"),
		Leafs: leafs, Metrics: telemetry.NewMetrics(), Logger: zap.NewNop(),
	})
	engine.SetReady()
	return engine, cat
}

func publish(t *testing.T, cat *catalog.Catalog, snapshot string) {
	t.Helper()
	put(t, cat, catalog.ManifestKey("s"), &adminv1.SnapshotManifest{Service: "s", SnapshotId: snapshot, Shards: []*adminv1.Shard{
		{Id: "low", KeyTo: "m", LeafIds: []string{"a", "b"}}, {Id: "high", KeyFrom: "m", LeafIds: []string{"b", "c"}},
	}})
}

func atMostOnce(id string) *searchv1.SearchRequest {
	return &searchv1.SearchRequest{Service: "s", RequestId: id, Repeatability: searchv1.Repeatability_REPEATABILITY_AT_MOST_ONCE}
}

func TestExecutionStateOfFailures(t *testing.T) {
	reset := errors.New("connection reset")
	cases := map[string]struct {
		answer func(address string, request *leafv1.SearchShardRequest) (time.Duration, error)
		state  failure.ExecutionState
	}{
		"all refused": {func(_ string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			return 0, refusal(r, leafv1.RefusalReason_REFUSAL_REASON_SHEDDING)
		}, failure.NotRun},
		"never sent": {func(string, *leafv1.SearchShardRequest) (time.Duration, error) {
			return 0, &leafclient.NeverSentError{Cause: reset}
		}, failure.NotRun},
		"reset": {func(string, *leafv1.SearchShardRequest) (time.Duration, error) { return 0, reset }, failure.Unknown},
		"silent": {func(string, *leafv1.SearchShardRequest) (time.Duration, error) {
			return time.Hour, nil
		}, failure.Unknown},
		"refusal of another attempt": {func(_ string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			other := proto.CloneOf(r)
			other.Identity.Nonce++
			return 0, refusal(other, leafv1.RefusalReason_REFUSAL_REASON_SHEDDING)
		}, failure.Unknown},
		"ran before": {func(_ string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			return 0, refusal(r, leafv1.RefusalReason_REFUSAL_REASON_DUPLICATE_EXECUTION)
		}, failure.Ran},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				engine, _ := newTestEngine(t, &scriptedLeafs{answer: test.answer})
				_, err := engine.Search(t.Context(), atMostOnce("r1"))
				is.True(err != nil)
				is.Equal(failure.From(err).Execution, test.state)
			})
		})
	}
}

// Every node sends an at-most-once search with a caller's ID to the same replica of each shard and to no other,
// whatever the leafs answer.
func TestAtMostOnceStaysAtTheDesignatedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		reset := errors.New("connection reset")
		leafs := &scriptedLeafs{answer: func(string, *leafv1.SearchShardRequest) (time.Duration, error) { return 0, reset }}
		first, _ := newTestEngine(t, leafs)
		second, _ := newTestEngine(t, leafs)
		for _, engine := range []*Engine{first, second, first} {
			_, err := engine.Search(t.Context(), atMostOnce("same"))
			is.True(err != nil)
		}
		is.Equal(len(leafs.queried), 6) // each of three searches sent one attempt per shard
		distinct := map[string]bool{}
		for _, address := range leafs.queried {
			distinct[address] = true
		}
		is.True(len(distinct) <= 2)
	})
}

// An attempt of an at-most-once search with an ID of the node is retried at another replica if it was refused without
// running, but not if its outcome is unknown.
func TestAtMostOnceIsRetriedOnlyIfNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shedding := &scriptedLeafs{answer: func(address string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			if address == "b" {
				return 0, refusal(r, leafv1.RefusalReason_REFUSAL_REASON_SHEDDING)
			}
			return 0, nil
		}}
		engine, _ := newTestEngine(t, shedding)
		response, err := engine.Search(t.Context(), atMostOnce(""))
		is.NoErr(err)
		is.True(response.GetReport().GetCoverage().GetComplete())

		lossy := &scriptedLeafs{answer: func(address string, _ *leafv1.SearchShardRequest) (time.Duration, error) {
			return 0, errors.New("connection reset")
		}}
		engine, _ = newTestEngine(t, lossy)
		_, err = engine.Search(t.Context(), atMostOnce(""))
		is.True(err != nil)
		is.Equal(len(lossy.queried), 2)
	})
}

// If the leafs dropped the pinned snapshot, the whole search is replanned on a newer one.
func TestSnapshotGoneReplansQuery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var engine *Engine
		var cat *catalog.Catalog
		leafs := &scriptedLeafs{answer: func(_ string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			if r.GetIdentity().GetSnapshotId() == "v1" {
				return time.Millisecond, refusal(r, leafv1.RefusalReason_REFUSAL_REASON_SNAPSHOT_GONE)
			}
			return 0, nil
		}}
		engine, cat = newTestEngine(t, leafs)
		go publish(t, cat, "v2")
		response, err := engine.Search(t.Context(), &searchv1.SearchRequest{Service: "s"})
		is.NoErr(err)
		is.Equal(response.GetReport().GetSnapshotId(), "v2")
		is.True(response.GetReport().GetCoverage().GetComplete())
	})
}

// A search whose first plan ran at a leaf, and whose service is deleted before it is replanned, fails with the
// execution state of the whole search.
func TestFailedReplanKeepsExecutionState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := &scriptedLeafs{answer: func(_ string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			if r.GetIdentity().GetShardId() == "low" {
				return time.Millisecond, nil // the attempt runs
			}
			return 2 * time.Millisecond, refusal(r, leafv1.RefusalReason_REFUSAL_REASON_SNAPSHOT_GONE)
		}}
		engine, cat := newTestEngine(t, leafs)
		go func() {
			time.Sleep(1500 * time.Microsecond) // after one shard's reply and before the other's refusal
			publish(t, cat, "v2")
			deleted := catalog.Entry{Key: catalog.ServiceKey("s"), Revision: cat.Revision() + 1, Deleted: true}
			cat.Apply(catalog.Change{Entry: deleted, Previous: cat.Revision()})
		}()
		_, err := engine.Search(t.Context(), &searchv1.SearchRequest{Service: "s"})
		is.True(failure.Is(err, failure.UnknownService))
		is.Equal(failure.From(err).Execution, failure.Ran)
	})
}

// A search with an unresponsive shard ends by its deadline.
func TestSearchEndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, _ := newTestEngine(t, &scriptedLeafs{answer: func(address string, _ *leafv1.SearchShardRequest) (time.Duration, error) {
			if address == "c" {
				return 0, nil
			}
			return time.Hour, nil
		}})
		began := time.Now()
		response, err := engine.Search(t.Context(), &searchv1.SearchRequest{Service: "s", DeadlineMillis: 100})
		is.True(time.Since(began) <= 100*time.Millisecond)
		if err == nil {
			is.True(!response.GetReport().GetCoverage().GetComplete())
			is.Equal(response.GetReport().GetCoverage().GetMissing()[0].GetReason(), string(missingDeadline))
		}
	})
}

// Slow attempts are hedged, and the number of hedges stays within the budget.
func TestHedgesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := &scriptedLeafs{answer: func(_ string, r *leafv1.SearchShardRequest) (time.Duration, error) {
			if r.GetIdentity().GetNonce()%100 == 0 {
				return 300 * time.Millisecond, nil
			}
			return time.Millisecond, nil
		}}
		engine, _ := newTestEngine(t, leafs)
		hedges, attempts := uint32(0), uint32(0)
		const queries = 4000
		for range queries {
			response, err := engine.Search(t.Context(), &searchv1.SearchRequest{Service: "s"})
			is.NoErr(err)
			hedges += response.GetReport().GetExtraLoad().GetHedges()
			attempts += response.GetReport().GetExtraLoad().GetAttempts()
		}
		is.True(hedges > 0)
		burst := uint32(hedging.DefaultConfig().Burst)
		is.True(hedges <= burst+2*queries*hedging.DefaultHedgePerMille/1000)
		is.Equal(attempts, 2*queries+hedges)
	})
}

func TestDrainRefusesNewSearchesAndWaitsForThoseInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		engine, _ := newTestEngine(t, &scriptedLeafs{answer: func(string, *leafv1.SearchShardRequest) (time.Duration, error) {
			return 400 * time.Millisecond, nil
		}})
		release, err := engine.Acquire()
		is.NoErr(err)
		drained := make(chan error, 1)
		began := time.Now()
		go func() { drained <- engine.Drain(t.Context()) }()
		synctest.Wait()
		_, err = engine.Acquire()
		is.True(failure.Is(err, failure.Draining))
		is.Equal(failure.From(err).Execution, failure.NotRun)
		is.True(failure.From(err).RetryAfter > 0)
		_, err = engine.Search(t.Context(), &searchv1.SearchRequest{Service: "s"})
		is.NoErr(err) // the search in flight is answered
		release()
		is.NoErr(<-drained)
		is.Equal(time.Since(began), 400*time.Millisecond)
	})
}

func TestInvalidRequestsNameTheField(t *testing.T) {
	long := make([]byte, 5000)
	cases := map[string]struct {
		request *searchv1.SearchRequest
		field   string
	}{
		"request id":         {&searchv1.SearchRequest{Service: "s", RequestId: string(long[:200])}, "request_id"},
		"filter":             {&searchv1.SearchRequest{Service: "s", Filter: string(long)}, "filter"},
		"not UTF-8":          {&searchv1.SearchRequest{Service: "s", Filter: "\xff"}, "filter"},
		"key":                {&searchv1.SearchRequest{Service: "s", Range: &searchv1.KeyRange{From: string(long)}}, "range.from"},
		"empty range":        {&searchv1.SearchRequest{Service: "s", Range: &searchv1.KeyRange{From: "b", To: "a"}}, "range.to"},
		"limit":              {&searchv1.SearchRequest{Service: "s", Limit: 101}, "limit"},
		"deadline too long":  {&searchv1.SearchRequest{Service: "s", DeadlineMillis: 30 * 24 * 3600 * 1000}, "deadline_millis"},
		"deadline too short": {&searchv1.SearchRequest{Service: "s", DeadlineMillis: 1}, "deadline_millis"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			leafs := &scriptedLeafs{}
			engine, _ := newTestEngine(t, leafs)
			_, err := engine.Search(t.Context(), test.request)
			is.True(failure.Is(err, failure.InvalidField))
			is.Equal(failure.From(err).Field, test.field)
			is.Equal(failure.From(err).Execution, failure.NotRun)
			is.Equal(len(leafs.queried), 0)
		})
	}
}

func TestUnknownServiceAndSnapshot(t *testing.T) {
	is := is.New(t)
	engine, cat := newTestEngine(t, &scriptedLeafs{})
	_, err := engine.Search(t.Context(), &searchv1.SearchRequest{Service: "none"})
	is.True(failure.Is(err, failure.UnknownService))
	put(t, cat, catalog.ServiceKey("bare"), &adminv1.ServiceSpec{Name: "bare"})
	_, err = engine.Search(t.Context(), &searchv1.SearchRequest{Service: "bare"})
	is.True(failure.Is(err, failure.NoSnapshot))
}
