package leafclient

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/stats"
)

// connectParams uses a short backoff, because a restarted leaf usually has the same address.
var connectParams = grpc.ConnectParams{
	Backoff: backoff.Config{
		BaseDelay:  50 * time.Millisecond,
		Multiplier: 1.6,
		Jitter:     0.2,
		MaxDelay:   2 * time.Second,
	},
	MinConnectTimeout: time.Second,
}

type sendRecordKey struct{}

// sendRecord records whether the headers of an attempt were passed to a connection. Before that, the leaf can't have
// received the attempt.
type sendRecord struct {
	headers atomic.Bool
}

// sendObserver is a stats handler that updates the sendRecord of each attempt.
type sendObserver struct{}

var _ stats.Handler = sendObserver{}

func (sendObserver) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sendObserver) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, isHeader := event.(*stats.OutHeader); !isHeader {
		return
	}
	if record, found := ctx.Value(sendRecordKey{}).(*sendRecord); found {
		record.headers.Store(true)
	}
}

func (sendObserver) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sendObserver) HandleConn(context.Context, stats.ConnStats) {}
