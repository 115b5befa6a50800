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

// What callers saw: a refusal that said "not run", although leafs worked on the request. The order of events: a request is
// passed on to a node whose connection is still being opened; the connection comes up, and the requests that wait for it
// are written one after the other; meanwhile this one is given up, and since it was not written yet it counts as never
// sent; then its line goes out all the same, and no word that nobody waits for it follows. The cause: what was to be
// written was decided at another moment than what is written.
//
// Evidence: without the mend the smallest drawn case is two requests that wait, a connection that comes up, and one of
// them given up before its own line.

// slowSocket takes a line only when it is let through.
type slowSocket struct {
	net.Conn // nil: nothing else of it is used
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

// take lets a line through, if one is being written or is within a moment.
func (s *slowSocket) take() {
	select {
	case s.let <- struct{}{}:
	case <-time.After(moment):
	}
}

// moment is enough for what goes on beside to go on, mostly; no check depends on it.
const moment = 100 * time.Microsecond

// neverSentCase is a connection that takes a line only when the case says so.
type neverSentCase struct {
	session *session
	socket  *slowSocket
	isOpen  bool
	calls   []*Call
	running sync.WaitGroup

	mu      sync.Mutex
	started map[int]bool // calls that their callers have in hand
	given   map[int]bool // calls that were given up, by whether they may have been sent
	ended   bool
}

func newNeverSentCase() *neverSentCase {
	client := NewClient(DefaultConfig())
	return &neverSentCase{session: &session{client: client, calls: map[uint64]*Call{}}, socket: newSlowSocket(), started: map[int]bool{}, given: map[int]bool{}}
}

// start passes a request on.
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

// open has the connection come up.
func (c *neverSentCase) open() {
	if c.isOpen {
		return
	}
	c.isOpen = true
	c.running.Go(func() { c.session.opened(&wire{cfg: c.session.client.cfg, socket: c.socket}) })
	time.Sleep(moment)
}

// giveUp cancels a call that its caller has in hand.
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

// lose has the connection end.
func (c *neverSentCase) lose() {
	c.ended = true
	c.running.Go(func() { c.session.end(errors.New("lost")) })
}

// finish lets all lines through and says what is untrue.
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
	asked, cancelled := map[uint64]bool{}, map[uint64]bool{}
	for _, l := range c.socket.lines {
		asked[l.Number] = asked[l.Number] || l.Request != nil
		cancelled[l.Number] = l.Cancel && asked[l.Number] || cancelled[l.Number]
	}
	for number, call := range c.calls {
		if err := c.fault(number, asked[call.number], cancelled[call.number]); err != nil {
			return err
		}
	}
	return nil
}

// fault says what is untrue of a call.
func (c *neverSentCase) fault(number int, isAsked, isCancelled bool) error {
	var neverSent *NeverSentError
	select {
	case ended := <-c.calls[number].done:
		if errors.As(ended.Err, &neverSent) && isAsked {
			return fmt.Errorf("call %d was told as never sent, and was sent", number)
		}
		return nil
	default:
	}
	mayBeSent, isGiven := c.given[number]
	switch {
	case !isGiven || !isAsked:
	case !mayBeSent:
		return fmt.Errorf("call %d was given up as never sent, and was sent", number)
	case !c.ended && !isCancelled:
		return fmt.Errorf("call %d was sent, and no word that it was given up after it", number)
	}
	return nil
}

// mostWaiting bounds the requests that wait for the connection from the start of a drawn case, longestCase its other steps.
const (
	mostWaiting = 4
	longestCase = 12
)

// What was told as never sent is not sent, and what was sent and given up is told so to the other end, in whatever order
// requests are passed on, the connection comes up, takes lines and is lost, and requests are given up.
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

// isAt reports how far the call's line is.
func (c *Call) isAt(reached progress) bool {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	return c.progress == reached
}

// A request that is given up between the connection's coming up and its own line is not sent.
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

// A request that is given up while its line is being written is told as given up behind that line.
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
