package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/request/roundtrip"
)

// roundTrip returns a high estimate of the round-trip time of a connection, since a low one would make answers late; 0 if
// it is not known.
func roundTrip(connection net.Conn) time.Duration { return roundtrip.Of(connection).High() }

// callerConnection is a connection that a caller opened.
type callerConnection struct {
	conn     net.Conn
	openedAt time.Time
	// used reports whether a request has arrived on it.
	used atomic.Bool
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection is the server's ConnContext hook.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &callerConnection{conn: connection, openedAt: time.Now()})
}

// networkTimes returns the round-trip time to the caller, and what the caller spent on opening the connection for the
// request that arrived: one round trip if it is the first and arrived within one, 0 if the connection was there before.
func (c *callerConnection) networkTimes(arrived time.Time) (trip, connecting time.Duration) {
	trip = roundTrip(c.conn)
	isFirst := !c.used.Swap(true)
	if isFirst && arrived.Sub(c.openedAt) <= trip {
		connecting = trip
	}
	return trip, connecting
}
