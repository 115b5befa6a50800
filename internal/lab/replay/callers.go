package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// callRecord is a request that a caller sent, and its result.
type callRecord struct {
	Service    string
	RequestID  string
	Node       string
	AtMostOnce bool
	Full       bool
	// Last is set if the caller did not send the search again.
	Last   bool
	SentAt time.Time
	Took   time.Duration
	// Failure is nil if the request was answered.
	Failure  *failure.Failure
	Faults   answerFaults
	Snapshot string
	Revision int64
	Complete bool
	Rows     int
	Extra    *searchv1.ExtraLoad
}

// callers sends the loads of a trace and records the calls. It is safe for concurrent use.
type callers struct {
	cluster *cluster
	indexes *indexCache
	clients map[string]searchv1connect.SearchServiceClient

	mu    sync.Mutex
	calls []callRecord
	done  sync.WaitGroup
}

func newCallers(cluster *cluster, indexes *indexCache) *callers {
	created := &callers{cluster: cluster, indexes: indexes, clients: map[string]searchv1connect.SearchServiceClient{}}
	for id, node := range cluster.nodes {
		created.clients[id] = cli.SearchClient(node.callersAddress)
	}
	return created
}

// clientGrace is the time that a caller waits after the deadline.
const clientGrace = 2 * time.Second

// run sends searches at the rate of a load. It doesn't wait for the answers to earlier searches.
func (c *callers) run(ctx context.Context, load *Load, seed uint64, until time.Time) {
	rng := rand.New(rand.NewPCG(seed, 11))
	interval := time.Duration(float64(time.Second) / load.PerSecond)
	next := time.Now()
	for number := 0; next.Before(until); number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(interval)
		request := c.request(load, rng, fmt.Sprintf("%s-%d-%d", load.Service, seed, number))
		first := rng.IntN(len(load.Nodes))
		c.done.Go(func() { c.search(ctx, load, request, first) })
	}
}

// filters are the filters of searches, by dataset. The empty filter matches all rows.
var filters = map[sample.Dataset][]string{
	sample.Tiles:    {"", "", "coast/", "skagen", "vejle/0"},
	sample.Invoices: {"", "", "clancy", "funded\":true", "howth"},
}

// request returns a search over all keys, or over the range between two random records.
func (c *callers) request(load *Load, rng *rand.Rand, id string) *searchv1.SearchRequest {
	candidates := filters[c.cluster.header.Dataset]
	request := &searchv1.SearchRequest{
		Service: load.Service, RequestId: id, DeadlineMillis: load.DeadlineMS, Limit: load.Limit, Filter: candidates[rng.IntN(len(candidates))],
	}
	if rng.IntN(2) == 0 {
		request.Range = c.indexes.randomRange(rng)
	}
	if load.Unnamed {
		request.RequestId = ""
	}
	if load.AtMostOnce {
		request.Repeatability = searchv1.Repeatability_REPEATABILITY_AT_MOST_ONCE
	}
	if load.Full {
		request.CoverageDemand = searchv1.CoverageDemand_COVERAGE_DEMAND_FULL
	}
	return request
}

// maxSends limits how many times a caller sends a search.
const maxSends = 4

// search sends a search. It retries the search at other nodes if the load has Repeat or Follow set.
func (c *callers) search(ctx context.Context, load *Load, request *searchv1.SearchRequest, first int) {
	id := request.GetRequestId()
	for send := range maxSends {
		node := load.Nodes[(first+send)%len(load.Nodes)]
		if load.Follow && send > 0 {
			// A search that was refused as not run is retried as a new request. Its own ID is needed to detect that the refused
			// request ran.
			request.RequestId = fmt.Sprintf("%s/%d", id, send)
		}
		call := c.send(ctx, load, request, node)
		willRepeat := call.Failure != nil && send+1 < maxSends && ctx.Err() == nil &&
			(load.Repeat || (load.Follow && call.Failure.Execution == failure.NotRun))
		call.Last = !willRepeat
		c.record(call)
		if !willRepeat {
			return
		}
		time.Sleep(call.Failure.RetryAfter)
	}
}

func (c *callers) record(call callRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

func (c *callers) send(ctx context.Context, load *Load, request *searchv1.SearchRequest, node string) callRecord {
	wait := time.Duration(request.GetDeadlineMillis())*time.Millisecond + clientGrace
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	call := callRecord{
		Service: load.Service, RequestID: request.GetRequestId(), Node: node, AtMostOnce: load.AtMostOnce, Full: load.Full, SentAt: time.Now(),
	}
	response, err := c.query(ctx, load, request, node)
	call.Took = time.Since(call.SentAt)
	if err != nil {
		call.Failure = api.FailureOf(err)
		return call
	}
	report := response.GetReport()
	call.Faults = c.indexes.check(request, response)
	call.Snapshot = report.GetSnapshotId()
	call.Revision = report.GetConfigRevision()
	call.Complete = report.GetCoverage().GetComplete()
	call.Rows = len(response.GetRows())
	call.Extra = report.GetExtraLoad()
	return call
}

func (c *callers) query(ctx context.Context, load *Load, request *searchv1.SearchRequest, node string) (*searchv1.SearchResponse, error) {
	if !load.Stream {
		response, err := c.clients[node].Search(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	}
	stream, err := c.clients[node].StreamSearch(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	merged := &searchv1.SearchResponse{}
	for stream.Receive() {
		merged.Rows = append(merged.Rows, stream.Msg().GetRows()...)
		merged.Report = stream.Msg().GetReport()
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	if merged.Report == nil {
		return nil, failure.New(failure.Internal, failure.Unknown, "the stream ended without a report")
	}
	return merged, nil
}
