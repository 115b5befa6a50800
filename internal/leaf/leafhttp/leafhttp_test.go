package leafhttp

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

var names = httpnames.Default()

// fixture is a leaf and a pool that sends requests to it.
type fixture struct {
	t    *testing.T
	leaf *countingLeaf
	pool *Pool
	next atomic.Int64
}

// testConfig returns the defaults with a connect timeout that is never reached, even on a busy machine.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.ConnectTimeout = time.Minute
	return cfg
}

func newFixture(t *testing.T, cfg Config, answer func(httpleaf.Request) httpleaf.Answer) *fixture {
	t.Helper()
	leaf := startCountingLeaf(t, "leaf-1", answer)
	pool := New(cfg, names, nil)
	t.Cleanup(pool.Close)
	return &fixture{t: t, leaf: leaf, pool: pool}
}

func (f *fixture) target() Target {
	return Target{LeafID: f.leaf.ID, Address: f.leaf.Address(), Connections: 4}
}

func (f *fixture) request() *Request {
	id := "request-" + strconv.FormatInt(f.next.Add(1), 10)
	return &Request{ID: id, Method: http.MethodGet, Target: "/x/1?q=a%20b", Host: "h.example", Header: http.Header{"X-Other": {"1"}}}
}

// deadline returns a deadline that no attempt reaches, even on a busy machine.
func (f *fixture) deadline() time.Time { return time.Now().Add(time.Minute) }

func (f *fixture) do(ctx context.Context, request *Request) (*Response, error) {
	return f.runAttempt(ctx, f.target(), request, time.Now().Add(5*time.Second))
}

// runAttempt runs an attempt to its end. Cancelling the context cancels the attempt.
func (f *fixture) runAttempt(ctx context.Context, target Target, request *Request, deadline time.Time) (*Response, error) {
	type result struct {
		response *Response
		err      error
	}
	ended := make(chan result, 1)
	cancel := f.pool.Start(target, request, deadline, func(response *Response, err error) { ended <- result{response, err} })
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	got := <-ended
	return got.response, got.err
}

func ok(body string) func(httpleaf.Request) httpleaf.Answer {
	return func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Body: []byte(body)} }
}

func TestRequestIsForwardedUnchangedAndConnectionIsReused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	for range 3 {
		request := f.request()
		response, err := f.do(t.Context(), request)
		is.NoErr(err)
		is.Equal(string(response.Body), "hello")
		is.Equal(response.Header.Get(names.ResponseStamp), "leaf-1."+request.ID)
	}
	opened, _ := f.leaf.Connections()
	is.Equal(opened, 1)
	request := f.leaf.Requests()[0]
	is.Equal(request.Target, "/x/1?q=a%20b")
	is.Equal(request.Host, "h.example")
	is.Equal(request.Incarnation, "leaf-1")
	is.Equal(request.Header.Get("X-Other"), "1")
	is.True(request.Deadline > 4*time.Second && request.Deadline <= 5*time.Second)
}

// An invalid answer is rejected, and a connection whose state is uncertain after an answer is not reused.
func TestMalformedAnswers(t *testing.T) {
	foreign := []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + names.RequestID + ": other\r\n\r\nold")
	cases := map[string]struct {
		answer     httpleaf.Answer
		body       string // expected; empty if an error is expected
		secondOpen int    // expected number of connections opened after a second request
	}{
		"foreign answer first":  {httpleaf.Answer{Body: []byte("own"), Before: foreign}, "own", 2},
		"extra bytes after it":  {httpleaf.Answer{Body: []byte("own"), After: foreign}, "own", 2},
		"only a foreign answer": {httpleaf.Answer{Body: []byte("own"), RequestID: "other", Close: true}, "", 2},
		"broken off":            {httpleaf.Answer{Body: []byte("own body"), BreakOff: 3}, "", 2},
		"not HTTP":              {httpleaf.Answer{Body: []byte("own"), Before: []byte("garbage\r\n\r\n")}, "", 2},
		"no length":             {httpleaf.Answer{Body: []byte("own"), Unframed: true}, "own", 2},
		"connection: close":     {httpleaf.Answer{Body: []byte("own"), Close: true}, "own", 2},
		"short keep-alive":      {httpleaf.Answer{Body: []byte("own"), KeepAliveSeconds: 1}, "own", 1},
		"informational first":   {httpleaf.Answer{Body: []byte("own"), Before: []byte("HTTP/1.1 103 Early Hints\r\n\r\n")}, "own", 1},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer { return tt.answer })
			response, err := f.do(t.Context(), f.request())
			if tt.body == "" {
				var broken *BrokenAnswerError
				is.True(errors.As(err, &broken)) // the request was sent, so the leaf may have run it
			} else {
				is.NoErr(err)
				is.Equal(string(response.Body), tt.body)
			}
			_, _ = f.do(t.Context(), f.request())
			opened, _ := f.leaf.Connections()
			is.Equal(opened, tt.secondOpen)
		})
	}
}

func TestOtherIncarnationRefusesRequest(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	target := f.target()
	target.LeafID = "leaf-0"
	response, err := f.runAttempt(t.Context(), target, f.request(), time.Now().Add(time.Second))
	is.NoErr(err)
	is.True(response.NotExecuted)
	is.Equal(response.Status, http.StatusMisdirectedRequest)
}

func TestFailedDialIsNeverSent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	f.leaf.Stop()
	_, err := f.do(t.Context(), f.request())
	var neverSent *NeverSentError
	is.True(errors.As(err, &neverSent))
	_, err = f.runAttempt(t.Context(), f.target(), f.request(), time.Now().Add(-time.Second))
	is.True(errors.As(err, &neverSent))
}

// A connection that the leaf closed while it was idle is not reused.
func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	_, err := f.do(t.Context(), f.request())
	is.NoErr(err)
	address := f.leaf.Address()
	f.leaf.Stop()
	time.Sleep(20 * time.Millisecond)
	_, err = f.runAttempt(t.Context(), Target{LeafID: "leaf-1", Address: address}, f.request(), time.Now().Add(time.Second))
	var neverSent *NeverSentError
	is.True(errors.As(err, &neverSent))
}

func TestCancelClosesConnection(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Silent: true} })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := f.do(ctx, f.request())
	is.True(err != nil)
	for range 100 {
		if _, closed := f.leaf.Connections(); closed == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Fail() // the leaf did not see the connection close within 1 s
}

// A superseded attempt keeps its connection only if its answer is received within the linger timeout.
func TestSupersededAttemptLingers(t *testing.T) {
	for name, tt := range map[string]struct {
		delay  time.Duration
		opened int
	}{"in time": {60 * time.Millisecond, 1}, "late": {time.Second, 2}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := testConfig()
			cfg.LingerTimeout = 300 * time.Millisecond
			first := true
			var mu sync.Mutex
			f := newFixture(t, cfg, func(httpleaf.Request) httpleaf.Answer {
				mu.Lock()
				defer mu.Unlock()
				answer := httpleaf.Answer{Body: []byte("x")}
				if first {
					answer.Delay, first = tt.delay, false
				}
				return answer
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(20*time.Millisecond, func() { cancel(ErrSuperseded) })
			_, _ = f.do(ctx, f.request())
			_, err := f.do(t.Context(), f.request())
			is.NoErr(err)
			opened, _ := f.leaf.Connections()
			is.Equal(opened, tt.opened)
		})
	}
}

// A body that is too long to be written with the headers arrives complete.
func TestLongBodyIsSentCompletely(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, testConfig(), ok("hello"))
	request := f.request()
	request.Method, request.HasBody = http.MethodPost, true
	request.Body = bytes.Repeat([]byte("b"), 100_000)
	response, err := f.do(t.Context(), request)
	is.NoErr(err)
	is.Equal(string(response.Body), "hello")
	is.Equal(len(f.leaf.Requests()[0].Body), 100_000)
}

func TestTooLargeAnswerIsRejected(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	cfg.MaximumAnswerBytes = 1024
	f := newFixture(t, cfg, ok(string(bytes.Repeat([]byte("x"), 2000))))
	_, err := f.do(t.Context(), f.request())
	var tooLarge *memorybudget.TooLargeError
	is.True(errors.As(err, &tooLarge))
}

func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	is := is.New(t)
	passed := ForwardedHeaders(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=1"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"x"}, "Te": {"trailers"}, "X-Kept": {"1", "2"}, "X-Dropped": {"1"},
	}, "X-Dropped")
	is.Equal(len(passed), 1)
	is.Equal(len(passed["X-Kept"]), 2)
}

func TestParseLoad(t *testing.T) {
	is := is.New(t)
	is.Equal(*parseLoad("3, 0,8"), Load{Running: 3, Slots: 8})
	is.Equal(*parseLoad("3,0,8, 250"), Load{Running: 3, Slots: 8})
	for _, text := range []string{"", "1,2", "1,2,x", "-1,2,3", "1,2,3,x", "1,2,3,-4", "1,2,3,4,5"} {
		is.True(parseLoad(text) == nil)
	}
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{IdleReserve: -1, LingerTimeout: -1}.Validate())), 7)
}

func FuzzParseLoad(f *testing.F) {
	f.Add("3,0,8")
	f.Add(",,")
	f.Fuzz(func(t *testing.T, text string) {
		if load := parseLoad(text); load != nil && (load.Running < 0 || load.Waiting < 0 || load.Slots < 0) {
			t.Fatalf("parseLoad(%q) = %v with a negative value", text, load)
		}
	})
}

// After a leaf has sent a request ID, an answer without one is not accepted.
func TestAnswerWithoutRequestIDIsForeignAfterOneWithID(t *testing.T) {
	is := is.New(t)
	unnamed := []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
	answers := 0
	f := newFixture(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		answers++
		if answers == 2 {
			return httpleaf.Answer{Body: []byte("own"), Before: unnamed}
		}
		return httpleaf.Answer{Body: []byte("own")}
	})
	for range 2 {
		response, err := f.do(t.Context(), f.request())
		is.NoErr(err)
		is.Equal(string(response.Body), "own")
	}
}
