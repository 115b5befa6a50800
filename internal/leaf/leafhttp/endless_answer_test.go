package leafhttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/memorybudget/memorytest"
)

// endlessAnswer is an answer that repeats one part without an end.
type endlessAnswer struct {
	begin, repeated string
}

// startEndlessLeaf starts a leaf that answers each request on each connection with the answer, and returns its address.
func startEndlessLeaf(t testing.TB, answer endlessAnswer) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer.serve(conn)
		}
	}()
	return listener.Addr().String()
}

// serve sends the answer after the header of a request.
func (a endlessAnswer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request := bufio.NewReader(conn)
	for line := ""; line != "\r\n"; {
		var err error
		if line, err = request.ReadString('\n'); err != nil {
			return
		}
	}
	memorytest.Flood(conn, a.begin, a.repeated)
}

// TestHeaderWithoutEndEndsItsAttempt guards against a leaf's header without an end, which filled the memory of each node
// that sent it a request, so that the platform killed the node and with it the requests of all other callers.
func TestHeaderWithoutEndEndsItsAttempt(t *testing.T) {
	is := is.New(t)
	address := startEndlessLeaf(t, endlessAnswer{begin: "HTTP/1.1 200 OK\r\n", repeated: "1:\r\n"})
	f := newFixture(t, testConfig(), ok("other"))
	target := f.target()
	target.LeafID, target.Address = "endless", address
	var err error
	allocated := memorytest.AllocatedBy(func() { _, err = f.runAttempt(t.Context(), target, f.request(), f.deadline()) })
	var tooLarge *memorybudget.TooLargeError
	is.True(errors.As(err, &tooLarge))
	is.Equal(tooLarge.Part, memorybudget.Header)
	var broken *BrokenAnswerError
	is.True(errors.As(err, &broken)) // the leaf may have run the request
	is.True(allocated < maximumAllocated)
	response, err := f.do(t.Context(), f.request())
	is.NoErr(err)
	is.Equal(string(response.Body), "other")
}

// maximumAllocated bounds what reading an endless answer allocates. The parsed header takes 15 times its bytes, and 27 times while it is read, if its
// lines are short, and growing a body to its limit allocates less than six times the limit in all.
const maximumAllocated = 8 << 20

// Answers without an end, in each of their parts, end the attempt with an error, and what is allocated for them is bounded.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const okLine = "HTTP/1.1 200 OK\r\n"
	chunked := okLine + "Transfer-Encoding: chunked\r\n\r\n"
	begins := map[string]endlessAnswer{
		"status line":          {"HTTP/1.1 200 ", "x"},
		"protocol":             {"", "H"},
		"empty lines":          {"", "\r\n"},
		"header name":          {okLine, "x"},
		"header value":         {okLine + "x: ", "y"},
		"continued value":      {okLine + "x: y\r\n", " y\r\n"},
		"header lines":         {okLine, "x:\r\n"},
		"informational":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"informational header": {"HTTP/1.1 103 Early Hints\r\n", "x: y\r\n"},
		"body without length":  {okLine + "Connection: close\r\n\r\n", "b"},
		"chunks":               {chunked, "1\r\nb\r\n"},
		"chunk size":           {chunked, "0"},
		"chunk extension":      {chunked + "1;", "e"},
		"trailer":              {chunked + "0\r\n", "t: u\r\n"},
		"trailer line":         {chunked + "0\r\nt: ", "u"},
		"other requests":       {"", okLine + names.RequestID + ": other\r\nContent-Length: 1\r\n\r\nb"},
	}
	for name, answer := range begins {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			cfg := testConfig()
			cfg.MaximumAnswerBytes = 1 << 20
			f := newFixture(t, cfg, ok("other"))
			target := f.target()
			target.LeafID, target.Address = "endless", startEndlessLeaf(t, answer)
			var err error
			allocated := memorytest.AllocatedBy(func() { _, err = f.runAttempt(t.Context(), target, f.request(), f.deadline()) })
			is.True(err != nil)
			is.True(allocated < maximumAllocated)
		})
	}
}

// The limit holds for headers of any shape, and any header below it is accepted.
func TestHeaderLimitHoldsForAnyShape(t *testing.T) {
	f := newFixture(t, testConfig(), ok("other"))
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		limit := int64(rapid.IntRange(readBufferBytes, 16<<10).Draw(t, "limit"))
		lines := strings.Repeat("n: "+strings.Repeat("v", rapid.IntRange(0, 6000).Draw(t, "value"))+"\r\n", rapid.IntRange(0, 60).Draw(t, "lines"))
		head := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + lines + "\r\n"
		buffered := rapid.IntRange(0, min(len(head), readBufferBytes)).Draw(t, "buffered")
		reads := rapid.IntRange(1, 3000).Draw(t, "bytes per read")
		heads := memorybudget.NewHeadReader(io.MultiReader(strings.NewReader(head[:buffered]), &shortReader{strings.NewReader(head[buffered:]), reads}))
		reader := bufio.NewReaderSize(heads, readBufferBytes)
		if buffered > 0 {
			_, err := reader.Peek(buffered)
			is.NoErr(err)
		}
		f.pool.cfg.MaximumHeaderBytes = limit
		_, err := (&connection{pool: f.pool, heads: heads, reader: reader}).readHead("GET", &memorybudget.Reservation{})
		var tooLarge *memorybudget.TooLargeError
		is.Equal(errors.As(err, &tooLarge), int64(len(head)) > limit)
	})
}

// shortReader reads at most a number of bytes at a time.
type shortReader struct {
	source io.Reader
	most   int
}

func (r *shortReader) Read(buffer []byte) (int, error) {
	return r.source.Read(buffer[:min(len(buffer), r.most)])
}
