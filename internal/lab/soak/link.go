package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Condition determines what a link does with the bytes that it receives.
type Condition int

// The conditions of a link.
const (
	// Healthy forwards all bytes.
	Healthy Condition = iota
	// Delayed forwards bytes after linkDelay.
	Delayed
	// Silent forwards nothing and keeps connections open.
	Silent
	// OneWay forwards bytes from the connecting side only.
	OneWay
	// Resetting resets open and new connections.
	Resetting
)

// Delay of a Delayed link, interval at which a blocked link checks its condition, and size of a link's buffers.
const (
	linkDelay       = 150 * time.Millisecond
	linkInterval    = 5 * time.Millisecond
	linkBufferBytes = 32 << 10
)

// Link is a TCP proxy on the loopback interface whose condition can be changed while connections are open.
type Link struct {
	listener net.Listener

	mu        sync.Mutex
	target    string
	condition Condition
	open      map[net.Conn]bool
}

// NewLink returns a link that listens on a free address and forwards connections to a target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, open: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the condition. Resetting resets all open connections.
func (l *Link) Set(condition Condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.condition = condition
	if condition == Resetting {
		for conn := range l.open {
			reset(conn)
		}
	}
}

// SetTarget changes the target of new connections.
func (l *Link) SetTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *Link) currentTarget() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// Close stops listening and resets all connections.
func (l *Link) Close() {
	l.Set(Resetting)
	_ = l.listener.Close()
}

func (l *Link) currentCondition() Condition {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.condition
}

func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(conn)
	}
}

func (l *Link) serve(conn net.Conn) {
	if l.currentCondition() == Resetting {
		reset(conn)
		return
	}
	target, err := net.Dial("tcp4", l.currentTarget())
	if err != nil {
		reset(conn)
		return
	}
	l.mu.Lock()
	l.open[conn], l.open[target] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(target, conn, false) })
	both.Go(func() { l.forward(conn, target, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, conn)
	delete(l.open, target)
	l.mu.Unlock()
	_ = conn.Close()
	_ = target.Close()
}

// forward copies one direction of a connection until it ends.
func (l *Link) forward(to io.Writer, from net.Conn, isResponse bool) {
	buffer := make([]byte, linkBufferBytes)
	for {
		n, err := from.Read(buffer)
		if !l.await(isResponse) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, isTCP := to.(*net.TCPConn); isTCP {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// await waits until the condition allows bytes to pass. It returns false if the link resets its connections.
func (l *Link) await(isResponse bool) bool {
	if l.currentCondition() == Delayed {
		time.Sleep(linkDelay)
	}
	for {
		switch l.currentCondition() {
		case Resetting:
			return false
		case Silent:
		case OneWay:
			if !isResponse {
				return true
			}
		case Healthy, Delayed:
			return true
		}
		time.Sleep(linkInterval)
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
