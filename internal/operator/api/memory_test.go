package api

import (
	"bytes"
	"compress/gzip"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/memorybudget/memorytest"
)

// TestCallsStayWithinBudget guards against calls whose headers and messages together fill the memory of a node. A call
// that doesn't fit is refused as not run, and others are served.
func TestCallsStayWithinBudget(t *testing.T) {
	is := is.New(t)
	engine := newTestEngine(t)
	engine.SetReady()
	budget := memorybudget.Config{LimitBytes: 1 << 40, RequestBytes: 1 << 20}.NewRequests(nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := NewServer(NewCallerHandler(CallerDeps{Engine: engine, Memory: budget}))
	go Serve(server, listener, zap.NewNop())
	t.Cleanup(func() { _ = server.Close() })
	send := func(body io.Reader, header http.Header) (*http.Response, error) {
		request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/portgauge.search.v1.SearchService/Search", body)
		is.NoErr(err)
		request.Header = header
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		return response, nil
	}
	post := func(body io.Reader, header http.Header) *http.Response {
		response, err := send(body, header)
		is.NoErr(err)
		return response
	}
	// A client that is still sending may get a reset in place of the answer.
	isRefused := func(body io.Reader, header http.Header) bool {
		response, err := send(body, header)
		return err != nil || response.StatusCode != http.StatusOK
	}
	search := `{"service":"s","limit":5}`
	is.Equal(post(strings.NewReader(search), http.Header{}).StatusCode, http.StatusOK)
	many := http.Header{}
	for range 10_000 {
		many.Add("n", "")
	}
	response := post(strings.NewReader(search), many)
	is.Equal(response.StatusCode, http.StatusTooManyRequests)
	is.Equal(response.Header.Get("Retry-After"), "1")
	// A long message ends with an error, compressed or not.
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	memorytest.Flood(writer, `{"service":"`, "x")
	is.NoErr(writer.Close())
	allocated := memorytest.AllocatedBy(func() {
		is.True(isRefused(&packed, http.Header{"Content-Encoding": {"gzip"}}))
		reader, sender := io.Pipe()
		go func() { memorytest.Flood(sender, `{"service":"`, "x"); _ = sender.Close() }()
		is.True(isRefused(reader, http.Header{}))
	})
	is.True(allocated < 32<<20)
	is.Equal(post(strings.NewReader(search), http.Header{}).StatusCode, http.StatusOK)
}
