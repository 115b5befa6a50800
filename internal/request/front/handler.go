package front

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/gateway"
)

// The parts of a request that failures name.
const (
	headerField = "header"
	bodyField   = "body"
)

// serve answers one request.
func (s *Server) serve(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	from, isKnown := request.Context().Value(callerKey{}).(*caller)
	if isKnown {
		// From here on the limit of the header does not hold: the body may take longer.
		s.guard.headerRead(from.connection)
	}
	asked, err := s.read(writer, request, arrived)
	if err != nil {
		s.writeFailure(writer, err)
		return
	}
	if isKnown {
		asked.RoundTrip, asked.ConnectTime = from.ways(arrived)
	}
	answer, err := s.backend.Serve(request.Context(), asked)
	if err != nil {
		s.writeFailure(writer, err)
		return
	}
	s.writeAnswer(writer, request, answer)
}

// read checks a request and reads its body.
func (s *Server) read(writer http.ResponseWriter, request *http.Request, arrived time.Time) (*gateway.Request, error) {
	limits := s.backend.Limits()
	if size := headerBytes(request); size > limits.HeaderBytes() {
		return nil, tooLarge(headerField, int64(size), int64(limits.HeaderBytes()))
	}
	patience, err := s.patience(request)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limits.BodyBytes()))
	var beyond *http.MaxBytesError
	switch {
	case errors.As(err, &beyond):
		return nil, tooLarge(bodyField, beyond.Limit+1, beyond.Limit)
	case err != nil:
		return nil, failure.Invalid(bodyField, "can't be read: %v", err)
	}
	target := request.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = request.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	id := request.Header.Get(s.dialect.RequestID)
	if id == "" {
		id = uuid.NewString()
	}
	return &gateway.Request{
		Leaf: leafhttp.Request{
			ID: id, Method: request.Method, Target: target, Host: request.Host, Body: body,
			Header:  leafhttp.PassedOn(request.Header, s.dialect.RequestID, s.dialect.DeadlineMillis, s.dialect.ExpectedIncarnation),
			HasBody: len(body) > 0 || request.ContentLength >= 0 && request.Header.Get("Content-Length") != "" || len(request.TransferEncoding) > 0,
		},
		Path: path, Caller: callerOf(request), Arrived: arrived, CallerTimeout: patience,
	}, nil
}

// callerOf gives the caller's address without the port, which is another one on each connection.
func callerOf(request *http.Request) string {
	host, _, err := net.SplitHostPort(request.RemoteAddr)
	if err != nil {
		return request.RemoteAddr
	}
	return host
}

// headerBytes is about the size of a request's header on the wire.
func headerBytes(request *http.Request) int {
	const lineOverhead = 4 // a colon, a space and the end of the line
	size := len(request.Method) + len(request.RequestURI) + len(request.Host) + lineOverhead
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return size
}

// patience reads how long the caller will wait; 0 when it does not say.
func (s *Server) patience(request *http.Request) (time.Duration, error) {
	text := request.Header.Get(s.dialect.DeadlineMillis)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || millis < 0 {
		return 0, failure.Invalid(s.dialect.DeadlineMillis, "%q is not a number of milliseconds", text)
	}
	if millis == 0 {
		return 0, failure.New(failure.DeadlineTooShort, failure.NotRun, "the caller has no time left")
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// writeAnswer sends a leaf's answer, or a gathered one, as it is.
func (s *Server) writeAnswer(writer http.ResponseWriter, request *http.Request, answer *gateway.Answer) {
	header := writer.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	if answer.Stamps != nil {
		header.Set(s.dialect.PartStamps, strings.Join(answer.Stamps, ", "))
		if answer.Missing > 0 {
			header.Set(s.dialect.MissingParts, strconv.Itoa(answer.Missing))
		}
	}
	if _, isTyped := header["Content-Type"]; !isTyped {
		// Keeps the library from guessing a type that the leaf did not name.
		header["Content-Type"] = nil
	}
	if request.Method != http.MethodHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	s.send(writer, answer.Status, answer.Body)
}

// failureBody is what callers are told of a failure.
type failureBody struct {
	Code      failure.Code `json:"code"`
	Execution string       `json:"execution"`
	Field     string       `json:"field,omitempty"`
	Message   string       `json:"message"`
}

// writeFailure sends a typed failure.
func (s *Server) writeFailure(writer http.ResponseWriter, err error) {
	failed := failure.From(err)
	body, encodeErr := json.Marshal(failureBody{
		Code: failed.Code, Execution: failed.Execution.String(), Field: failed.Field, Message: failed.Message,
	})
	if encodeErr != nil {
		body = nil
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if failed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(failed.RetryAfter.Seconds(), 'f', -1, 64))
	}
	s.send(writer, statusOf(failed), body)
}

// send sends an answer. While the node is not ready it asks for the connection to be closed: a caller that keeps
// its connections would stay with a node that can't serve it, though new ones go elsewhere.
func (s *Server) send(writer http.ResponseWriter, status int, body []byte) {
	if !s.Ready() {
		writer.Header().Set("Connection", "close")
	}
	writer.WriteHeader(status)
	// A caller that went away can't be told anything.
	if _, err := writer.Write(body); err != nil {
		return
	}
}

// tooLarge names a part of a request that is beyond the limits.
func tooLarge(field string, size, limit int64) error {
	beyond := failure.New(failure.TooLarge, failure.NotRun, "%d bytes; at most %d", size, limit)
	beyond.Field = field
	return beyond
}

// statusOf gives the HTTP status of a failure. 503 promises that the request did not run and
// never will; where that is not known, it is 502 or 504.
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
