package leafhttp

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// hopHeaders are the headers that apply to a single connection or are set by encode. They are never forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
}

// ForwardedHeaders returns the headers of a message that are forwarded: all except the hop-by-hop headers, the headers
// named in the Connection header, and the dropped ones.
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

// encode replaces the contents of the buffer with the request line and headers for one attempt. The parameter expected
// is the name that the leaf must have, and remaining is the time until the deadline.
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
