package httpdrain

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

const shutdownTimeout = 30 * time.Second

// startServer starts a server that responds to every request with status 200. Its drain timeout exceeds shutdownTimeout.
func startServer(t *testing.T, quietPeriod time.Duration) (server *Server, address string) {
	t.Helper()
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	server = New(Config{QuietPeriod: quietPeriod, DrainTimeout: 2 * shutdownTimeout}, &http.Server{Handler: handler})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if err := server.Serve(listener); err != nil {
			t.Error(err)
		}
	}()
	return server, listener.Addr().String()
}

// startShutdown shuts the server down in the background and returns once it accepts no more connections. The result of the
// shutdown is sent on the returned channel. A shutdown that takes shutdownTimeout fails.
func startShutdown(server *Server, address string) <-chan error {
	shutdownErr := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		shutdownErr <- errors.Join(server.Shutdown(ctx), ctx.Err())
	}()
	for isListening(address) {
		time.Sleep(time.Millisecond)
	}
	return shutdownErr
}

// isListening reports whether a TCP connection to the address succeeds.
func isListening(address string) bool {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// get sends a request, on an idle connection if the client has one, and returns the response after reading its body.
func get(t *testing.T, client *http.Client, address string) *http.Response {
	t.Helper()
	is := is.New(t)
	response, err := client.Get("http://" + address)
	is.NoErr(err)
	_, err = io.Copy(io.Discard, response.Body)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	return response
}

// Guards against closing an open connection without a response to a request that arrives during a shutdown.
func TestRequestDuringShutdownIsAnswered(t *testing.T) {
	is := is.New(t)
	server, address := startServer(t, shutdownTimeout)
	client := &http.Client{Transport: &http.Transport{}}
	is.True(!get(t, client, address).Close)
	shutdownErr := startShutdown(server, address)
	is.True(get(t, client, address).Close)
	is.NoErr(<-shutdownErr)
}

// Guards against idle connections that delay a shutdown until the drain timeout.
func TestIdleConnectionIsClosedAfterQuietPeriod(t *testing.T) {
	is := is.New(t)
	server, address := startServer(t, time.Millisecond)
	conn, err := net.Dial("tcp4", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")
	is.NoErr(err)
	buffer := make([]byte, 1024)
	_, err = conn.Read(buffer)
	is.NoErr(err)
	is.NoErr(<-startShutdown(server, address))
	_, err = conn.Read(buffer)
	is.Equal(err, io.EOF)
}

// Guards against a shutdown that fails because the listener is closed twice.
func TestListenerIsClosedOnce(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	closeOnce := &closeOnceListener{Listener: listener}
	is.NoErr(closeOnce.Close())
	is.NoErr(closeOnce.Close())
}
