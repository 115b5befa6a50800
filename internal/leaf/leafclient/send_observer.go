package leafclient

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/stats"
)

// connectParameters reconnect to a lost leaf soon, since its replacement uses the same address.
var connectParameters = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  50 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   2 * time.Second,
	},
	MinConnectTimeout: time.Second,
}

type sendRecordKey struct{}

// sendRecord records whether the headers of an attempt were handed to a connection. Before
// that, the leaf can't have got the attempt.
type sendRecord struct {
	headers atomic.Bool
}

// sendObserver sets the sendRecord of each attempt by the events of the gRPC library.
type sendObserver struct{}

var _ stats.Handler = sendObserver{}

// TagRPC implements stats.Handler.
func (sendObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sendObserver) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, isHeader := event.(*stats.OutHeader); !isHeader {
		return
	}
	if record, found := ctx.Value(sendRecordKey{}).(*sendRecord); found {
		record.headers.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sendObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sendObserver) HandleConn(context.Context, stats.ConnStats) {}
