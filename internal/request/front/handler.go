package front

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/gateway"
)

// The values of a failure's field that are not header names.
const (
	headerField = "header"
	bodyField   = "body"
)

// serve handles one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	connection, isKnown := r.Context().Value(connectionKey{}).(*callerConnection)
	var reservation memorybudget.Reservation
	if isKnown {
		s.timeouts.stopHeaderTimer(connection.conn)
		reservation = connection.reserve()
	}
	held := &memorybudget.Hold{}
	defer held.Release()
	defer held.Keep(&reservation)
	request, err := s.read(w, r, arrived, &reservation)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	if isKnown {
		request.RoundTrip, request.ConnectTime = connection.networkTimes(arrived)
	}
	request.Leaf.Memory = held
	answer, err := s.backend.Serve(r.Context(), request)
	if err != nil {
		s.writeFailure(w, err)
		return
	}
	s.writeAnswer(w, r, answer)
}

// read reads and validates a request. It checks in this order, and fails with:
//
//	TOO_LARGE           if the header exceeds MaximumHeaderBytes
//	INVALID_FIELD       if the deadline header is not a number of milliseconds
//	DEADLINE_TOO_SHORT  if the caller has no time left
//	TOO_LARGE           if the body exceeds MaximumBodyBytes
//	OVERLOADED          if the body doesn't fit into the memory for requests
//	INVALID_FIELD       if the body can't be read
//
// The memory of the body is added to the reservation.
func (s *Server) read(w http.ResponseWriter, r *http.Request, arrived time.Time, reservation *memorybudget.Reservation) (*gateway.Request, error) {
	limits := s.backend.Limits()
	if size := headerBytes(r); size > limits.HeaderBytes() {
		return nil, tooLarge(headerField, int64(size), int64(limits.HeaderBytes()))
	}
	timeout, err := s.callerTimeout(r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, limits.BodyBytes(), reservation)
	if err != nil {
		return nil, err
	}
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	id := r.Header.Get(s.names.RequestID)
	if id == "" {
		id = uuid.NewString()
	}
	return &gateway.Request{
		Leaf: leafhttp.Request{
			ID: id, Method: r.Method, Target: target, Host: r.Host, Body: body,
			Header:  leafhttp.ForwardedHeaders(r.Header, s.names.RequestID, s.names.DeadlineMillis, s.names.ExpectedIncarnation),
			HasBody: len(body) > 0 || r.ContentLength >= 0 && r.Header.Get("Content-Length") != "" || len(r.TransferEncoding) > 0,
		},
		Path: path, Caller: callerAddress(r), Arrived: arrived, CallerTimeout: timeout,
	}, nil
}

// headerBytes returns the approximate size of a request's header on the wire.
func headerBytes(r *http.Request) int {
	const lineOverhead = 4 // a colon, a space and the end of the line
	size := len(r.Method) + len(r.RequestURI) + len(r.Host) + lineOverhead
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + lineOverhead
		}
	}
	return size
}

// callerTimeout returns the timeout in the request's deadline header, 0 if it has none.
func (s *Server) callerTimeout(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(s.names.DeadlineMillis)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil || millis < 0 {
		return 0, failure.Invalid(s.names.DeadlineMillis, "%q is not a number of milliseconds", text)
	}
	if millis == 0 {
		return 0, failure.New(failure.DeadlineTooShort, failure.NotRun, "the caller has no time left")
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// readBody reads the body of a request. It fails if the body exceeds the limit, in bytes, or doesn't fit into memory.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, reservation *memorybudget.Reservation) ([]byte, error) {
	body, err := memorybudget.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit, reservation)
	var tooLong *memorybudget.TooLargeError
	var tooLongRead *http.MaxBytesError
	var exceeded *memorybudget.ExceededError
	switch {
	case errors.As(err, &tooLong), errors.As(err, &tooLongRead):
		w.Header().Set("Connection", "close") // the rest of the body isn't read
		return nil, tooLarge(bodyField, max(limit+1, r.ContentLength), limit)
	case errors.As(err, &exceeded):
		w.Header().Set("Connection", "close")
		return nil, exceeded.Refusal()
	case err != nil:
		return nil, failure.Invalid(bodyField, "can't be read: %v", err)
	}
	return body, nil
}

// tooLarge returns the failure of a request with a header or body that exceeds its limit.
func tooLarge(field string, size, limit int64) error {
	exceeded := failure.New(failure.TooLarge, failure.NotRun, "%d bytes exceed the maximum of %d bytes", size, limit)
	exceeded.Field = field
	return exceeded
}

// callerAddress returns the caller's address without the port, which differs between connections.
func callerAddress(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
