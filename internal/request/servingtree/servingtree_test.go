package servingtree

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
)

// handler is a Handler whose Gather is a function.
type handler func(ctx context.Context, request Request, send func(Answer)) Reply

func (h handler) Gather(ctx context.Context, request Request, send func(Answer)) Reply {
	return h(ctx, request, send)
}

// echo answers with the ID of the request.
func echo(_ context.Context, request Request, _ func(Answer)) Reply {
	return Reply{Answer: &Answer{Stamps: []string{request.ID}, Records: []byte(request.ID)}}
}

// untilCancelled returns when the request is cancelled.
func untilCancelled(ctx context.Context, _ Request, _ func(Answer)) Reply {
	<-ctx.Done()
	return Reply{}
}

// testConfig returns the default configuration with timeouts that do not expire during a test.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.WriteTimeout = 10 * time.Second
	cfg.ConnectTimeout = 10 * time.Second
	return cfg
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func serve(t *testing.T, cfg Config, work handler) (server *Server, address string) {
	t.Helper()
	listener := listen(t)
	server = NewServer(cfg, work)
	go server.Serve(listener)
	return server, listener.Addr().String()
}

func newClient(t *testing.T, cfg Config) *Client {
	t.Helper()
	client := NewClient(cfg)
	t.Cleanup(client.Close)
	return client
}

// result waits for the end of a call.
func result(t *testing.T, call *Call) Result {
	t.Helper()
	select {
	case ended := <-call.Done():
		return ended
	case <-time.After(time.Minute):
		t.Fatal("the call did not end within a minute")
		return Result{}
	}
}

// Concurrent calls share a connection, and each receives its own reply, for any order of the replies.
func TestConcurrentRepliesReachTheirCalls(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(), func(ctx context.Context, request Request, send func(Answer)) Reply {
		time.Sleep(time.Duration(len(request.ID)*7%5) * time.Millisecond)
		return echo(ctx, request, send)
	})
	client := newClient(t, testConfig())
	var running sync.WaitGroup
	for number := range 200 {
		running.Go(func() {
			id := strings.Repeat("x", number)
			ended := result(t, client.Start(address, Request{ID: id}))
			if ended.Err != nil || ended.Reply.Answer == nil || ended.Reply.Answer.Stamps[0] != id {
				t.Errorf("call %d received %+v", number, ended)
			}
		})
	}
	running.Wait()
	is.Equal(len(client.sessions), 1)
}

// The intermediate acknowledges a request when it starts, and every probe.
func TestRequestAndProbesAreAcknowledged(t *testing.T) {
	is := is.New(t)
	_, address := serve(t, testConfig(), untilCancelled)
	call := newClient(t, testConfig()).Start(address, Request{ID: "a"})
	<-call.Acks()
	call.Probe()
	<-call.Acks()
	is.True(call.Cancel())
}

// Partial receives the parts that have arrived, and Done receives the remaining parts.
func TestPartialAnswerPrecedesTheReply(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	_, address := serve(t, testConfig(), func(_ context.Context, _ Request, send func(Answer)) Reply {
		send(Answer{Stamps: []string{"a", ""}})
		<-release
		return Reply{Answer: &Answer{Stamps: []string{"", "b"}}}
	})
	call := newClient(t, testConfig()).Start(address, Request{ID: "a"})
	is.Equal((<-call.Partial()).Stamps, []string{"a", ""})
	close(release)
	is.Equal(result(t, call).Reply.Answer.Stamps, []string{"", "b"})
}

// The intermediate cancels a request if its call is cancelled, the client is closed or the connection is lost.
func TestGatherIsCancelledWithItsCall(t *testing.T) {
	ends := map[string]func(client *Client, call *Call){
		"cancelled":     func(_ *Client, call *Call) { call.Cancel() },
		"client closed": func(client *Client, _ *Call) { client.Close() },
		"connection lost": func(client *Client, call *Call) {
			_ = call.session.conn.socket.(*net.TCPConn).SetLinger(0)
			call.session.conn.close()
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			_, address := serve(t, testConfig(), func(ctx context.Context, _ Request, _ func(Answer)) Reply {
				<-ctx.Done()
				close(ended)
				return Reply{}
			})
			client := newClient(t, testConfig())
			call := client.Start(address, Request{ID: "a"})
			<-call.Acks()
			end(client, call)
			<-ended
		})
	}
}

// During a planned stop the server declines new requests and answers the requests in flight.
func TestPlannedStopDeclinesNewRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	server, address := serve(t, testConfig(), func(ctx context.Context, request Request, send func(Answer)) Reply {
		<-release
		return echo(ctx, request, send)
	})
	client := newClient(t, testConfig())
	before := client.Start(address, Request{ID: "before"})
	<-before.Acks()
	server.DeclineNew()
	is.Equal(result(t, client.Start(address, Request{ID: "after"})).Reply.Decline, Stopping)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(t.Context()) }()
	close(release)
	is.Equal(result(t, before).Reply.Answer.Stamps, []string{"before"})
	is.NoErr(<-stopped)
	is.True(result(t, client.Start(address, Request{ID: "late"})).Err != nil)
}

// The type of the error says whether the request may have run.
func TestErrorTypeSaysWhetherTheRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	var neverSent *NeverSentError
	var broken *BrokenError
	client := newClient(t, testConfig())

	refusing := listen(t)
	_ = refusing.Close()
	call := client.Start(refusing.Addr().String(), Request{ID: "a"})
	is.True(errors.As(result(t, call).Err, &neverSent))
	is.True(!call.Cancel())

	closing := listen(t)
	go func() {
		connection, err := closing.Accept()
		if err != nil {
			return
		}
		_, _ = bufio.NewReader(connection).ReadString('\n')
		_ = connection.Close()
	}()
	is.True(errors.As(result(t, client.Start(closing.Addr().String(), Request{ID: "a"})).Err, &broken))

	client.Close()
	is.True(errors.As(result(t, client.Start(closing.Addr().String(), Request{ID: "a"})).Err, &neverSent))
}

// DropSilent closes the connection to an intermediate that sends nothing, but not before it was silent for the given
// time.
func TestSilentConnectionIsClosed(t *testing.T) {
	is := is.New(t)
	silent := listen(t) // the kernel accepts the connection, but no goroutine reads it
	client := newClient(t, testConfig())
	address := silent.Addr().String()
	call := client.Start(address, Request{ID: "a"})
	for !call.isAt(written) {
		time.Sleep(time.Millisecond)
	}
	client.DropSilent(address, time.Hour, io.ErrNoProgress)
	select {
	case ended := <-call.Done():
		t.Fatalf("the call ended before the connection was silent long enough: %v", ended.Err)
	default:
	}
	client.DropSilent(address, 0, io.ErrNoProgress)
	var broken *BrokenError
	is.True(errors.As(result(t, call).Err, &broken))
	is.True(errors.Is(broken, io.ErrNoProgress))
	is.True(call.Cancel())
}

// The server and the client refuse requests beyond their limits, and the client refuses lines beyond MaximumLineBytes.
func TestRequestsBeyondTheLimitsAreRefused(t *testing.T) {
	is := is.New(t)
	limited := testConfig()
	limited.MaximumRequests = 2
	_, address := serve(t, limited, untilCancelled)
	client := newClient(t, testConfig())
	for range 2 {
		<-client.Start(address, Request{ID: "a"}).Acks()
	}
	is.Equal(result(t, client.Start(address, Request{ID: "b"})).Reply.Decline, Busy)

	bounded := newClient(t, limited)
	for range 2 {
		<-bounded.Start(address, Request{ID: "a"}).Acks()
	}
	var full *FullError
	is.True(errors.As(result(t, bounded.Start(address, Request{ID: "b"})).Err, &full))

	small := testConfig()
	small.MaximumLineBytes = 1024
	var tooLong *LineTooLongError
	is.True(errors.As(result(t, newClient(t, small).Start(address, Request{Body: make([]byte, 4096)})).Err, &tooLong))
}

// Lines that can't be decoded or have another version end the connection; lines with an unknown number are ignored.
func TestInvalidLinesEndTheConnection(t *testing.T) {
	is := is.New(t)
	invalid := map[string]string{
		"not JSON":      "HTTP/1.1 400 Bad Request\r\n\r\n",
		"other version": `{"v":2,"n":1,"reply":{"answer":{"stamps":["x"]}}}` + "\n",
		"too long":      strings.Repeat("x", 8<<10) + "\n",
	}
	for name, text := range invalid {
		cfg := testConfig()
		cfg.MaximumLineBytes = 4 << 10
		ended := result(t, newClient(t, cfg).Start(scripted(t, text), Request{ID: "a"}))
		var broken *BrokenError
		if !errors.As(ended.Err, &broken) {
			t.Errorf("%s: %+v", name, ended)
		}
	}
	foreign := `{"v":1,"n":99,"reply":{"answer":{"stamps":["foreign"]}}}` + "\n" + `{"v":1,"n":99,"accepted":true}` + "\n"
	own := `{"v":1,"n":1,"reply":{"answer":{"stamps":["own"]}}}` + "\n"
	call := newClient(t, testConfig()).Start(scripted(t, foreign+own+own), Request{ID: "a"})
	is.Equal(result(t, call).Reply.Answer.Stamps, []string{"own"})
	is.Equal(len(call.Acks()), 0)
}

// scripted starts an intermediate that answers the first line with the given text.
func scripted(t *testing.T, text string) (address string) {
	t.Helper()
	listener := listen(t)
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = connection.Close() })
		_, _ = bufio.NewReader(connection).ReadString('\n')
		_, _ = io.WriteString(connection, text)
	}()
	return listener.Addr().String()
}

// A failure reaches the root with the code, execution, message and retry time.
func TestFailureReachesRoot(t *testing.T) {
	is := is.New(t)
	sent := failure.New(failure.Overloaded, failure.NotRun, "100%% busy").WithRetryAfter(250 * time.Millisecond)
	_, address := serve(t, testConfig(), func(context.Context, Request, func(Answer)) Reply { return Reply{Failure: NewFailure(sent)} })
	ended := result(t, newClient(t, testConfig()).Start(address, Request{ID: "a"}))
	got := failure.From(ended.Reply.Failure.Err())
	is.Equal(got.Code, sent.Code)
	is.Equal(got.Execution, sent.Execution)
	is.Equal(got.Message, sent.Message)
	is.Equal(got.RetryAfter, sent.RetryAfter)
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{}.Validate())), 5)
}

// Any input either decodes to a line of this version or returns an error.
func FuzzDecode(f *testing.F) {
	for _, l := range []line{
		{Version: version, Number: 1, Request: &Request{ID: "a", Shards: []int{1, 2}}},
		{Version: version, Number: 2, Cancel: true},
		{Version: version, Number: 3, Reply: &Reply{Answer: &Answer{Stamps: []string{"a", ""}, Records: []byte("r")}, Partial: true}},
	} {
		encoded, err := json.Marshal(l)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, encoded []byte) {
		l, err := decode(encoded)
		if err == nil && l.Version != version {
			t.Fatal(fmt.Sprint("decoded a line of version ", l.Version))
		}
	})
}
