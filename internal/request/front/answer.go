package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/request/gateway"
)

// failureBody is the body of a failure's answer.
type failureBody struct {
	Code      failure.Code `json:"code"`
	Execution string       `json:"execution"`
	Field     string       `json:"field,omitempty"`
	Message   string       `json:"message"`
}

// writeAnswer sends a leaf's answer or a gathered one, unchanged.
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
	if _, isTyped := header["Content-Type"]; !isTyped {
		// Keeps net/http from guessing a type that the leaf did not name.
		header["Content-Type"] = nil
	}
	if r.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.send(w, answer.Status, answer.Body)
}

// writeFailure sends a failure, with its Retry-After in seconds.
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

// send sends an answer. A node that is not ready asks callers to close their connections: otherwise those that keep
// them would stay with a node that can't serve them, while new connections go elsewhere.
func (s *Server) send(w http.ResponseWriter, status int, body []byte) {
	if !s.Ready() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
	// An error means that the caller went away.
	if _, err := w.Write(body); err != nil {
		return
	}
}

// statusOf returns the HTTP status of a failure. 503 promises that the request did not run and never will; if that is
// not known, the status is 504 after the deadline and 502 otherwise.
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
