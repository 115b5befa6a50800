package front

import (
	"errors"
	"net"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// callerListener accepts callers' connections as callerSockets.
type callerListener struct {
	net.Listener
	memory *memorybudget.Budget
}

// Accept implements net.Listener. A connection that isn't TCP is returned as it is.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := conn.(*net.TCPConn)
	if !isTCP {
		return conn, nil
	}
	return newCallerSocket(tcp, l.memory), nil
}

// callerSocket is a caller's connection. What it reads until the server has a request belongs to the head, whose memory it
// reserves until the request has been answered. The server uses it from one goroutine at a time.
type callerSocket struct {
	*net.TCPConn
	account *memorybudget.Account
	heads   *memorybudget.HeadReader
	head    memorybudget.Reservation
}

func newCallerSocket(conn *net.TCPConn, memory *memorybudget.Budget) *callerSocket {
	account := memory.OpenHost(memorybudget.Caller, conn.RemoteAddr().String())
	socket := &callerSocket{TCPConn: conn, account: account, heads: memorybudget.NewHeadReader(conn), head: account.Reserve()}
	socket.awaitRequest()
	return socket
}

// headSlackBytes is how much more than hardHeaderLimit the socket reads of a head, so that net/http refuses it first.
const headSlackBytes = 64 << 10

// awaitRequest releases the memory of the last request's head and begins the next one.
func (s *callerSocket) awaitRequest() {
	s.head.Release()
	// A head without bytes always fits.
	_ = s.heads.Begin(nil, hardHeaderLimit+headSlackBytes, &s.head)
}

// ended releases the memory of the connection.
func (s *callerSocket) ended() {
	s.head.Release()
	s.account.Close()
}

// Read implements net.Conn. A head that doesn't fit ends the connection without an answer, since it hasn't been read: the
// server answers only errors that are not of the network.
func (s *callerSocket) Read(buffer []byte) (int, error) {
	n, err := s.heads.Read(buffer)
	var exceeded *memorybudget.ExceededError
	if errors.As(err, &exceeded) {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: s.LocalAddr(), Addr: s.RemoteAddr(), Err: err}
	}
	return n, err
}
