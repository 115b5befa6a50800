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

// A call that is reported as never sent must not be sent later. The order of events that broke this: two requests wait
// while a connection is opened; the connection opens, and their lines are written one after the other; the second is
// given up before its line is written, which counts as never sent; its line is written all the same, without a cancel
// after it. Its caller sends the request again, and it runs twice.

// slowSocket accepts a line only when it is let through.
type slowSocket struct {
	net.Conn // nil: its other methods are not used
	entered  chan struct{}
	let      chan struct{}
	closed   chan struct{}
	close    sync.Once

	mu    sync.Mutex
	lines []line
}

func newSlowSocket() *slowSocket {
	return &slowSocket{entered: make(chan struct{}, 1), let: make(chan struct{}), closed: make(chan struct{})}
}

func (s *slowSocket) SetWriteDeadline(time.Time) error { return nil }

func (s *slowSocket) Close() error {
	s.close.Do(func() { close(s.closed) })
	return nil
}

func (s *slowSocket) Write(encoded []byte) (int, error) {
	select {
	case s.entered <- struct{}{}:
	default:
	}
	select {
	case <-s.let:
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

// take lets a line through if one is being written, or is within a moment.
func (s *slowSocket) take() {
	select {
	case s.let <- struct{}{}:
	case <-time.After(moment):
	}
}

// moment is mostly enough for other goroutines to proceed; no check depends on it.
const moment = 100 * time.Microsecond

// neverSentCase is a session over a slowSocket, with the results that its callers received.
type neverSentCase struct {
	session *session
	socket  *slowSocket
	isOpen  bool
	calls   []*Call
	running sync.WaitGroup

	mu      sync.Mutex
	started map[int]bool // calls that Start has returned
	given   map[int]bool // what Cancel returned for the calls that were given up
	ended   bool
}

func newNeverSentCase() *neverSentCase {
	client := NewClient(DefaultConfig())
	return &neverSentCase{session: &session{client: client, calls: map[uint64]*Call{}}, socket: newSlowSocket(), started: map[int]bool{}, given: map[int]bool{}}
}

// start starts a call.
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
	time.Sleep(moment)
}

// open opens the connection.
func (c *neverSentCase) open() {
	if c.isOpen {
		return
	}
	c.isOpen = true
	c.running.Go(func() { c.session.opened(&wire{cfg: c.session.client.cfg, socket: c.socket}) })
	time.Sleep(moment)
}

// giveUp cancels a call that has started.
func (c *neverSentCase) giveUp(number int) {
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
		c.given[number] = c.given[number] || mayBeSent
	})
	time.Sleep(moment)
}

// lose ends the connection.
func (c *neverSentCase) lose() {
	c.ended = true
	c.running.Go(func() { c.session.end(errors.New("lost")) })
}

// finish lets all lines through and returns what was reported wrongly.
func (c *neverSentCase) finish() error {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case c.socket.let <- struct{}{}:
			case <-done:
				return
			}
		}
	}()
	c.running.Wait()
	close(done)
	queried, cancelled := map[uint64]bool{}, map[uint64]bool{}
	for _, l := range c.socket.lines {
		queried[l.Number] = queried[l.Number] || l.Request != nil
		cancelled[l.Number] = l.Cancel && queried[l.Number] || cancelled[l.Number]
	}
	for number, call := range c.calls {
		if err := c.fault(number, queried[call.number], cancelled[call.number]); err != nil {
			return err
		}
	}
	return nil
}

// fault returns what was reported wrongly of a call.
func (c *neverSentCase) fault(number int, isQueried, isCancelled bool) error {
	var neverSent *NeverSentError
	select {
	case ended := <-c.calls[number].done:
		if errors.As(ended.Err, &neverSent) && isQueried {
			return fmt.Errorf("call %d was reported as never sent, and was sent", number)
		}
		return nil
	default:
	}
	mayBeSent, isGiven := c.given[number]
	switch {
	case !isGiven || !isQueried:
	case !mayBeSent:
		return fmt.Errorf("call %d was given up as never sent, and was sent", number)
	case !c.ended && !isCancelled:
		return fmt.Errorf("call %d was sent and given up, and no cancel followed it", number)
	}
	return nil
}

// mostWaiting bounds the requests that wait for the connection at the start of a random case, longestCase its steps.
const (
	mostWaiting = 4
	longestCase = 12
)

// A call that is reported as never sent is not sent, and one that was sent and given up is cancelled, in whatever order
// requests are started and given up, and the connection opens, accepts lines and ends.
func TestNeverSentIsNeverSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newNeverSentCase()
		for range rapid.IntRange(0, mostWaiting).Draw(t, "waiting") {
			c.start()
		}
		for range rapid.IntRange(1, longestCase).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"start", "start", "open", "take", "give up", "give up", "lose"}).Draw(t, "step") {
			case "start":
				c.start()
			case "open":
				c.open()
			case "take":
				c.socket.take()
			case "give up":
				if len(c.calls) > 0 {
					c.giveUp(rapid.IntRange(0, len(c.calls)-1).Draw(t, "call"))
				}
			case "lose":
				c.lose()
			}
		}
		if err := c.finish(); err != nil {
			t.Fatal(err)
		}
	})
}

// isAt reports whether the call's line is that far.
func (c *Call) isAt(reached progress) bool {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	return c.progress == reached
}

// A request that is given up after the connection opened and before its line is written is not sent.
func TestGivenUpBeforeItsLine(t *testing.T) {
	is := is.New(t)
	c := newNeverSentCase()
	c.start()
	c.start()
	c.running.Wait() // both wait for the connection
	c.open()
	<-c.socket.entered // the first of them is being written
	for number, call := range c.calls {
		if !call.isAt(writing) {
			c.given[number] = call.Cancel()
		}
	}
	is.Equal(len(c.given), 1)
	is.NoErr(c.finish())
	is.Equal(len(c.socket.lines), 1)
}

// A request that is given up while its line is being written is cancelled after that line.
func TestGivenUpWhileItIsWritten(t *testing.T) {
	is := is.New(t)
	c := newNeverSentCase()
	c.start()
	c.running.Wait()
	c.open()
	<-c.socket.entered
	c.giveUp(0)
	is.NoErr(c.finish())
	is.Equal(len(c.socket.lines), 2)
	is.True(c.socket.lines[1].Cancel)
	is.True(c.given[0])
}
