package leafhttp

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// hopHeaders concern one connection only and are never forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// ForwardedHeaders returns the headers of a message that are forwarded: all but the hop-by-hop
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
	forwarded := make(http.Header, len(header))
	for name, values := range header {
		if !hopHeaders[name] && !named[name] {
			forwarded[name] = values
		}
	}
	return forwarded
}

// encode writes the request line and headers for one attempt, replacing the contents of the buffer. Expected is the name
// that the leaf must have, remaining the time until the deadline.
func (r *Request) encode(buffer *bytes.Buffer, names httpnames.Names, expected string, remaining time.Duration) {
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
	writeHeader(buffer, names.RequestID, r.ID)
	writeHeader(buffer, names.DeadlineMillis, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	writeHeader(buffer, names.ExpectedIncarnation, expected)
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
