package ownplatform

import (
	"context"

	"google.golang.org/grpc/stats"
)

// Meter is called with the size in bytes of each message sent to or received from the platform.
type Meter func(sent, received int)

// byteCounter reports the size of each message on a connection to a Meter.
type byteCounter struct {
	meter Meter
}

var _ stats.Handler = byteCounter{}

func (byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC reports the size of each payload on the wire to the meter.
func (c byteCounter) HandleRPC(_ context.Context, event stats.RPCStats) {
	switch payload := event.(type) {
	case *stats.OutPayload:
		c.meter(payload.WireLength, 0)
	case *stats.InPayload:
		c.meter(0, payload.WireLength)
	}
}

func (byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (byteCounter) HandleConn(context.Context, stats.ConnStats) {}
