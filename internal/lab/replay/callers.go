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

// call is a request that a caller sent, and what came of it.
type call struct {
	Service    string
	RequestID  string
	Node       string
	AtMostOnce bool
	Full       bool
	// Last is set if the caller did not repeat the search.
	Last   bool
	SentAt time.Time
	Took   time.Duration
	// Failure is set if there was no answer.
	Failure *failure.Failure
	// Faults is what is wrong with the answer.
	Faults   answerFaults
	Snapshot string
	Revision int64
	Complete bool
	Rows     int
	Extra    *searchv1.ExtraLoad
}

// callers sends the loads of a trace and records the calls; safe for concurrent use.
type callers struct {
	cluster *cluster
	indexes *indexCache
	clients map[string]searchv1connect.SearchServiceClient

	mutex sync.Mutex
	calls []call
	done  sync.WaitGroup
}

func newCallers(cluster *cluster, indexes *indexCache) *callers {
	made := &callers{cluster: cluster, indexes: indexes, clients: map[string]searchv1connect.SearchServiceClient{}}
	for id, node := range cluster.nodes {
		made.clients[id] = cli.SearchClient(node.callers)
	}
	return made
}

// clientGrace is how much longer than the deadline a caller waits.
const clientGrace = 2 * time.Second

// run sends searches at the rate of a load, whether or not earlier ones were answered.
func (c *callers) run(ctx context.Context, load *Load, seed uint64, until time.Time) {
	random := rand.New(rand.NewPCG(seed, 11))
	interval := time.Duration(float64(time.Second) / load.PerSecond)
	next := time.Now()
	for number := 0; next.Before(until); number++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(interval)
		request := c.request(load, random, fmt.Sprintf("%s-%d-%d", load.Service, seed, number))
		first := random.IntN(len(load.Nodes))
		c.done.Go(func() { c.search(ctx, load, request, first) })
	}
}

// filters are the texts that callers search for, by dataset; the empty one matches all rows.
var filters = map[sample.Dataset][]string{
	sample.Tiles:    {"", "", "coast/", "skagen", "vejle/0"},
	sample.Invoices: {"", "", "clancy", "funded\":true", "howth"},
}

// request returns a search of all keys, or of a range between two records.
func (c *callers) request(load *Load, random *rand.Rand, id string) *searchv1.SearchRequest {
	texts := filters[c.cluster.header.Dataset]
	request := &searchv1.SearchRequest{
		Service: load.Service, RequestId: id, DeadlineMillis: load.DeadlineMS, Limit: load.Limit, Filter: texts[random.IntN(len(texts))],
	}
	if random.IntN(2) == 0 {
		request.Range = c.indexes.randomRange(random)
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

// maximumSends bounds how often a caller sends a search.
const maximumSends = 4

// search sends a search, and repeats it at other nodes if the load says so.
func (c *callers) search(ctx context.Context, load *Load, request *searchv1.SearchRequest, first int) {
	id := request.GetRequestId()
	for send := range maximumSends {
		node := load.Nodes[(first+send)%len(load.Nodes)]
		if load.Follow && send > 0 {
			// A search that was refused as not run is repeated as a new request: only an id of its own shows whether the
			// refused one ran after all.
			request.RequestId = fmt.Sprintf("%s/%d", id, send)
		}
		made := c.send(ctx, load, request, node)
		again := made.Failure != nil && send+1 < maximumSends && ctx.Err() == nil &&
			(load.Repeat || (load.Follow && made.Failure.Execution == failure.NotRun))
		made.Last = !again
		c.record(made)
		if !again {
			return
		}
		time.Sleep(made.Failure.RetryAfter)
	}
}

func (c *callers) record(made call) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls = append(c.calls, made)
}

func (c *callers) send(ctx context.Context, load *Load, request *searchv1.SearchRequest, node string) call {
	wait := time.Duration(request.GetDeadlineMillis())*time.Millisecond + clientGrace
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	made := call{
		Service: load.Service, RequestID: request.GetRequestId(), Node: node, AtMostOnce: load.AtMostOnce, Full: load.Full, SentAt: time.Now(),
	}
	response, err := c.ask(ctx, load, request, node)
	made.Took = time.Since(made.SentAt)
	if err != nil {
		made.Failure = api.FailureOf(err)
		return made
	}
	report := response.GetReport()
	made.Faults = c.indexes.check(request, response)
	made.Snapshot = report.GetSnapshotId()
	made.Revision = report.GetConfigRevision()
	made.Complete = report.GetCoverage().GetComplete()
	made.Rows = len(response.GetRows())
	made.Extra = report.GetExtraLoad()
	return made
}

func (c *callers) ask(ctx context.Context, load *Load, request *searchv1.SearchRequest, node string) (*searchv1.SearchResponse, error) {
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
	whole := &searchv1.SearchResponse{}
	for stream.Receive() {
		whole.Rows = append(whole.Rows, stream.Msg().GetRows()...)
		whole.Report = stream.Msg().GetReport()
	}
	if err := stream.Err(); err != nil {
		return nil, err
	}
	if whole.Report == nil {
		return nil, failure.New(failure.Internal, failure.Unknown, "the stream ended without a report")
	}
	return whole, nil
}
