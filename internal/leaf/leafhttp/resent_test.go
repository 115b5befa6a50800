package leafhttp

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
)

// repeatingLeaf sends each refusal once more, late: before the next answer on the same connection.
type repeatingLeaf struct {
	mu sync.Mutex
	// refusals is how often each request is refused before it runs.
	refusals int
	// seen counts the arrivals by request ID, refused the refusals by connection.
	seen    map[string]int
	refused map[int][]byte
	ran     map[string]int
}

func newRepeatingLeaf(refusals int) *repeatingLeaf {
	return &repeatingLeaf{refusals: refusals, seen: map[string]int{}, refused: map[int][]byte{}, ran: map[string]int{}}
}

func (l *repeatingLeaf) answer(request httpleaf.Request) httpleaf.Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	late := l.refused[request.Connection]
	delete(l.refused, request.Connection)
	l.seen[request.ID]++
	if l.seen[request.ID] <= l.refusals {
		l.refused[request.Connection] = refusalOf(request.ID)
		return httpleaf.Answer{Status: http.StatusServiceUnavailable, NotExecuted: true, Before: late}
	}
	l.ran[request.ID]++
	return httpleaf.Answer{Body: []byte("own"), Before: late}
}

// refusalOf returns the bytes of a leaf's refusal of a request.
func refusalOf(id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.RequestID, id, names.NotExecuted)
}

// A request that a leaf refused is sent again to the same leaf, and the late copy of the refusal isn't taken for the
// answer, whatever the number of connections. Guards against a request that must not be repeated but runs twice, because
// its second run was taken as refused.
func TestLateRefusalIsNotTheAnswerToTheRetry(t *testing.T) {
	for _, allotment := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(allotment), func(t *testing.T) {
			is := is.New(t)
			leaf := newRepeatingLeaf(1)
			f := newFixture(t, testConfig(), leaf.answer)
			target := f.target()
			target.Connections = allotment
			request := f.request()
			request.AtMostOnce = true
			response, err := f.runAttempt(t.Context(), target, request, time.Now().Add(5*time.Second))
			is.NoErr(err)
			is.True(response.NotExecuted)
			response, err = f.runAttempt(t.Context(), target, request, time.Now().Add(5*time.Second))
			is.NoErr(err)
			is.True(!response.NotExecuted)
			is.Equal(string(response.Body), "own")
			is.Equal(leaf.ran[request.ID], 1)
			is.True(f.pool.OpenConnections() <= allotment)
		})
	}
}

// A retry that waits at the limit isn't handed the connection on which its request was refused: it gets a new one in its
// place. Guards against the same failure by the way of a released connection.
func TestWaitingRetryIsNotHandedItsConnection(t *testing.T) {
	is := is.New(t)
	busy := make(chan struct{})
	leaf := newRepeatingLeaf(1)
	f := newFixture(t, testConfig(), func(request httpleaf.Request) httpleaf.Answer {
		if request.Method == http.MethodPut {
			<-busy
			return httpleaf.Answer{}
		}
		return leaf.answer(request)
	})
	target := f.target()
	target.Connections = 1
	deadline := time.Now().Add(5 * time.Second)
	request, other := f.request(), f.request()
	other.Method = http.MethodPut
	response, err := f.runAttempt(t.Context(), target, request, deadline)
	is.NoErr(err)
	is.True(response.NotExecuted)
	ended := make(chan error, 1)
	f.pool.Start(target, other, deadline, func(_ *Response, err error) { ended <- err })
	retried := make(chan *Response, 1)
	f.pool.Start(target, request, deadline, func(response *Response, _ error) { retried <- response })
	close(busy)
	is.NoErr(<-ended)
	response = <-retried
	is.True(response != nil)
	is.True(!response.NotExecuted)
	is.Equal(f.pool.OpenConnections(), 1)
}

// No connection carries the same request twice, whatever the retries, the allotment and the number of requests at the
// same time, and every request is answered. Guards against an answer that is matched by an ID that isn't unique on its
// connection.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leaf := newRepeatingLeaf(rapid.IntRange(0, 4).Draw(rt, "refusals"))
		allotment := rapid.IntRange(1, 4).Draw(rt, "allotment")
		requests := rapid.IntRange(1, 12).Draw(rt, "requests")
		delays := rapid.SliceOfN(rapid.IntRange(0, 2), requests, requests).Draw(rt, "delays in ms")
		f := newFixture(t, testConfig(), func(request httpleaf.Request) httpleaf.Answer {
			answer := leaf.answer(request)
			answer.Delay = time.Duration(len(request.ID)%3) * time.Millisecond
			return answer
		})
		target := f.target()
		target.Connections = allotment
		var running sync.WaitGroup
		for index := range requests {
			request := f.request()
			running.Go(func() {
				time.Sleep(time.Duration(delays[index]) * time.Millisecond)
				if message := f.retryUntilRun(target, request, leaf.refusals); message != "" {
					rt.Error(message)
				}
			})
		}
		running.Wait()
		carried := map[string]bool{}
		for _, request := range f.leaf.Requests() {
			key := fmt.Sprint(request.Connection, request.ID)
			if carried[key] {
				rt.Fatalf("connection %d carried %s twice", request.Connection, request.ID)
			}
			carried[key] = true
		}
		if open := f.pool.OpenConnections(); open > allotment {
			rt.Fatalf("%d connections are open, allotted are %d", open, allotment)
		}
		f.leaf.Stop()
		f.pool.Close()
	})
}

// retryUntilRun sends a request until the leaf runs it, which it must do after the given number of refusals. It returns
// what went wrong, empty if nothing.
func (f *fixture) retryUntilRun(target Target, request *Request, refusals int) string {
	for attempt := range refusals + 1 {
		response, err := f.runAttempt(f.t.Context(), target, request, time.Now().Add(5*time.Second))
		if err != nil {
			return err.Error()
		}
		if response.NotExecuted != (attempt < refusals) {
			return fmt.Sprintf("attempt %d of %s ended with status %d", attempt+1, request.ID, response.Status)
		}
	}
	return ""
}
