package leafhttp

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Request is what a leaf is sent. It is shared by all attempts and never changed.
type Request struct {
	// ID is the caller's own id of its try.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	// Header holds what is passed on from the caller, see PassedOn.
	Header http.Header
	Body   []byte
	// HasBody is set when the caller sent a body, be it an empty one.
	HasBody bool
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
}

// Response is a whole answer of the leaf that was asked.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotExecuted is the leaf's word that it did not run the request.
	NotExecuted bool
	// Load is the leaf's own word on its load; nil when it said nothing.
	Load *Load
	// Leaving says that the leaf asked for its connection to be closed.
	Leaving bool
}

// Load is a leaf's own word on how busy it is.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// ForwardedHeaders gives the headers that are for more than one connection: all but the hop-by-hop
// ones, those that the Connection header names, and the given ones.
func ForwardedHeaders(header http.Header, dropped ...string) http.Header {
	named := map[string]bool{}
	for _, value := range header["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range dropped {
		named[name] = true
	}
	passed := make(http.Header, len(header))
	for name, values := range header {
		if !hopHeaders[name] && !named[name] {
			passed[name] = values
		}
	}
	return passed
}

// encode writes the request line and headers for one attempt, over what the buffer holds.
func (r *Request) encode(buffer *bytes.Buffer, dialect httpnames.Names, incarnation string, remaining time.Duration) {
	buffer.Reset()
	buffer.WriteString(r.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(r.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(r.Host)
	buffer.WriteString("\r\n")
	for name, values := range r.Header {
		for _, value := range values {
			writeHeader(buffer, name, value)
		}
	}
	writeHeader(buffer, dialect.RequestID, r.ID)
	writeHeader(buffer, dialect.DeadlineMillis, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	writeHeader(buffer, dialect.ExpectedIncarnation, incarnation)
	if r.HasBody {
		writeHeader(buffer, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	buffer.WriteString("\r\n")
}

func writeHeader(buffer *bytes.Buffer, name, value string) {
	buffer.WriteString(name)
	buffer.WriteString(": ")
	buffer.WriteString(value)
	buffer.WriteString("\r\n")
}
