package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// Condition is how a link treats the bytes on it.
type Condition int

// The conditions of a link.
const (
	// Sound passes everything on.
	Sound Condition = iota
	// Delayed holds every piece of bytes back for a while.
	Delayed
	// Silent passes nothing on and says nothing.
	Silent
	// OneWay passes what the opening side sends, and nothing back.
	OneWay
	// Resetting resets open connections and new ones.
	Resetting
)

// Timing of a link.
const (
	linkDelay = 150 * time.Millisecond
	linkLook  = 5 * time.Millisecond
	linkPiece = 32 << 10
)

// Link is a TCP proxy on the loopback whose condition can be changed while connections are open.
type Link struct {
	listener net.Listener

	mu        sync.Mutex
	target    string
	condition Condition
	open      map[net.Conn]bool
}

// NewLink listens on a free address and passes connections on to a target.
func NewLink(target string) (*Link, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{listener: listener, target: target, open: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set changes the link's condition.
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

// Aim passes new connections on to another target.
func (l *Link) Aim(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *Link) aim() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.target
}

// Close ends the link.
func (l *Link) Close() {
	l.Set(Resetting)
	_ = l.listener.Close()
}

func (l *Link) now() Condition {
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
	if l.now() == Resetting {
		reset(conn)
		return
	}
	target, err := net.Dial("tcp4", l.aim())
	if err != nil {
		reset(conn)
		return
	}
	l.mu.Lock()
	l.open[conn], l.open[target] = true, true
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(target, conn, false) })
	both.Go(func() { l.pass(conn, target, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, conn)
	delete(l.open, target)
	l.mu.Unlock()
	_ = conn.Close()
	_ = target.Close()
}

// pass carries one direction until it ends.
func (l *Link) pass(to io.Writer, from net.Conn, isBack bool) {
	buffer := make([]byte, linkPiece)
	for {
		n, err := from.Read(buffer)
		if !l.hold(isBack) {
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

// hold waits as long as the link's condition keeps bytes back; false when they are lost.
func (l *Link) hold(isBack bool) bool {
	if l.now() == Delayed {
		time.Sleep(linkDelay)
	}
	for {
		switch l.now() {
		case Resetting:
			return false
		case Silent:
		case OneWay:
			if !isBack {
				return true
			}
		case Sound, Delayed:
			return true
		}
		time.Sleep(linkLook)
	}
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
