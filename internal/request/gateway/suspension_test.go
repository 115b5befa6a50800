package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
)

// deadlineRecorder is a LeafCaller that records the deadline of each attempt.
type deadlineRecorder struct {
	scriptedLeafs
	mu        sync.Mutex
	deadlines []time.Time
}

func (d *deadlineRecorder) Start(target leafhttp.Target, request *leafhttp.Request, deadline time.Time, done leafhttp.Done) context.CancelCauseFunc {
	d.mu.Lock()
	d.deadlines = append(d.deadlines, deadline)
	d.mu.Unlock()
	return d.scriptedLeafs.Start(target, request, deadline, done)
}

// A request whose deadline passes while the machine is suspended ends when it resumes.
func TestRequestEndsIfDeadlinePassesDuringSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil }})
		time.AfterFunc(50*time.Millisecond, func() { g.Resumed(5 * time.Second) })
		began := time.Now()
		_, err := g.Serve(t.Context(), newRequest("/single/1"))
		is.True(failure.Is(err, failure.DeadlineExceeded))
		is.Equal(failure.From(err).Execution, failure.Unknown)
		is.Equal(time.Since(began), 50*time.Millisecond)
	})
}

// A request that has time left continues, and its later attempts get only the time that is left.
func TestSuspensionShortensLaterAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slept = 300 * time.Millisecond
		leafs := &deadlineRecorder{}
		leafs.answer = func(string) (time.Duration, *leafhttp.Response, error) {
			leafs.mu.Lock()
			defer leafs.mu.Unlock()
			if len(leafs.deadlines) == 1 {
				return 60 * time.Millisecond, refused(503), nil
			}
			return time.Millisecond, answered(200, "x"), nil
		}
		g, _ := newGateway(t, leafs)
		time.AfterFunc(50*time.Millisecond, func() { g.Resumed(slept) })
		_, err := g.Serve(t.Context(), newRequest("/single/1"))
		is.NoErr(err)
		is.Equal(len(leafs.deadlines), 2)
		is.Equal(leafs.deadlines[0].Sub(leafs.deadlines[1]), slept)
		is.Equal(len(g.inFlight.executions), 0)
	})
}
