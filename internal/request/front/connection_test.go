package front

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loopback returns the accepted end of a connection.
func loopback(t *testing.T) net.Conn {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(dialled.Close()) })
	t.Cleanup(func() { is.NoErr(accepted.Close()) })
	return accepted
}

// The first request of a connection that was opened for it has cost one more round trip; the next one has not, nor has
// the first of a connection that was idle.
func TestConnectingCountsForTheFirstRequest(t *testing.T) {
	is := is.New(t)
	openedAt := time.Now()
	opened := &callerConnection{conn: loopback(t), openedAt: openedAt}
	trip, connecting := opened.networkTimes(openedAt)
	is.True(trip > 0)
	is.Equal(connecting, trip)
	_, connecting = opened.networkTimes(openedAt)
	is.Equal(connecting, time.Duration(0))

	idle := &callerConnection{conn: loopback(t), openedAt: openedAt}
	_, connecting = idle.networkTimes(openedAt.Add(time.Minute))
	is.Equal(connecting, time.Duration(0))
}
