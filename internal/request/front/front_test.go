package front

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/routing"
)

var names = httpnames.Default()

// scriptedBackend is a Backend whose answers are returned by a function.
type scriptedBackend struct {
	serve  func(ctx context.Context, request *gateway.Request) (*gateway.Answer, error)
	ready  atomic.Bool
	limits atomic.Pointer[routing.Limits]
}

func (b *scriptedBackend) Serve(ctx context.Context, request *gateway.Request) (*gateway.Answer, error) {
	return b.serve(ctx, request)
}
func (b *scriptedBackend) Ready() bool            { return b.ready.Load() }
func (b *scriptedBackend) Limits() routing.Limits { return *b.limits.Load() }

// startServer serves a backend on a free port.
func startServer(t *testing.T, serve func(ctx context.Context, request *gateway.Request) (*gateway.Answer, error)) (*Server, *scriptedBackend, string) {
	t.Helper()
	backend := &scriptedBackend{serve: serve}
	backend.ready.Store(true)
	backend.limits.Store(&routing.Limits{MaximumHeaderBytes: 4096, MaximumBodyBytes: 1000})
	server := NewServer(backend, names, zap.NewNop())
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	t.Cleanup(func() { _ = server.http.Close() })
	return server, backend, listener.Addr().String()
}

// exchange sends a raw request on a new connection and returns the response and its body.
func exchange(t *testing.T, address, content string) (*http.Response, string) {
	t.Helper()
	connection, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	if _, err := io.WriteString(connection, content); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

func getRequest(headers ...string) string {
	return "GET /a/%2Fb?q=%20 HTTP/1.1\r\nHost: h.example\r\n" + strings.Join(append(headers, ""), "\r\n") + "\r\n"
}

func TestRequestReachesGatewayUnchanged(t *testing.T) {
	is := is.New(t)
	var seen *gateway.Request
	_, _, address := startServer(t, func(_ context.Context, request *gateway.Request) (*gateway.Answer, error) {
		seen = request
		return &gateway.Answer{Status: 201, Header: http.Header{"X-Leaf": {"1"}}, Body: []byte("body")}, nil
	})
	response, body := exchange(t, address, "POST /a/%2Fb?q=%20 HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"+
		"Portgauge-Request-Id: r1\r\nPortgauge-Deadline-Millis: 800\r\nX-Kept: 1\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	is.Equal(response.StatusCode, 201)
	is.Equal(body, "body")
	is.Equal(response.Header.Get("X-Leaf"), "1")
	is.Equal(response.Header.Get("Content-Type"), "") // the leaf sent no content type
	is.Equal(seen.Leaf.Target, "/a/%2Fb?q=%20")
	is.Equal(seen.Path, "/a/%2Fb")
	is.Equal(seen.Leaf.ID, "r1")
	is.Equal(string(seen.Leaf.Body), "abc")
	is.True(seen.Leaf.HasBody)
	is.Equal(seen.CallerTimeout, 800*time.Millisecond)
	is.Equal(seen.Leaf.Header, http.Header{"X-Kept": {"1"}})
}

func TestGatheredAnswerHasPartHeaders(t *testing.T) {
	is := is.New(t)
	_, _, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) {
		return &gateway.Answer{Status: 200, Stamps: []string{"s1", "s2"}, Missing: 1, Body: []byte("records")}, nil
	})
	response, body := exchange(t, address, getRequest())
	is.Equal(response.Header.Get(names.PartStamps), "s1, s2")
	is.Equal(response.Header.Get(names.MissingParts), "1")
	is.Equal(body, "records")
}

// The status is 503 only if the request did not run.
func TestStatusOfFailures(t *testing.T) {
	cases := []struct {
		failed     *failure.Failure
		status     int
		retryAfter string
	}{
		{failure.New(failure.UnknownRoute, failure.NotRun, ""), 404, ""},
		{failure.New(failure.Overloaded, failure.NotRun, "").WithRetryAfter(50 * time.Millisecond), 503, "0.05"},
		{failure.New(failure.NotReady, failure.NotRun, "").WithRetryAfter(time.Second), 503, "1"},
		{failure.New(failure.DeadlineExceeded, failure.Unknown, ""), 504, ""},
		{failure.New(failure.DeadlineExceeded, failure.Ran, ""), 504, ""},
		{failure.New(failure.IncompleteCoverage, failure.Ran, ""), 502, ""},
		{failure.New(failure.LeafFailed, failure.Unknown, ""), 502, ""},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.failed.Code, test.status), func(t *testing.T) {
			is := is.New(t)
			_, _, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) { return nil, test.failed })
			response, body := exchange(t, address, getRequest())
			is.Equal(response.StatusCode, test.status)
			is.Equal(response.Header.Get("Retry-After"), test.retryAfter)
			is.True(strings.Contains(body, string(test.failed.Code)))
		})
	}
}

func TestInvalidRequestsNameTheField(t *testing.T) {
	cases := map[string]struct {
		content string
		status  int
		field   string
	}{
		"deadline":   {getRequest("Portgauge-Deadline-Millis: soon"), 400, names.DeadlineMillis},
		"negative":   {getRequest("Portgauge-Deadline-Millis: -5"), 400, names.DeadlineMillis},
		"no time":    {getRequest("Portgauge-Deadline-Millis: 0"), 503, ""},
		"header":     {getRequest("X-Long: " + strings.Repeat("x", 5000)), 431, "header"},
		"body":       {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + strings.Repeat("x", 1001), 413, "body"},
		"two bodies": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, _, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) {
				t.Error("the request reached the gateway")
				return nil, nil
			})
			response, body := exchange(t, address, test.content)
			is.Equal(response.StatusCode, test.status)
			is.True(strings.Contains(body, test.field))
		})
	}
}

// A request is cancelled when its caller closes the connection.
func TestClosedConnectionCancelsRequest(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	_, _, address := startServer(t, func(ctx context.Context, _ *gateway.Request) (*gateway.Answer, error) {
		<-ctx.Done()
		close(ended)
		return nil, failure.New(failure.Cancelled, failure.Unknown, "")
	})
	connection, err := net.Dial("tcp4", address)
	is.NoErr(err)
	_, err = io.WriteString(connection, getRequest())
	is.NoErr(err)
	time.Sleep(20 * time.Millisecond)
	is.NoErr(connection.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		is.Fail() // the request was not cancelled
	}
}

// Once a planned stop begins, the node is not ready and its answers close connections, but requests in flight are
// answered.
func TestPlannedStopAnswersRequestsInFlight(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server, _, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) {
		<-release
		return &gateway.Answer{Status: 200, Body: []byte("whole")}, nil
	})
	ready := func() int {
		recorder := httptest.NewRecorder()
		server.ReadinessHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, names.ReadinessPath, nil))
		return recorder.Code
	}
	is.Equal(ready(), 200)
	bodies := make(chan string, 1)
	go func() {
		response, body := exchange(t, address, getRequest())
		bodies <- fmt.Sprintf("%t %s", response.Close, body)
	}()
	time.Sleep(50 * time.Millisecond)
	server.PrepareStop()
	is.Equal(ready(), 503)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	is.Equal(<-bodies, "true whole")
	is.NoErr(<-stopped)
}

// A request still in flight at the end of a planned stop is answered, and not with 503, since it may have run.
func TestPlannedStopAnswersCancelledRequests(t *testing.T) {
	is := is.New(t)
	server, _, address := startServer(t, func(ctx context.Context, _ *gateway.Request) (*gateway.Answer, error) {
		<-ctx.Done()
		return nil, failure.New(failure.Cancelled, failure.Unknown, "")
	})
	statuses := make(chan int, 1)
	go func() {
		response, _ := exchange(t, address, getRequest())
		statuses <- response.StatusCode
	}()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), answerReserve+100*time.Millisecond)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
	is.Equal(<-statuses, http.StatusBadGateway)
}

func TestServerIsNotReadyIfBackendIsNot(t *testing.T) {
	is := is.New(t)
	server, backend, _ := startServer(t, nil)
	backend.ready.Store(false)
	is.True(!server.Ready())
}

// Answers have the header Connection: close while the node is not ready, and only then.
func TestConnectionsAreClosedWhileNotReady(t *testing.T) {
	is := is.New(t)
	_, backend, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) {
		return &gateway.Answer{Status: http.StatusOK}, nil
	})
	get := "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	response, _ := exchange(t, address, get)
	is.True(!response.Close)
	backend.ready.Store(false)
	response, _ = exchange(t, address, get)
	is.True(response.Close)
	backend.ready.Store(true)
	response, _ = exchange(t, address, get)
	is.True(!response.Close)
}

// Changed limits apply to connections that are already open.
func TestChangedLimitsApplyToOpenConnections(t *testing.T) {
	is := is.New(t)
	_, backend, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) {
		return &gateway.Answer{Status: 200}, nil
	})
	connection, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	backend.limits.Store(&routing.Limits{IdleTimeoutMillis: 50, HeaderTimeoutMillis: 50})
	_, err = io.WriteString(connection, getRequest())
	is.NoErr(err)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.NoErr(connection.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // closed after the idle timeout

	slow, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer slow.Close()
	_, err = io.WriteString(slow, "GET / HTTP/1.1\r\nHost:")
	is.NoErr(err)
	is.NoErr(slow.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = bufio.NewReader(slow).ReadByte()
	is.Equal(err, io.EOF) // closed after the header timeout
}

// The header timeout does not apply to the body.
func TestHeaderTimeoutDoesNotApplyToBody(t *testing.T) {
	is := is.New(t)
	_, backend, address := startServer(t, func(_ context.Context, request *gateway.Request) (*gateway.Answer, error) {
		return &gateway.Answer{Status: 200, Body: request.Leaf.Body}, nil
	})
	backend.limits.Store(&routing.Limits{HeaderTimeoutMillis: 50})
	connection, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer connection.Close()
	_, err = io.WriteString(connection, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na")
	is.NoErr(err)
	time.Sleep(150 * time.Millisecond)
	_, err = io.WriteString(connection, "b")
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, 200)
}

func TestRoundTripIsMeasured(t *testing.T) {
	is := is.New(t)
	trips := make(chan time.Duration, 1)
	_, _, address := startServer(t, func(_ context.Context, request *gateway.Request) (*gateway.Answer, error) {
		trips <- request.RoundTrip
		return &gateway.Answer{Status: 200, Body: bytes.Repeat([]byte("x"), 10)}, nil
	})
	exchange(t, address, getRequest())
	is.True(<-trips > 0)
	is.Equal(roundTrip(nil), time.Duration(0))
}
