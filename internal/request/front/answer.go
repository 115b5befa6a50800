package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/request/gateway"
)

// failureBody is the JSON body of a failure.
type failureBody struct {
	Code      failure.Code `json:"code"`
	Execution string       `json:"execution"`
	Field     string       `json:"field,omitempty"`
	Message   string       `json:"message"`
}

// writeAnswer writes the answer of a leaf, or a gathered answer with the headers that describe its parts.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, answer *gateway.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Stamps != nil {
		header.Set(s.names.PartStamps, strings.Join(answer.Stamps, ", "))
		if answer.Missing > 0 {
			header.Set(s.names.MissingParts, strconv.Itoa(answer.Missing))
		}
	}
	if _, hasType := header["Content-Type"]; !hasType {
		// A nil value prevents net/http from setting a type that the leaf did not send.
		header["Content-Type"] = nil
	}
	if r.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.send(w, answer.Status, answer.Body)
}

// writeFailure writes a failure, with its Retry-After header in seconds.
func (s *Server) writeFailure(w http.ResponseWriter, err error) {
	failed := failure.From(err)
	body, encodeErr := json.Marshal(failureBody{
		Code: failed.Code, Execution: failed.Execution.String(), Field: failed.Field, Message: failed.Message,
	})
	if encodeErr != nil {
		body = nil
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if failed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failed.RetryAfter.Seconds(), 'f', -1, 64))
	}
	s.send(w, statusOf(failed), body)
}

// send writes a response. While the node is not ready it sets Connection: close, because callers with open connections
// would otherwise stay with a node that can't serve them.
func (s *Server) send(w http.ResponseWriter, status int, body []byte) {
	if !s.Ready() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	if len(body) > largeAnswerBytes {
		defer s.limitWriteTime(w)()
	}
	// An error means that the caller has closed the connection, or didn't read the answer in time.
	if _, err := w.Write(body); err != nil {
		return
	}
}

// largeAnswerBytes is the size of an answer above which its caller must read it in time. A smaller one fits into the buffers
// of the connection.
const largeAnswerBytes = 64 << 10

// limitWriteTime closes the connection of a response if it isn't written within the write timeout, since an answer that its
// caller doesn't read holds memory. The returned function ends the limit.
func (s *Server) limitWriteTime(w http.ResponseWriter) (end func()) {
	controller := http.NewResponseController(w)
	if err := controller.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return func() {}
	}
	return func() {
		// An error means that the connection is closed.
		_ = controller.SetWriteDeadline(time.Time{})
	}
}

// statusOf returns the HTTP status of a failure. 503 guarantees that the request did not run and never will. A request
// that may have run gets 504 after its deadline and 502 otherwise.
func statusOf(failed *failure.Failure) int {
	switch {
	case failed.Code == failure.UnknownRoute:
		return http.StatusNotFound
	case failed.Code == failure.TooLarge && failed.Field == headerField:
		return http.StatusRequestHeaderFieldsTooLarge
	case failed.Code == failure.TooLarge:
		return http.StatusRequestEntityTooLarge
	case failed.Code == failure.InvalidField:
		return http.StatusBadRequest
	case failed.Execution == failure.NotRun:
		return http.StatusServiceUnavailable
	case failed.Code == failure.DeadlineExceeded:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
