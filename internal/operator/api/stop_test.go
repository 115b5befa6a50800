package api

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/httpdrain"
	"github.com/portgauge/portgauge/internal/request/search"
)

const stopTimeout = 30 * time.Second

// testNode is the search engine and the caller server of a node.
type testNode struct {
	engine  *search.Engine
	server  *httpdrain.Server
	address string
}

func startTestNode(t *testing.T) *testNode {
	t.Helper()
	engine := newTestEngine(t)
	engine.SetReady()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	// A long quiet period keeps connections open for callers that are delayed on a busy machine.
	drainConfig := httpdrain.Config{QuietPeriod: stopTimeout, DrainTimeout: stopTimeout}
	server := newServer(NewCallerHandler(CallerDeps{Engine: engine}), drainConfig)
	go Serve(server, listener, zap.NewNop())
	return &testNode{engine: engine, server: server, address: listener.Addr().String()}
}

// stop performs a planned stop: it announces the stop, drains searches and shuts down the server.
func (n *testNode) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	n.engine.PrepareStop()
	time.Sleep(200 * time.Millisecond)
	if err := n.engine.Drain(ctx); err != nil {
		t.Error(err)
	}
	if err := n.server.Shutdown(ctx); err != nil {
		t.Error(err)
	}
}

// clientConstructors maps HTTP versions to functions that return a client with its own connection pool.
var clientConstructors = map[string]func(address string) searchv1connect.SearchServiceClient{
	"HTTP/1.1": func(address string) searchv1connect.SearchServiceClient {
		return searchv1connect.NewSearchServiceClient(&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, "http://"+address)
	},
	"HTTP/2": func(address string) searchv1connect.SearchServiceClient {
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		return searchv1connect.NewSearchServiceClient(&http.Client{Transport: &http.Transport{Protocols: protocols}}, "http://"+address, connect.WithGRPC())
	},
}

// Guards against searches that get no response during a planned stop, which leaves the caller unable to tell whether they ran.
func TestPlannedStopDropsNoSearch(t *testing.T) {
	const rounds = 5
	for name, newClient := range clientConstructors {
		for _, streamed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, streamed %t", name, streamed), func(t *testing.T) {
				is := is.New(t)
				var counts searchCounts
				for range rounds {
					node := startTestNode(t)
					wait := counts.startCallers(newClient(node.address), streamed)
					time.Sleep(50 * time.Millisecond)
					node.stop(t)
					wait()
				}
				t.Logf("%d of %d searches dropped", counts.dropped.Load(), counts.sent.Load())
				is.Equal(counts.dropped.Load(), int64(0))
			})
		}
	}
}

// searchCounts counts the searches that were sent, and those of them that failed and may have run.
type searchCounts struct {
	sent, dropped atomic.Int64
}

// startCallers starts callers that search until the node is unreachable, and returns a function that waits for them.
func (c *searchCounts) startCallers(client searchv1connect.SearchServiceClient, streamed bool) (wait func()) {
	const callers = 16
	var running sync.WaitGroup
	for range callers {
		running.Go(func() {
			for c.search(client, streamed) {
				time.Sleep(rand.N(10 * time.Millisecond))
			}
		})
	}
	return running.Wait
}

// search runs and counts one search, and reports whether the node was reachable.
func (c *searchCounts) search(client searchv1connect.SearchServiceClient, streamed bool) bool {
	searchFailure := runSearch(client, streamed)
	c.sent.Add(1)
	if searchFailure == nil {
		return true
	}
	if searchFailure.Execution != failure.NotRun {
		c.dropped.Add(1)
	}
	return searchFailure.Code != failure.Unreachable
}

// Guards against closing an open connection without a response to a search that arrives during a shutdown, and against
// keeping the connection open after the response.
func TestSearchDuringShutdownIsRefused(t *testing.T) {
	is := is.New(t)
	node := startTestNode(t)
	client := &http.Client{Transport: &http.Transport{}}
	post := func() *http.Response {
		response, err := client.Post("http://"+node.address+"/portgauge.search.v1.SearchService/Search", "application/json", strings.NewReader(`{"service":"s"}`))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response
	}
	is.True(!post().Close)
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	is.NoErr(node.engine.Drain(ctx))
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- node.server.Shutdown(ctx) }()
	for isListening(node.address) {
		time.Sleep(time.Millisecond)
	}
	refused := post()
	is.Equal(refused.StatusCode, http.StatusServiceUnavailable)
	is.True(refused.Header.Get("Retry-After") != "")
	is.True(refused.Close)
	is.NoErr(<-shutdownErr)
}

// isListening reports whether a TCP connection to the address succeeds.
func isListening(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// runSearch runs a search and returns its failure, or nil if it succeeded.
func runSearch(client searchv1connect.SearchServiceClient, streamed bool) *failure.Failure {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request := connect.NewRequest(&searchv1.SearchRequest{Service: "s"})
	var err error
	if streamed {
		var stream *connect.ServerStreamForClient[searchv1.StreamSearchResponse]
		if stream, err = client.StreamSearch(ctx, request); err == nil {
			for stream.Receive() {
			}
			err = stream.Err()
		}
	} else {
		_, err = client.Search(ctx, request)
	}
	if err == nil {
		return nil
	}
	return FailureOf(err)
}
