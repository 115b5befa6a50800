// Package bare is the baseline of the node-cost experiment: it serves the same searches with
// the same fan-out of calls to the first replica of each shard, and decides nothing.
package bare

import (
	"context"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/operator/api"
)

// Shard is a key range and the leaf that is asked for it.
type Shard struct {
	Keys    keyspace.Range
	Address string
}

// Server fans searches out over fixed shards.
type Server struct {
	searchv1connect.UnimplementedSearchServiceHandler
	shards  []Shard
	clients []leafv1.LeafServiceClient
}

// New connects to the leaf of each shard.
func New(shards []Shard) (*Server, error) {
	server := &Server{shards: shards}
	for _, shard := range shards {
		connection, err := grpc.NewClient("passthrough:///"+shard.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, err
		}
		server.clients = append(server.clients, leafv1.NewLeafServiceClient(connection))
	}
	return server, nil
}

// Search implements SearchServiceHandler.
func (s *Server) Search(ctx context.Context, request *connect.Request[searchv1.SearchRequest]) (*connect.Response[searchv1.SearchResponse], error) {
	responses := make([]*leafv1.SearchShardResponse, len(s.shards))
	var asked sync.WaitGroup
	for number, shard := range s.shards {
		asked.Go(func() {
			response, err := s.clients[number].SearchShard(ctx, &leafv1.SearchShardRequest{
				Identity: &leafv1.AttemptIdentity{RequestId: "bare", SnapshotId: "v1", ShardId: "s", Attempt: 1},
				Service:  request.Msg.GetService(), KeyFrom: shard.Keys.From, KeyTo: shard.Keys.To, Filter: request.Msg.GetFilter(),
				Limit: request.Msg.GetLimit(), TimeRemainingMicros: int64(request.Msg.GetDeadlineMillis()) * 1000,
			})
			if err == nil {
				responses[number] = response
			}
		})
	}
	asked.Wait()
	answer := &searchv1.SearchResponse{Report: &searchv1.Report{
		Coverage: &searchv1.Coverage{Complete: true, Fraction: 1}, ExtraLoad: &searchv1.ExtraLoad{Attempts: uint32(len(s.shards))},
	}}
	for _, response := range responses {
		for _, row := range response.GetRows() {
			if len(answer.Rows) < int(request.Msg.GetLimit()) {
				answer.Rows = append(answer.Rows, &searchv1.Row{Key: row.GetKey(), Value: row.GetValue()})
			}
		}
	}
	return connect.NewResponse(answer), nil
}

// Serve serves until the context ends.
func (s *Server) Serve(ctx context.Context, address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(searchv1connect.NewSearchServiceHandler(s))
	server := api.NewServer(mux)
	stop := context.AfterFunc(ctx, func() {
		if err := server.Close(); err != nil {
			return
		}
	})
	defer stop()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}
