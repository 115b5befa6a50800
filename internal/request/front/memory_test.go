package front

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/routing"
)

const testBudgetBytes = 2 << 20

// startLimitedServer serves empty answers within a budget of testBudgetBytes, and returns the budget and the address.
func startLimitedServer(t *testing.T, limits routing.Limits) (*memorybudget.Budget, string) {
	t.Helper()
	backend := &scriptedBackend{serve: func(context.Context, *gateway.Request) (*gateway.Answer, error) {
		return &gateway.Answer{Status: http.StatusOK}, nil
	}}
	backend.ready.Store(true)
	backend.limits.Store(&limits)
	server := NewServer(backend, names, zap.NewNop())
	budget := memorybudget.Config{LimitBytes: 1 << 40, RequestBytes: testBudgetBytes}.NewRequests(nil)
	server.SetMemory(budget)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(listener)
	t.Cleanup(func() { _ = server.http.Close() })
	return budget, listener.Addr().String()
}

// isReleased waits until nothing is held of a budget.
func isReleased(budget *memorybudget.Budget) bool {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if budget.Held() == 0 {
			return true
		}
	}
	return false
}

// TestHeadThatDoesNotFitClosesItsConnectionUnanswered guards against callers whose heads fill the memory of a node. The
// request wasn't read, so the caller may send it again; no status says otherwise.
func TestHeadThatDoesNotFitClosesItsConnectionUnanswered(t *testing.T) {
	is := is.New(t)
	budget, address := startLimitedServer(t, routing.Limits{MaximumHeaderBytes: 1 << 20})
	connection, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer connection.Close()
	is.NoErr(connection.SetDeadline(time.Now().Add(10 * time.Second)))
	go func() { _, _ = io.WriteString(connection, getRequest(strings.Repeat("n:\r\n", 100_000))) }()
	answer, err := io.ReadAll(connection)
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(string(answer), "")
	is.True(isReleased(budget))
	response, _ := exchange(t, address, getRequest())
	is.Equal(response.StatusCode, http.StatusOK)
}

// A body that doesn't fit is refused before it is read: the request hasn't run and may come back.
func TestBodyThatDoesNotFitIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	budget, address := startLimitedServer(t, routing.Limits{MaximumBodyBytes: 16 << 20})
	for _, framing := range []string{"Content-Length: 2000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n1e8480\r\n"} {
		response, body := exchange(t, address, "POST /a/b HTTP/1.1\r\nHost: h.example\r\n"+framing+strings.Repeat("b", 2_000_000))
		is.Equal(response.StatusCode, http.StatusServiceUnavailable)
		is.True(strings.Contains(body, `"code":"OVERLOADED","execution":"EXECUTION_STATE_NOT_RUN"`))
		is.Equal(response.Header.Get("Retry-After"), "0.2")
		is.True(isReleased(budget))
	}
}

// Heads without an end, on many connections at once, hold no more than the budget, and leave room for other callers.
func TestHeadsWithoutEndStayWithinBudget(t *testing.T) {
	is := is.New(t)
	budget, address := startLimitedServer(t, routing.Limits{})
	for range 30 {
		connection, err := net.Dial("tcp4", address)
		is.NoErr(err)
		defer connection.Close()
		go func() {
			_, _ = io.WriteString(connection, strings.TrimSuffix(getRequest(strings.Repeat("n:\r\n", 2000)), "\r\n"))
		}()
	}
	held := int64(0)
	for end := time.Now().Add(10 * time.Second); held == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		held = budget.Held()
	}
	for range 100 {
		held = max(held, budget.Held())
		time.Sleep(time.Millisecond)
	}
	is.True(held > 0 && held <= testBudgetBytes/2)
	response, _ := exchange(t, address, getRequest())
	is.Equal(response.StatusCode, http.StatusOK)
}

// TestUnreadAnswerIsGivenUp guards against callers that don't read their answers, which hold the memory of the answers as
// long as the connection lives.
func TestUnreadAnswerIsGivenUp(t *testing.T) {
	is := is.New(t)
	server, backend, address := startServer(t, func(context.Context, *gateway.Request) (*gateway.Answer, error) {
		return &gateway.Answer{Status: http.StatusOK, Body: make([]byte, 16<<20)}, nil
	})
	server.writeTimeout = 100 * time.Millisecond
	answered := make(chan struct{})
	serve := backend.serve
	backend.serve = func(ctx context.Context, request *gateway.Request) (*gateway.Answer, error) {
		context.AfterFunc(ctx, func() { close(answered) })
		return serve(ctx, request)
	}
	connection, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer connection.Close()
	_, err = io.WriteString(connection, getRequest())
	is.NoErr(err)
	select {
	case <-answered:
	case <-time.After(10 * time.Second):
		t.Fatal("the answer still waits for its caller")
	}
}
