package leafhttp

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
)

// However many attempts there are, the connections stay within this node's allotment.
func TestConnectionsStayWithinTheShare(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		return httpleaf.Answer{Delay: 10 * time.Millisecond, Body: []byte("x")}
	})
	target := b.target()
	target.Connections = 2
	var running sync.WaitGroup
	for range 40 {
		request := b.request()
		running.Go(func() {
			if _, err := b.ask(t.Context(), target, request, time.Now().Add(5*time.Second)); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	opened, _ := b.leaf.Connections()
	is.Equal(opened, 2)
	is.Equal(b.pool.OpenConnections(), 2)
	b.pool.Prune(func(string) bool { return false })
	is.Equal(b.pool.OpenConnections(), 0)
}

// A warmed connection carries the first request; no second one is warmed.
func TestWarmedConnectionIsUsed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	b.pool.Warm([]Target{b.target()})
	for b.pool.idleConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	b.pool.Warm([]Target{b.target()})
	_, err := b.do(t.Context(), b.request())
	is.NoErr(err)
	is.Equal(b.pool.OpenConnections(), 1)
	opened, _ := b.leaf.Connections()
	is.Equal(opened, 1)
}

// idleConnections returns the number of idle connections.
func (p *Pool) idleConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, leaf := range p.leafs {
		count += len(leaf.idle)
	}
	return count
}

// After a leaf resets a new connection, no extra ones are opened for a while; they are if it resets a
// connection on which it answered before.
func TestRefusedSpareConnectionStopsThem(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.SparePause = 200 * time.Millisecond
	b := newBench(t, config, ok("hello"))
	target := Target{LeafID: b.leaf.ID, Address: b.leaf.Address(), ExtraConnections: 1}
	is.True(b.pool.MayOpenExtra(target.LeafID))
	_, err := b.ask(t.Context(), target, b.request(), time.Now().Add(time.Second))
	is.NoErr(err)
	is.True(b.pool.MayOpenExtra(target.LeafID))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go resetAll(listener)
	refusing := Target{LeafID: "leaf-2", Address: listener.Addr().String(), ExtraConnections: 1}
	_, err = b.ask(t.Context(), refusing, b.request(), time.Now().Add(time.Second))
	var refused *RefusedConnectionError
	is.True(errors.As(err, &refused))
	is.True(!b.pool.MayOpenExtra(refusing.LeafID))
	time.Sleep(config.SparePause)
	is.True(b.pool.MayOpenExtra(refusing.LeafID))
}

// resetAll resets every connection of a listener once a request is on it.
func resetAll(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = connection.Read(make([]byte, 1))
		_ = connection.(*net.TCPConn).SetLinger(0)
		_ = connection.Close()
	}
}

// A cancelled attempt that waits for a connection, or opens one, ends at once as never sent.
func TestCancelledWaitIsNeverSent(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Silent: true} })
	target := b.target()
	target.Connections = 1
	ended := make(chan error, 2)
	first := b.pool.Start(target, b.request(), time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
	second := b.pool.Start(target, b.request(), time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
	second(context.Canceled)
	var failed *NeverSentError
	is.True(errors.As(<-ended, &failed))
	for len(b.leaf.Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	first(context.Canceled)
	var broken *BrokenAnswerError
	is.True(errors.As(<-ended, &broken))
}

// An attempt that is cancelled while its connection is being opened is reported as never sent only if its request is never
// sent. If checking that nothing was sent and preventing that anything will be were two critical sections, the connection
// could take the attempt between them, and the caller would get "not run" for a request that the leaf has.
func TestAttemptGivenUpAsItsConnectionComesUp(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	var isUp atomic.Bool
	b.pool.opened = func() { isUp.Store(true) }
	neverSent := map[string]bool{}
	for number := range 2000 {
		isUp.Store(false)
		target, request := b.target(), b.request()
		ended := make(chan error, 1)
		giveUp := b.pool.Start(target, request, time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
		for !isUp.Load() && len(ended) == 0 { // it ends by itself if the connection can't be opened
			runtime.Gosched()
		}
		for range number % 200 { // vary the moment by nanoseconds
			isUp.Load()
		}
		giveUp(context.Canceled)
		var failed *NeverSentError
		if errors.As(<-ended, &failed) {
			neverSent[request.ID] = true
		}
		b.pool.Prune(func(string) bool { return false })
	}
	time.Sleep(50 * time.Millisecond) // until what was sent has arrived
	for _, request := range b.leaf.Requests() {
		is.True(!neverSent[request.ID])
	}
}

// If an answer comes before the writer has recorded the end of its write, the connection is
// released once the write is done.
func TestAnswerBeforeTheWriteIsDoneKeepsTheConnection(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	_, err := b.do(t.Context(), b.request())
	is.NoErr(err)
	for b.pool.idleConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	e := &Exchange{pool: b.pool, target: b.target(), request: b.request(), done: func(*Response, error) {}}
	b.pool.mu.Lock()
	conn, _ := b.pool.reserve(e)
	b.pool.mu.Unlock()
	is.True(conn != nil)
	is.True(conn.release(e, true)) // the answer
	is.Equal(b.pool.idleConnections(), 0)
	conn.writeDone()
	is.Equal(b.pool.idleConnections(), 1)
	is.Equal(b.pool.OpenConnections(), 1)
}

// A leaf whose record is gone may still serve: requests in flight are awaited, and then their connections are closed.
func TestForgottenLeafEndsWhatItIsAtWorkOn(t *testing.T) {
	is := is.New(t)
	began, finish := make(chan struct{}), make(chan struct{})
	b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		close(began)
		<-finish
		return httpleaf.Answer{Body: []byte("late")}
	})
	answered := make(chan *Response, 1)
	b.pool.Start(b.target(), b.request(), time.Now().Add(time.Minute), func(response *Response, err error) {
		if err != nil {
			t.Error(err)
		}
		answered <- response
	})
	<-began
	b.pool.Prune(func(string) bool { return false })
	close(finish)
	is.Equal(string((<-answered).Body), "late")
	for b.pool.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request that waits for a connection is not sent once its leaf must get none any more.
func TestWaitingRequestIsNotSentToADisallowedLeaf(t *testing.T) {
	is := is.New(t)
	var isDisallowed atomic.Bool
	answer := make(chan struct{})
	b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		<-answer
		return httpleaf.Answer{Body: []byte("x")}
	})
	b.pool.SetMaySend(func(string) bool { return !isDisallowed.Load() })
	target := b.target()
	target.Connections = 1
	ended := make(chan error, 2)
	start := func() {
		b.pool.Start(target, b.request(), time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
	}
	start()
	for len(b.leaf.Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	start() // waits for the connection of the first
	isDisallowed.Store(true)
	close(answer)
	var neverSent *NeverSentError
	first, second := <-ended, <-ended
	if first != nil {
		first, second = second, first
	}
	is.NoErr(first)
	is.True(errors.As(second, &neverSent))
	is.Equal(len(b.leaf.Requests()), 1)
	isDisallowed.Store(false)
	_, err := b.ask(t.Context(), target, b.request(), time.Now().Add(time.Minute))
	is.NoErr(err) // the connection remained usable
	opened, _ := b.leaf.Connections()
	is.Equal(opened, 1)
}

// Each incarnation of a leaf has connections of its own, and requests carry the leaf's own name.
func TestConnectionsBelongToOneLife(t *testing.T) {
	is := is.New(t)
	var named []string
	b := newBench(t, testConfig(), func(request httpleaf.Request) httpleaf.Answer {
		named = append(named, request.Incarnation)
		return httpleaf.Answer{Body: []byte("x")}
	})
	name := b.target().LeafID
	for _, life := range []string{name + "@10", name + "@20"} {
		target := b.target()
		target.LeafID, target.Name = life, name
		_, err := b.ask(t.Context(), target, b.request(), time.Now().Add(5*time.Second))
		is.NoErr(err)
	}
	is.Equal(named, []string{name, name})
	is.Equal(b.pool.OpenConnections(), 2)
	b.pool.Prune(func(life string) bool { return life == name+"@20" })
	is.Equal(b.pool.OpenConnections(), 1)
}
