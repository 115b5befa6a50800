package front

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// loopback returns the server's end of a loopback connection.
func loopback(t *testing.T) net.Conn {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	accepted, err := listener.Accept()
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(dialed.Close()) })
	t.Cleanup(func() { is.NoErr(accepted.Close()) })
	return accepted
}

// The connect time is one round trip for the first request on a new connection, and 0 for later requests and for the
// first request on a connection that was idle.
func TestConnectTimeCountsForTheFirstRequest(t *testing.T) {
	is := is.New(t)
	openedAt := time.Now()
	opened := &callerConnection{conn: loopback(t), openedAt: openedAt}
	rtt, connecting := opened.networkTimes(openedAt)
	is.True(rtt > 0)
	is.Equal(connecting, rtt)
	_, connecting = opened.networkTimes(openedAt)
	is.Equal(connecting, time.Duration(0))

	idle := &callerConnection{conn: loopback(t), openedAt: openedAt}
	_, connecting = idle.networkTimes(openedAt.Add(time.Minute))
	is.Equal(connecting, time.Duration(0))
}
