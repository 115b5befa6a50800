package leafhttp

import (
	"net"
	"sync"
	"testing"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
)

// countingLeaf is a test leaf that counts its connections.
type countingLeaf struct {
	*httpleaf.Leaf
	listener *countingListener
}

func startCountingLeaf(t *testing.T, id string, answer func(httpleaf.Request) httpleaf.Answer) *countingLeaf {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counting := &countingListener{Listener: listener}
	leaf := httpleaf.Serve(counting, id, names, answer)
	t.Cleanup(leaf.Stop)
	return &countingLeaf{Leaf: leaf, listener: counting}
}

// Connections returns the number of connections that the leaf accepted and the number of them that were closed.
func (l *countingLeaf) Connections() (opened, closed int) {
	l.listener.mu.Lock()
	defer l.listener.mu.Unlock()
	return l.listener.opened, l.listener.closed
}

// countingListener counts accepted and closed connections.
type countingListener struct {
	net.Listener
	mu             sync.Mutex
	opened, closed int
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.opened++
	return &countedConn{Conn: conn, listener: l}, nil
}

// countedConn reports its first Close to its listener.
type countedConn struct {
	net.Conn
	listener *countingListener
	once     sync.Once
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.listener.mu.Lock()
		defer c.listener.mu.Unlock()
		c.listener.closed++
	})
	return err
}
