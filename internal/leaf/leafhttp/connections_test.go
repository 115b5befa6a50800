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

// Many concurrent attempts don't open more connections than the node's allotment.
func TestConnectionsStayWithinAllotment(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		return httpleaf.Answer{Delay: 10 * time.Millisecond, Body: []byte("x")}
	})
	target := f.target()
	target.Connections = 2
	var running sync.WaitGroup
	for range 40 {
		request := f.request()
		running.Go(func() {
			if _, err := f.runAttempt(t.Context(), target, request, time.Now().Add(5*time.Second)); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	opened, _ := f.leaf.Connections()
	is.Equal(opened, 2)
	is.Equal(f.pool.OpenConnections(), 2)
	f.pool.Prune(func(string) bool { return false })
	is.Equal(f.pool.OpenConnections(), 0)
}

// A warmed connection carries the first request, and a second Warm opens no other connection.
func TestWarmedConnectionIsUsed(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	f.pool.Warm([]Target{f.target()})
	for f.pool.idleConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.pool.Warm([]Target{f.target()})
	_, err := f.do(t.Context(), f.request())
	is.NoErr(err)
	is.Equal(f.pool.OpenConnections(), 1)
	opened, _ := f.leaf.Connections()
	is.Equal(opened, 1)
}

func (p *Pool) idleConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, leaf := range p.leafs {
		count += len(leaf.idle)
	}
	return count
}

// After a leaf resets a new connection, no extra connections to it are opened for Config.ExtraPause.
func TestResetOfNewConnectionPausesExtraConnections(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.ExtraPause = 200 * time.Millisecond
	f := newFixture(t, cfg, ok("hello"))
	target := Target{LeafID: f.leaf.ID, Address: f.leaf.Address(), ExtraConnections: 1}
	is.True(f.pool.MayOpenExtra(target.LeafID))
	_, err := f.runAttempt(t.Context(), target, f.request(), time.Now().Add(time.Second))
	is.NoErr(err)
	is.True(f.pool.MayOpenExtra(target.LeafID))

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	go resetAll(listener)
	refusing := Target{LeafID: "leaf-2", Address: listener.Addr().String(), ExtraConnections: 1}
	_, err = f.runAttempt(t.Context(), refusing, f.request(), time.Now().Add(time.Second))
	var connectionReset *ConnectionResetError
	is.True(errors.As(err, &connectionReset))
	is.True(!f.pool.MayOpenExtra(refusing.LeafID))
	time.Sleep(cfg.ExtraPause)
	is.True(f.pool.MayOpenExtra(refusing.LeafID))
}

// resetAll resets every connection of a listener when its first byte is received.
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

// An attempt that is cancelled while it waits for a connection ends immediately as never sent.
func TestAttemptCancelledWhileWaitingIsNeverSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Silent: true} })
	target := f.target()
	target.Connections = 1
	ended := make(chan error, 2)
	first := f.pool.Start(target, f.request(), time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
	second := f.pool.Start(target, f.request(), time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
	second(context.Canceled)
	var failed *NeverSentError
	is.True(errors.As(<-ended, &failed))
	for len(f.leaf.Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	first(context.Canceled)
	var broken *BrokenAnswerError
	is.True(errors.As(<-ended, &broken))
}

// An attempt that is cancelled while its connection opens is reported as never sent only if its request is never sent.
// Guards against a race between Cancel and the connection that is assigned to the attempt.
func TestAttemptCancelledWhileConnectionOpens(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	var isUp atomic.Bool
	f.pool.onOpened = func() { isUp.Store(true) }
	neverSent := map[string]bool{}
	for number := range 2000 {
		isUp.Store(false)
		target, request := f.target(), f.request()
		ended := make(chan error, 1)
		cancel := f.pool.Start(target, request, time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
		for !isUp.Load() && len(ended) == 0 { // the attempt also ends if the connection can't be opened
			runtime.Gosched()
		}
		for range number % 200 { // vary the time of the cancellation by nanoseconds
			isUp.Load()
		}
		cancel(context.Canceled)
		var failed *NeverSentError
		if errors.As(<-ended, &failed) {
			neverSent[request.ID] = true
		}
		f.pool.Prune(func(string) bool { return false })
	}
	time.Sleep(50 * time.Millisecond) // wait until all sent requests have arrived
	for _, request := range f.leaf.Requests() {
		is.True(!neverSent[request.ID])
	}
}

// If an answer is received before the end of the write is recorded, the connection is released when the write is done.
func TestAnswerBeforeWriteDoneKeepsConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	_, err := f.do(t.Context(), f.request())
	is.NoErr(err)
	for f.pool.idleConnections() == 0 {
		time.Sleep(time.Millisecond)
	}
	e := &exchange{pool: f.pool, target: f.target(), request: f.request(), done: func(*Response, error) {}}
	f.pool.mu.Lock()
	conn, _ := f.pool.reserve(e)
	f.pool.mu.Unlock()
	is.True(conn != nil)
	is.True(conn.release(e, true)) // the answer was received
	is.Equal(f.pool.idleConnections(), 0)
	conn.writeDone()
	is.Equal(f.pool.idleConnections(), 1)
	is.Equal(f.pool.OpenConnections(), 1)
}

// Requests in flight to a leaf that is no longer known are completed before their connections are closed.
func TestForgottenLeafFinishesRequestsInFlight(t *testing.T) {
	is := is.New(t)
	began, finish := make(chan struct{}), make(chan struct{})
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		close(began)
		<-finish
		return httpleaf.Answer{Body: []byte("late")}
	})
	answered := make(chan *Response, 1)
	f.pool.Start(f.target(), f.request(), time.Now().Add(time.Minute), func(response *Response, err error) {
		if err != nil {
			t.Error(err)
		}
		answered <- response
	})
	<-began
	f.pool.Prune(func(string) bool { return false })
	close(finish)
	is.Equal(string((<-answered).Body), "late")
	for f.pool.OpenConnections() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A request that waits for a connection is not sent if its leaf becomes disallowed.
func TestWaitingRequestIsNotSentToDisallowedLeaf(t *testing.T) {
	is := is.New(t)
	var isDisallowed atomic.Bool
	answer := make(chan struct{})
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		<-answer
		return httpleaf.Answer{Body: []byte("x")}
	})
	f.pool.SetMaySend(func(string) bool { return !isDisallowed.Load() })
	target := f.target()
	target.Connections = 1
	ended := make(chan error, 2)
	start := func() {
		f.pool.Start(target, f.request(), time.Now().Add(time.Minute), func(_ *Response, err error) { ended <- err })
	}
	start()
	for len(f.leaf.Requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	start() // waits for the connection of the first attempt
	isDisallowed.Store(true)
	close(answer)
	var neverSent *NeverSentError
	first, second := <-ended, <-ended
	if first != nil {
		first, second = second, first
	}
	is.NoErr(first)
	is.True(errors.As(second, &neverSent))
	is.Equal(len(f.leaf.Requests()), 1)
	isDisallowed.Store(false)
	_, err := f.runAttempt(t.Context(), target, f.request(), time.Now().Add(time.Minute))
	is.NoErr(err) // the connection remained usable
	opened, _ := f.leaf.Connections()
	is.Equal(opened, 1)
}

// Each incarnation of a leaf has its own connections, and requests carry the leaf's name.
func TestConnectionsBelongToOneIncarnation(t *testing.T) {
	is := is.New(t)
	var named []string
	f := newFixture(t, testConfig(), func(request httpleaf.Request) httpleaf.Answer {
		named = append(named, request.Incarnation)
		return httpleaf.Answer{Body: []byte("x")}
	})
	name := f.target().LeafID
	for _, incarnation := range []string{name + "@10", name + "@20"} {
		target := f.target()
		target.LeafID, target.Name = incarnation, name
		_, err := f.runAttempt(t.Context(), target, f.request(), time.Now().Add(5*time.Second))
		is.NoErr(err)
	}
	is.Equal(named, []string{name, name})
	is.Equal(f.pool.OpenConnections(), 2)
	f.pool.Prune(func(incarnation string) bool { return incarnation == name+"@20" })
	is.Equal(f.pool.OpenConnections(), 1)
}
