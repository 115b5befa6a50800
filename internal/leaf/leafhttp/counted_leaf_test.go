package leafhttp

import (
	"net"
	"sync"
	"testing"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
)

// countedLeaf is a stand-in leaf that counts its connections.
type countedLeaf struct {
	*httpleaf.Leaf
	listener *countingListener
}

func startCountedLeaf(t *testing.T, id string, answer func(httpleaf.Request) httpleaf.Answer) *countedLeaf {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	leaf := httpleaf.Serve(counting, id, names, answer)
	t.Cleanup(leaf.Stop)
	return &countedLeaf{Leaf: leaf, listener: counting}
}

// Connections returns how many connections the leaf accepted, and how many of them it closed.
func (l *countedLeaf) Connections() (opened, closed int) {
	l.listener.mutex.Lock()
	defer l.listener.mutex.Unlock()
	return l.listener.opened, l.listener.closed
}

// countingListener counts the connections that it accepts and those that are closed.
type countingListener struct {
	net.Listener
	mutex          sync.Mutex
	opened, closed int
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.opened++
	return &countedConn{Conn: conn, listener: l}, nil
}

// countedConn reports its first Close to its listener.
type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.mutex.Lock()
		defer c.listener.mutex.Unlock()
		c.listener.closed++
	})
	return err
}
