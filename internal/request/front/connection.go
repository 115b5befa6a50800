package front

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/roundtrip"
)

// roundTrip returns a high estimate of a connection's round-trip time, since an underestimate makes answers late; 0 if
// it is unknown.
func roundTrip(connection net.Conn) time.Duration {
	if socket, isSocket := connection.(*callerSocket); isSocket {
		connection = socket.TCPConn
	}
	return roundtrip.Of(connection).High()
}

// callerConnection is a connection that a caller opened.
type callerConnection struct {
	conn     net.Conn
	openedAt time.Time
	// isUsed is true once a request has arrived on the connection.
	isUsed atomic.Bool
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

// withConnection adds a connection to the context of its requests; it is the server's ConnContext hook.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, &callerConnection{conn: connection, openedAt: time.Now()})
}

// reserve returns an empty reservation for a request.
func (c *callerConnection) reserve() memorybudget.Reservation {
	if socket, isSocket := c.conn.(*callerSocket); isSocket {
		return socket.account.Reserve()
	}
	return memorybudget.Reservation{}
}

// networkTimes returns the round-trip time to the caller and the connect time that this request cost it. The connect
// time is one round trip if the request is the first on the connection and arrived within a round trip of its opening,
// 0 otherwise.
func (c *callerConnection) networkTimes(arrived time.Time) (rtt, connecting time.Duration) {
	rtt = roundTrip(c.conn)
	isFirst := !c.isUsed.Swap(true)
	if isFirst && arrived.Sub(c.openedAt) <= rtt {
		connecting = rtt
	}
	return rtt, connecting
}
