package servingtree

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// What a request waited for its connection is taken off the times that the other node is told.
func TestWaitForTheConnectionIsTakenOff(t *testing.T) {
	is := is.New(t)
	told := make(chan Request, 2)
	_, address := serve(t, testConfig(), func(ctx context.Context, ask Request, send func(Answer)) Reply {
		told <- ask
		return echo(ctx, ask, send)
	})
	client := newClient(t, testConfig())
	ask := Request{ID: "a", ObjectiveMicros: time.Minute.Microseconds(), DeadlineMicros: time.Hour.Microseconds(), RoundTrip: time.Minute}
	call := client.Start(address, ask)
	is.NoErr(result(t, call).Err)
	is.True(call.Waited() > 0)
	first := <-told
	is.Equal(first.ObjectiveMicros, ask.ObjectiveMicros-call.Waited().Microseconds())
	is.Equal(first.DeadlineMicros, ask.DeadlineMicros-call.Waited().Microseconds())
}

// A request that never had a connection has waited for none.
func TestRequestWithoutConnectionHasNotWaited(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	call := newClient(t, testConfig()).Start(listener.Addr().String(), Request{ID: "a"})
	is.True(result(t, call).Err != nil)
	is.Equal(call.Waited(), time.Duration(0))
}

// RoundTrip that take longer than thought are taken off once, and never leave less than three quarters of what
// is left; shorter ones change nothing.
func TestWaysAreTakenOff(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		left, thought, waited, ways := millis("left", 200), millis("thought", 50), millis("waited", 100), millis("ways", 2000)
		after := Request{ObjectiveMicros: left.Microseconds(), RoundTrip: thought}.after(waited, ways)
		rest := (left - waited).Microseconds()
		switch {
		case ways <= thought && after.ObjectiveMicros != rest:
			rt.Fatal("shorter ways count")
		case rest > 0 && after.ObjectiveMicros < rest-rest/mostWays:
			rt.Fatal("too much is taken off")
		case rest > 0 && after.ObjectiveMicros < rest-max(0, ways-thought).Microseconds():
			rt.Fatal("more than the ways is taken off")
		}
	})
}
