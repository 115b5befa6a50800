package leafhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newSlowOnOpenedFixture returns a fixture whose pool takes 50 ms to count a new connection as established.
func newSlowOnOpenedFixture(t *testing.T) *fixture {
	leaf := startCountingLeaf(t, "leaf-1", ok("hello"))
	pool := New(testConfig(), names, func() { time.Sleep(50 * time.Millisecond) })
	t.Cleanup(pool.Close)
	return &fixture{t: t, leaf: leaf, pool: pool}
}

// A check must count its connection as established before it reports. Otherwise, a check that follows immediately opens
// a second connection to a leaf that resets new ones.
func TestCheckReportsAfterItsConnectionIsCounted(t *testing.T) {
	is := is.New(t)
	f := newSlowOnOpenedFixture(t)
	is.True(!runCheck(t, f.pool, f.target(), false))
	is.True(!runCheck(t, f.pool, f.target(), true))
	is.Equal(f.pool.OpenConnections(), 1)
	opened, _ := f.leaf.Connections()
	is.Equal(opened, 1)
}

// An attempt that immediately follows a check must use the check's connection instead of opening another.
func TestAttemptAfterCheckUsesItsConnection(t *testing.T) {
	is := is.New(t)
	f := newSlowOnOpenedFixture(t)
	is.True(!runCheck(t, f.pool, f.target(), false))
	_, err := f.do(t.Context(), f.request())
	is.NoErr(err)
	opened, _ := f.leaf.Connections()
	is.Equal(opened, 1)
}

// A check must not join one that has already finished. Otherwise, a leaf that exited in between is reported as alive.
func TestCheckDoesNotJoinFinishedCheck(t *testing.T) {
	is := is.New(t)
	f := newSlowOnOpenedFixture(t)
	target := f.target()
	target.Connections = 1
	exited := make(chan bool, 1)
	f.pool.SetMaySend(func(string) bool {
		f.leaf.Stop()
		f.pool.Check(target, false, func(hasExited bool) { exited <- hasExited })
		return false
	})
	f.pool.Check(target, false, func(bool) {})
	// The attempt waits for the check's connection and takes it before the check reports its result.
	f.pool.Start(target, f.request(), time.Now().Add(5*time.Second), func(*Response, error) {})
	is.True(<-exited)
}

// A check must be reported even if its leaf is forgotten before the connection fails.
func TestCheckOfForgottenLeafIsReported(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	target := Target{LeafID: "leaf-1", Address: listener.Addr().String(), Connections: 1}
	is.NoErr(listener.Close())
	pool := New(testConfig(), names, nil)
	defer pool.Close()
	reported := make(chan bool, 1)
	pool.mu.Lock()
	leaf := pool.leaf(target.LeafID)
	pool.joinCheck(target, leaf, func(exited bool) { reported <- exited })
	leaf.forgotten = true
	pool.mu.Unlock()
	select {
	case exited := <-reported:
		is.True(exited)
	case <-time.After(5 * time.Second):
		t.Fatal("the check did not report a result within 5 s")
	}
	pool.mu.Lock()
	defer pool.mu.Unlock()
	is.Equal(len(pool.leafs), 0)
}

// A stale connection must be removed from the count before the attempt that was to use it ends. Otherwise, it still
// counts toward the limit when the attempt is retried.
func TestStaleConnectionIsRemovedBeforeAttemptEnds(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	pool := New(testConfig(), names, nil)
	defer pool.Close()
	target := Target{LeafID: "leaf-1", Address: listener.Addr().String(), Connections: 1}
	conn := openWithoutReader(t, pool, target)
	accepted, err := listener.Accept()
	is.NoErr(err)
	is.NoErr(accepted.Close())
	for deadline := time.Now().Add(5 * time.Second); conn.isOpenAndEmpty(); time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the close must be received
	}
	ended, open := make(chan error, 1), 0
	request := &Request{ID: "request-1", Method: http.MethodGet, Target: "/x", Host: "h.example", AtMostOnce: true}
	pool.Start(target, request, time.Now().Add(5*time.Second), func(_ *Response, err error) {
		open = pool.OpenConnections()
		ended <- err
	})
	var neverSent *NeverSentError
	is.True(errors.As(<-ended, &neverSent))
	is.Equal(open, 0)
}

// openWithoutReader opens an idle connection without a reading goroutine, so that only an attempt detects its close.
func openWithoutReader(t *testing.T, pool *Pool, target Target) *connection {
	t.Helper()
	pool.mu.Lock()
	pool.leaf(target.LeafID).open++
	pool.mu.Unlock()
	conn, err := dial(context.Background(), pool, target)
	if err != nil {
		t.Fatal(err)
	}
	pool.dialed(target.LeafID)
	conn.makeIdle(target)
	return conn
}
