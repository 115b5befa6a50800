package servingtree

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A call that is reported as never sent must not be sent later. These tests guard against this order of events: two
// calls wait for a connection, it opens, and the second call is cancelled while the line of the first is being written.
// If the line of the second call were still written, its caller would send the request again and it would run twice.

// gatedSocket is a connection whose writes block until passLine allows them.
type gatedSocket struct {
	net.Conn     // nil: its other methods are not used
	writeStarted chan struct{}
	gate         chan struct{}
	closed       chan struct{}
	close        sync.Once

	mu    sync.Mutex
	lines []line
}

func newGatedSocket() *gatedSocket {
	return &gatedSocket{writeStarted: make(chan struct{}, 1), gate: make(chan struct{}), closed: make(chan struct{})}
}

func (s *gatedSocket) SetWriteDeadline(time.Time) error { return nil }

func (s *gatedSocket) Close() error {
	s.close.Do(func() { close(s.closed) })
	return nil
}

func (s *gatedSocket) Write(encoded []byte) (int, error) {
	select {
	case s.writeStarted <- struct{}{}:
	default:
	}
	select {
	case <-s.gate:
	case <-s.closed:
		return 0, net.ErrClosed
	}
	l, err := decode(encoded)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, l)
	return len(encoded), nil
}

// passLine allows one write if one is blocked or starts within a pause.
func (s *gatedSocket) passLine() {
	select {
	case s.gate <- struct{}{}:
	case <-time.After(pause):
	}
}

// pause usually suffices for other goroutines to proceed; no check depends on it.
const pause = 100 * time.Microsecond

// neverSentCase is a session on a gatedSocket, its calls and what Cancel returned for them.
type neverSentCase struct {
	session *session
	socket  *gatedSocket
	isOpen  bool
	calls   []*Call
	running sync.WaitGroup

	mu            sync.Mutex
	started       map[int]bool // calls whose start has returned
	cancelResults map[int]bool // results of Cancel, by call
	ended         bool
}

func newNeverSentCase() *neverSentCase {
	client := NewClient(DefaultConfig())
	return &neverSentCase{session: &session{client: client, calls: map[uint64]*Call{}}, socket: newGatedSocket(), started: map[int]bool{}, cancelResults: map[int]bool{}}
}

func (c *neverSentCase) start() {
	call := newCall(Request{ID: "r"})
	call.session = c.session
	number := len(c.calls)
	c.calls = append(c.calls, call)
	c.running.Go(func() {
		c.session.start(call)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.started[number] = true
	})
	time.Sleep(pause)
}

func (c *neverSentCase) open() {
	if c.isOpen {
		return
	}
	c.isOpen = true
	c.running.Go(func() { c.session.attach(&lineConn{cfg: c.session.client.cfg, socket: c.socket}) })
	time.Sleep(pause)
}

// cancel cancels a call that has started.
func (c *neverSentCase) cancel(number int) {
	c.mu.Lock()
	isStarted := c.started[number]
	c.mu.Unlock()
	if !isStarted {
		return
	}
	call := c.calls[number]
	c.running.Go(func() {
		mayBeSent := call.Cancel()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.cancelResults[number] = c.cancelResults[number] || mayBeSent
	})
	time.Sleep(pause)
}

// end ends the connection.
func (c *neverSentCase) end() {
	c.ended = true
	c.running.Go(func() { c.session.end(errors.New("lost")) })
}

// finish allows all writes, waits for the calls, and returns an error if a call was reported wrongly.
func (c *neverSentCase) finish() error {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case c.socket.gate <- struct{}{}:
			case <-done:
				return
			}
		}
	}()
	c.running.Wait()
	close(done)
	sent, cancelled := map[uint64]bool{}, map[uint64]bool{}
	for _, l := range c.socket.lines {
		sent[l.Number] = sent[l.Number] || l.Request != nil
		cancelled[l.Number] = l.Cancel && sent[l.Number] || cancelled[l.Number]
	}
	for number, call := range c.calls {
		if err := c.check(number, sent[call.number], cancelled[call.number]); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if a call was reported wrongly.
func (c *neverSentCase) check(number int, isSent, isCancelSent bool) error {
	var neverSent *NeverSentError
	select {
	case ended := <-c.calls[number].done:
		if errors.As(ended.Err, &neverSent) && isSent {
			return fmt.Errorf("call %d was reported as never sent, but was sent", number)
		}
		return nil
	default:
	}
	mayBeSent, wasCancelled := c.cancelResults[number]
	switch {
	case !wasCancelled || !isSent:
	case !mayBeSent:
		return fmt.Errorf("call %d was cancelled as never sent, but was sent", number)
	case !c.ended && !isCancelSent:
		return fmt.Errorf("call %d was sent and cancelled, but no cancel line followed", number)
	}
	return nil
}

// maximumWaiting bounds the calls that wait for the connection at the start of a generated case, maximumSteps its steps.
const (
	maximumWaiting = 4
	maximumSteps   = 12
)

// A call that is reported as never sent is not sent, and a cancel line follows a call that was sent and cancelled, for
// any order in which calls are started and cancelled and the connection opens, accepts lines and ends.
func TestCallReportedAsNeverSentIsNotSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newNeverSentCase()
		for range rapid.IntRange(0, maximumWaiting).Draw(t, "waiting") {
			c.start()
		}
		for range rapid.IntRange(1, maximumSteps).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"start", "start", "open", "pass line", "cancel", "cancel", "end"}).Draw(t, "step") {
			case "start":
				c.start()
			case "open":
				c.open()
			case "pass line":
				c.socket.passLine()
			case "cancel":
				if len(c.calls) > 0 {
					c.cancel(rapid.IntRange(0, len(c.calls)-1).Draw(t, "call"))
				}
			case "end":
				c.end()
			}
		}
		if err := c.finish(); err != nil {
			t.Fatal(err)
		}
	})
}

// isAt reports whether the call's request line has reached the given progress.
func (c *Call) isAt(reached progress) bool {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	return c.progress == reached
}

// A call that is cancelled after the connection opened and before its line is written is not sent.
func TestCallCancelledBeforeItsLineIsNotSent(t *testing.T) {
	is := is.New(t)
	c := newNeverSentCase()
	c.start()
	c.start()
	c.running.Wait() // both wait for the connection
	c.open()
	<-c.socket.writeStarted // the line of one call is being written
	for number, call := range c.calls {
		if !call.isAt(writing) {
			c.cancelResults[number] = call.Cancel()
		}
	}
	is.Equal(len(c.cancelResults), 1)
	is.NoErr(c.finish())
	is.Equal(len(c.socket.lines), 1)
}

// If a call is cancelled while its line is being written, a cancel line follows.
func TestCallCancelledWhileWritingIsFollowedByACancel(t *testing.T) {
	is := is.New(t)
	c := newNeverSentCase()
	c.start()
	c.running.Wait()
	c.open()
	<-c.socket.writeStarted
	c.cancel(0)
	is.NoErr(c.finish())
	is.Equal(len(c.socket.lines), 2)
	is.True(c.socket.lines[1].Cancel)
	is.True(c.cancelResults[0])
}
