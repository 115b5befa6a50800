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
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

var names = httpnames.Default()

// bench is a leaf and a pool that asks it.
type bench struct {
	t    *testing.T
	leaf *countedLeaf
	pool *Pool
	next atomic.Int64
}

// testConfig is the default with time enough for opening a connection on a busy machine: whatever the machine does, no test but
// those of the timeout itself depends on it.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.ConnectTimeout = time.Minute
	return cfg
}

func newBench(t *testing.T, config Config, answer func(httpleaf.Request) httpleaf.Answer) *bench {
	t.Helper()
	leaf := startCountedLeaf(t, "leaf-1", answer)
	pool := New(config, names, nil)
	t.Cleanup(pool.Close)
	return &bench{t: t, leaf: leaf, pool: pool}
}

func (b *bench) target() Target {
	return Target{LeafID: b.leaf.ID, Address: b.leaf.Address(), Connections: 4}
}

func (b *bench) request() *Request {
	id := "request-" + strconv.FormatInt(b.next.Add(1), 10)
	return &Request{ID: id, Method: http.MethodGet, Target: "/x/1?q=a%20b", Host: "h.example", Header: http.Header{"X-Other": {"1"}}}
}

func (b *bench) do(ctx context.Context, request *Request) (*Response, error) {
	return b.ask(ctx, b.target(), request, time.Now().Add(5*time.Second))
}

// ask runs an attempt to its end; the end of the context cancels it.
func (b *bench) ask(ctx context.Context, target Target, request *Request, deadline time.Time) (*Response, error) {
	type result struct {
		response *Response
		err      error
	}
	ended := make(chan result, 1)
	cancel := b.pool.Start(target, request, deadline, func(response *Response, err error) { ended <- result{response, err} })
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	got := <-ended
	return got.response, got.err
}

func ok(body string) func(httpleaf.Request) httpleaf.Answer {
	return func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Body: []byte(body)} }
}

func TestRequestArrivesAsItWasSentAndTheConnectionIsKept(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	for range 3 {
		request := b.request()
		response, err := b.do(t.Context(), request)
		is.NoErr(err)
		is.Equal(string(response.Body), "hello")
		is.Equal(response.Header.Get(names.ResponseStamp), "leaf-1."+request.ID)
	}
	opened, _ := b.leaf.Connections()
	is.Equal(opened, 1)
	request := b.leaf.Requests()[0]
	is.Equal(request.Target, "/x/1?q=a%20b")
	is.Equal(request.Host, "h.example")
	is.Equal(request.Incarnation, "leaf-1")
	is.Equal(request.Header.Get("X-Other"), "1")
	is.True(request.Deadline > 4*time.Second && request.Deadline <= 5*time.Second)
}

// Answers after which the answer or the connection can't be used, and the expected results.
func TestBadAnswers(t *testing.T) {
	foreign := []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + names.RequestID + ": other\r\n\r\nold")
	cases := map[string]struct {
		answer     httpleaf.Answer
		body       string // expected; empty means an error
		secondOpen int    // connections opened after a second request
	}{
		"foreign answer first":      {httpleaf.Answer{Body: []byte("own"), Before: foreign}, "own", 2},
		"surplus bytes behind":      {httpleaf.Answer{Body: []byte("own"), After: foreign}, "own", 2},
		"only a foreign answer":     {httpleaf.Answer{Body: []byte("own"), RequestID: "other", Close: true}, "", 2},
		"broken off":                {httpleaf.Answer{Body: []byte("own body"), BreakOff: 3}, "", 2},
		"no bytes of the protocol":  {httpleaf.Answer{Body: []byte("own"), Before: []byte("garbage\r\n\r\n")}, "", 2},
		"no length":                 {httpleaf.Answer{Body: []byte("own"), Unframed: true}, "own", 2},
		"close asked for":           {httpleaf.Answer{Body: []byte("own"), Close: true}, "own", 2},
		"rest shorter than reserve": {httpleaf.Answer{Body: []byte("own"), KeepAliveSeconds: 1}, "own", 1},
		"informational first":       {httpleaf.Answer{Body: []byte("own"), Before: []byte("HTTP/1.1 103 Early Hints\r\n\r\n")}, "own", 1},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer { return one.answer })
			response, err := b.do(t.Context(), b.request())
			if one.body == "" {
				var broken *BrokenAnswerError
				is.True(errors.As(err, &broken)) // sent, so that it may have run
			} else {
				is.NoErr(err)
				is.Equal(string(response.Body), one.body)
			}
			_, _ = b.do(t.Context(), b.request())
			opened, _ := b.leaf.Connections()
			is.Equal(opened, one.secondOpen)
		})
	}
}

func TestAnotherIncarnationRefuses(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	target := b.target()
	target.LeafID = "leaf-0"
	response, err := b.ask(t.Context(), target, b.request(), time.Now().Add(time.Second))
	is.NoErr(err)
	is.True(response.NotExecuted)
	is.Equal(response.Status, http.StatusMisdirectedRequest)
}

func TestADeadPortIsProofThatNothingWasSent(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	b.leaf.Stop()
	_, err := b.do(t.Context(), b.request())
	var neverSent *NeverSentError
	is.True(errors.As(err, &neverSent))
	_, err = b.ask(t.Context(), b.target(), b.request(), time.Now().Add(-time.Second))
	is.True(errors.As(err, &neverSent))
}

// A connection that the leaf closed while it was idle is not used.
func TestClosedRestingConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	_, err := b.do(t.Context(), b.request())
	is.NoErr(err)
	address := b.leaf.Address()
	b.leaf.Stop()
	time.Sleep(20 * time.Millisecond)
	_, err = b.ask(t.Context(), Target{LeafID: "leaf-1", Address: address}, b.request(), time.Now().Add(time.Second))
	var neverSent *NeverSentError
	is.True(errors.As(err, &neverSent))
}

func TestCancellationClosesTheConnectionAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Silent: true} })
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	_, err := b.do(ctx, b.request())
	is.True(err != nil)
	for range 100 {
		if _, closed := b.leaf.Connections(); closed == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Fail() // the leaf never saw the close
}

// A superseded attempt keeps its connection if its answer comes soon, and only then.
func TestSupersededAttemptLingers(t *testing.T) {
	for name, one := range map[string]struct {
		delay  time.Duration
		opened int
	}{"soon": {60 * time.Millisecond, 1}, "late": {time.Second, 2}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := testConfig()
			config.LingerTimeout = 300 * time.Millisecond
			first := true
			var mu sync.Mutex
			b := newBench(t, config, func(httpleaf.Request) httpleaf.Answer {
				mu.Lock()
				defer mu.Unlock()
				answer := httpleaf.Answer{Body: []byte("x")}
				if first {
					answer.Delay, first = one.delay, false
				}
				return answer
			})
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(20*time.Millisecond, func() { cancel(ErrSuperseded) })
			_, _ = b.do(ctx, b.request())
			_, err := b.do(t.Context(), b.request())
			is.NoErr(err)
			opened, _ := b.leaf.Connections()
			is.Equal(opened, one.opened)
		})
	}
}

// A leaf may answer before it has read a long body: the connection is not used again.
func TestEarlyAnswerToALongBody(t *testing.T) {
	is := is.New(t)
	b := newBench(t, testConfig(), ok("hello"))
	request := b.request()
	request.Method, request.HasBody = http.MethodPost, true
	request.Body = bytes.Repeat([]byte("b"), 100_000)
	response, err := b.do(t.Context(), request)
	is.NoErr(err)
	is.Equal(string(response.Body), "hello")
	is.Equal(len(b.leaf.Requests()[0].Body), 100_000)
}

func TestOversizedAnswerIsRefused(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.MaximumAnswerBytes = 1024
	b := newBench(t, config, ok(string(bytes.Repeat([]byte("x"), 2000))))
	_, err := b.do(t.Context(), b.request())
	var tooLarge *AnswerTooLargeError
	is.True(errors.As(err, &tooLarge))
}

func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	is := is.New(t)
	passed := ForwardedHeaders(http.Header{
		"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=1"}, "Transfer-Encoding": {"chunked"},
		"Upgrade": {"x"}, "Te": {"trailers"}, "X-Kept": {"1", "2"}, "X-Dropped": {"1"},
	}, "X-Dropped")
	is.Equal(len(passed), 1)
	is.Equal(len(passed["X-Kept"]), 2)
}

func TestLoadIsReadOrLeft(t *testing.T) {
	is := is.New(t)
	is.Equal(*parseLoad("3, 0,8"), Load{Running: 3, Slots: 8})
	is.Equal(*parseLoad("3,0,8, 250"), Load{Running: 3, Slots: 8})
	for _, text := range []string{"", "1,2", "1,2,x", "-1,2,3", "1,2,3,x", "1,2,3,-4", "1,2,3,4,5"} {
		is.True(parseLoad(text) == nil)
	}
}

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{IdleReserve: -1, LingerTimeout: -1}.Validate())), 6)
}

func FuzzParseLoad(f *testing.F) {
	f.Add("3,0,8")
	f.Add(",,")
	f.Fuzz(func(t *testing.T, text string) {
		if load := parseLoad(text); load != nil && (load.Running < 0 || load.Waiting < 0 || load.Slots < 0) {
			t.Fatalf("%q gave %v", text, load)
		}
	})
}

// Once a leaf has sent a request's id, an answer without one is not accepted.
func TestUnnamedAnswerAfterNamedOnesIsForeign(t *testing.T) {
	is := is.New(t)
	unnamed := []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold")
	answers := 0
	b := newBench(t, testConfig(), func(httpleaf.Request) httpleaf.Answer {
		answers++
		if answers == 2 {
			return httpleaf.Answer{Body: []byte("own"), Before: unnamed}
		}
		return httpleaf.Answer{Body: []byte("own")}
	})
	for range 2 {
		response, err := b.do(t.Context(), b.request())
		is.NoErr(err)
		is.Equal(string(response.Body), "own")
	}
}
