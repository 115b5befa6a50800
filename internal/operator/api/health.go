package api

import (
	"context"

	"connectrpc.com/connect"
	"connectrpc.com/grpchealth"

	"github.com/portgauge/portgauge/internal/request/search"
)

// healthChecker answers gRPC health checks with the readiness of the search engine.
type healthChecker struct {
	engine  *search.Engine
	service string
}

var _ grpchealth.Checker = (*healthChecker)(nil)

func (h *healthChecker) Check(_ context.Context, request *grpchealth.CheckRequest) (*grpchealth.CheckResponse, error) {
	if request.Service != "" && request.Service != h.service {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	if !h.engine.Ready() {
		return &grpchealth.CheckResponse{Status: grpchealth.StatusNotServing}, nil
	}
	return &grpchealth.CheckResponse{Status: grpchealth.StatusServing}, nil
}
