package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/request/roundtrip"
)

// roundTrip gives the time that the ways to a caller and back mostly take at most, since an answer that is
// late by a little has lost most of its worth; 0 when it is not known.
func roundTrip(connection net.Conn) time.Duration { return roundtrip.Of(connection).High() }

// caller is a connection of a caller.
type caller struct {
	connection net.Conn
	openedAt   time.Time
	// used says that a request came on it before.
	used atomic.Bool
}

// callerKey finds a request's connection in its context.
type callerKey struct{}

// withCaller is the server's ConnContext hook.
func withCaller(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &caller{connection: connection, openedAt: time.Now()})
}

// ways gives the time to the caller and back, and what the caller spent on opening the connection for the
// request that arrived: one such time if it is the first and came at once, 0 if the connection was there.
func (c *caller) ways(arrived time.Time) (trip, connecting time.Duration) {
	trip = roundTrip(c.connection)
	isFirst := !c.used.Swap(true)
	if isFirst && arrived.Sub(c.openedAt) <= trip {
		connecting = trip
	}
	return trip, connecting
}
