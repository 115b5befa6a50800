package servingtree

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The times that are sent are reduced by the wait for the connection.
func TestWaitForConnectionReducesTheTimesSent(t *testing.T) {
	is := is.New(t)
	sent := make(chan Request, 2)
	_, address := serve(t, testConfig(), func(ctx context.Context, request Request, send func(Answer)) Reply {
		sent <- request
		return echo(ctx, request, send)
	})
	client := newClient(t, testConfig())
	request := Request{ID: "a", ObjectiveMicros: time.Minute.Microseconds(), DeadlineMicros: time.Hour.Microseconds(), RoundTrip: time.Minute}
	call := client.Start(address, request)
	is.NoErr(result(t, call).Err)
	is.True(call.Waited() > 0)
	first := <-sent
	is.Equal(first.ObjectiveMicros, request.ObjectiveMicros-call.Waited().Microseconds())
	is.Equal(first.DeadlineMicros, request.DeadlineMicros-call.Waited().Microseconds())
}

// Waited returns 0 if no connection was opened.
func TestWaitedIsZeroWithoutConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(listener.Close())
	call := newClient(t, testConfig()).Start(listener.Addr().String(), Request{ID: "a"})
	is.True(result(t, call).Err != nil)
	is.Equal(call.Waited(), time.Duration(0))
}

// The objective is reduced by the excess of the round trip over the expected one, at most by a quarter; a shorter round
// trip does not change it.
func TestExcessRoundTripReducesTheObjective(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		millis := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		left, expected, waited, roundTrip := millis("left", 200), millis("expected", 50), millis("waited", 100), millis("round trip", 2000)
		after := Request{ObjectiveMicros: left.Microseconds(), RoundTrip: expected}.adjustTimes(waited, roundTrip)
		rest := (left - waited).Microseconds()
		switch {
		case roundTrip <= expected && after.ObjectiveMicros != rest:
			rt.Fatal("a shorter round trip changed the objective")
		case rest > 0 && after.ObjectiveMicros < rest-rest/excessDivisor:
			rt.Fatal("the objective was reduced by more than a quarter")
		case rest > 0 && after.ObjectiveMicros < rest-max(0, roundTrip-expected).Microseconds():
			rt.Fatal("the objective was reduced by more than the excess")
		}
	})
}
