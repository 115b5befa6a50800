package api

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	healthv1 "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/request/hedging"
	"github.com/portgauge/portgauge/internal/request/search"
)

// threeRows is a leaf client whose leafs hold three rows: a, m and z.
type threeRows struct{}

func (threeRows) HasExited(context.Context, string) bool { return false }

func (threeRows) SearchShard(_ context.Context, _ string, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	response := &leafv1.SearchShardResponse{Identity: request.GetIdentity(), CoveredFrom: request.GetKeyFrom(), CoveredTo: request.GetKeyTo()}
	for _, key := range []string{"a", "m", "z"} {
		if key >= request.GetKeyFrom() && (request.GetKeyTo() == "" || key < request.GetKeyTo()) && strings.Contains(key, request.GetFilter()) {
			response.Rows = append(response.Rows, &leafv1.Row{Key: key, Value: []byte("v")})
		}
	}
	return response, nil
}

// newTestEngine returns an engine that searches the service "s", which has two shards on one leaf. It isn't ready yet.
func newTestEngine(t *testing.T) *search.Engine {
	t.Helper()
	cat := catalog.New(nil)
	apply(t, cat, catalog.ServiceKey("s"), &adminv1.ServiceSpec{
		Name: "s", DefaultDeadlineMillis: 1000, MaxDeadlineMillis: 2000, ConcurrencyLimit: 10, PageSize: 10, Leafs: []*adminv1.Leaf{{Id: "l", Address: "l", Zone: "z"}},
	})
	apply(t, cat, catalog.ManifestKey("s"), &adminv1.SnapshotManifest{Service: "s", SnapshotId: "v1", Shards: []*adminv1.Shard{
		{Id: "1", KeyTo: "m", LeafIds: []string{"l"}}, {Id: "2", KeyFrom: "m", LeafIds: []string{"l"}},
	}})
	return search.New(search.Deps{
		Config: search.DefaultConfig(), Hedging: hedging.DefaultConfig(), Catalog: cat, Balancer: balancer.New(balancer.DefaultConfig(), "z"),
		Leafs: threeRows{}, Metrics: telemetry.NewMetrics(), Logger: zap.NewNop(),
	})
}

func serve(t *testing.T, ready bool) string {
	t.Helper()
	engine := newTestEngine(t)
	if ready {
		engine.SetReady()
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(NewCallerHandler(CallerDeps{Engine: engine}))
	go Serve(server, listener, zap.NewNop())
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
	})
	return listener.Addr().String()
}

func apply(t *testing.T, cat *catalog.Catalog, key string, message proto.Message) {
	t.Helper()
	value, err := catalog.NewEnvelope("change", message, nil)
	if err != nil {
		t.Fatal(err)
	}
	revision := cat.Revision()
	cat.Apply(catalog.Change{Entry: catalog.Entry{Key: key, Value: value, Revision: revision + 1}, Previous: revision})
}

func postJSON(t *testing.T, address, body string) (int, http.Header, []byte) {
	t.Helper()
	response, err := http.Post("http://"+address+"/portgauge.search.v1.SearchService/Search", "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header, content
}

// gRPC, JSON over HTTP and streamed answers must have the same rows.
func TestAllProtocolsReturnSameRows(t *testing.T) {
	is := is.New(t)
	address := serve(t, true)
	request := &searchv1.SearchRequest{Service: "s"}
	connection, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer func() { is.NoErr(connection.Close()) }()
	overGRPC, err := searchv1.NewSearchServiceClient(connection).Search(t.Context(), request)
	is.NoErr(err)
	is.Equal(keysOf(overGRPC.GetRows()), "a m z")

	code, _, content := postJSON(t, address, `{"service":"s"}`)
	is.Equal(code, http.StatusOK)
	var overJSON searchv1.SearchResponse
	is.NoErr(protojson.Unmarshal(content, &overJSON))
	is.Equal(keysOf(overJSON.GetRows()), "a m z")
	is.True(overJSON.GetReport().GetCoverage().GetComplete())

	stream, err := searchv1connect.NewSearchServiceClient(http.DefaultClient, "http://"+address, connect.WithGRPCWeb()).StreamSearch(t.Context(), connect.NewRequest(request))
	is.NoErr(err)
	var streamed []*searchv1.Row
	for stream.Receive() {
		streamed = append(streamed, stream.Msg().GetRows()...)
	}
	is.NoErr(stream.Err())
	is.Equal(keysOf(streamed), "a m z")

	health, err := healthv1.NewHealthClient(connection).Check(t.Context(), &healthv1.HealthCheckRequest{})
	is.NoErr(err)
	is.Equal(health.GetStatus(), healthv1.HealthCheckResponse_SERVING)
}

func keysOf(rows []*searchv1.Row) string {
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.GetKey())
	}
	return strings.Join(keys, " ")
}

func TestInvalidInputOverHTTP(t *testing.T) {
	address := serve(t, true)
	cases := map[string]struct {
		body  string
		code  int
		field string
	}{
		"unknown service":     {`{"service":"none"}`, http.StatusNotFound, ""},
		"deadline of a month": {`{"service":"s","deadlineMillis":2592000000}`, http.StatusBadRequest, "deadline_millis"},
		"empty range":         {`{"service":"s","range":{"from":"z","to":"a"}}`, http.StatusBadRequest, "range.to"},
		"truncated body":      {`{"service":"s`, http.StatusBadRequest, ""},
		"unknown field":       {`{"service":"s","nonsense":1}`, http.StatusOK, ""},
		"oversized body":      {`{"service":"s","filter":"` + strings.Repeat("x", maximumSearchBytes) + `"}`, http.StatusTooManyRequests, ""},
		"long filter":         {`{"service":"s","filter":"` + strings.Repeat("x", 2000) + `"}`, http.StatusBadRequest, "filter"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, content := postJSON(t, address, test.body)
			is.Equal(code, test.code)
			if test.field != "" {
				is.True(bytes.Contains(content, []byte(`"field":"`+test.field+`"`)))
				is.True(bytes.Contains(content, []byte(`NOT_RUN`)))
			}
		})
	}
	is := is.New(t)
	code, _, _ := postJSON(t, address, `{"service":"s"}`)
	is.Equal(code, http.StatusOK) // the node still answers
}

// A client that sends its body slowly must not delay other clients.
func TestSlowClientDoesNotDelayOthers(t *testing.T) {
	is := is.New(t)
	address := serve(t, true)
	slow, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { is.NoErr(slow.Close()) }()
	_, err = fmt.Fprintf(slow, "POST /portgauge.search.v1.SearchService/Search HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{")
	is.NoErr(err)
	code, _, _ := postJSON(t, address, `{"service":"s"}`)
	is.Equal(code, http.StatusOK)
}

func TestUnreadyNodeReturnsRetryAfter(t *testing.T) {
	is := is.New(t)
	address := serve(t, false)
	code, header, content := postJSON(t, address, `{"service":"s"}`)
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(header.Get(retryAfterHeader), "1")
	var body struct {
		Details []struct{ Type string } `json:"details"`
	}
	is.NoErr(json.Unmarshal(content, &body))
	is.Equal(body.Details[0].Type, "portgauge.search.v1.FailureDetail")
	is.Equal(body.Details[1].Type, "google.rpc.RetryInfo")

	_, err := searchv1connect.NewSearchServiceClient(http.DefaultClient, "http://"+address).Search(t.Context(), connect.NewRequest(&searchv1.SearchRequest{Service: "s"}))
	failed := FailureOf(err)
	is.Equal(failed.Code, failure.NotReady)
	is.Equal(failed.Execution, failure.NotRun)
	is.Equal(failed.RetryAfter, time.Second)
}

func TestFailureOfTransportErrors(t *testing.T) {
	is := is.New(t)
	is.Equal(FailureOf(errors.New("anything")).Execution, failure.Unknown)
	is.Equal(FailureOf(status.Error(14, "lost")).Execution, failure.Unknown)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = searchv1connect.NewSearchServiceClient(http.DefaultClient, "http://"+address).Search(t.Context(), connect.NewRequest(&searchv1.SearchRequest{}))
	is.Equal(FailureOf(err).Code, failure.Unreachable)
	is.Equal(FailureOf(err).Execution, failure.NotRun)
}
