package api

import (
	"context"

	"connectrpc.com/connect"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/gen/portgauge/search/v1/searchv1connect"
	"github.com/portgauge/portgauge/internal/request/search"
)

// streamChunkRows is the maximum number of rows in a streamed chunk.
const streamChunkRows = 256

type searchHandler struct {
	engine *search.Engine
}

var _ searchv1connect.SearchServiceHandler = (*searchHandler)(nil)

// Search implements SearchServiceHandler.
func (h *searchHandler) Search(ctx context.Context, request *connect.Request[searchv1.SearchRequest]) (*connect.Response[searchv1.SearchResponse], error) {
	release, err := h.engine.Acquire()
	if err != nil {
		return nil, toRPC(err)
	}
	defer release()
	response, err := h.engine.Search(ctx, request.Msg)
	if err != nil {
		return nil, toRPC(err)
	}
	return connect.NewResponse(response), nil
}

// StreamSearch implements SearchServiceHandler.
func (h *searchHandler) StreamSearch(ctx context.Context, request *connect.Request[searchv1.SearchRequest], stream *connect.ServerStream[searchv1.StreamSearchResponse]) error {
	release, err := h.engine.Acquire()
	if err != nil {
		return toRPC(err)
	}
	defer release()
	response, err := h.engine.Search(ctx, request.Msg)
	if err != nil {
		return toRPC(err)
	}
	rows := response.GetRows()
	for len(rows) > streamChunkRows {
		if err := stream.Send(&searchv1.StreamSearchResponse{Rows: rows[:streamChunkRows]}); err != nil {
			return err
		}
		rows = rows[streamChunkRows:]
	}
	return stream.Send(&searchv1.StreamSearchResponse{Rows: rows, Report: response.GetReport()})
}
