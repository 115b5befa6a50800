package leafhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// maximumForeignAnswers is the number of answers to other requests that are skipped before an answer is accepted.
const maximumForeignAnswers = 2

// receive reads the answer to the request and reports whether the connection is reusable. It skips answers to other
// requests, after which the connection is not reusable. The memory of the answer is kept by the request.
func (c *connection) receive(request *Request) (*Response, bool, error) {
	names := c.pool.names
	reservation := c.account.Reserve()
	defer reservation.Release()
	for foreign := 0; ; foreign++ {
		reservation.Release()
		raw, err := c.readHead(request.Method, &reservation)
		if err != nil {
			return nil, false, err
		}
		body, err := readBody(raw, c.pool.cfg.MaximumAnswerBytes, &reservation)
		if err != nil {
			return nil, false, err
		}
		id := raw.Header.Get(names.RequestID)
		// A leaf that sends the request ID in any answer sends it in all answers.
		if id != request.ID && (id != "" || c.sendsRequestIDs) {
			if foreign >= maximumForeignAnswers || raw.Close {
				return nil, false, &ForeignAnswerError{RequestID: id}
			}
			continue
		}
		c.sendsRequestIDs = c.sendsRequestIDs || id != ""
		c.idleLimit = parseIdleLimit(raw.Header, c.pool.cfg.IdleTimeout)
		request.Memory.Keep(&reservation)
		return newResponse(names, raw, body), foreign == 0 && !raw.Close, nil
	}
}

// readHead reads the status line and headers of a final answer, skipping informational (1xx) answers. All of them together
// may have MaximumHeaderBytes.
func (c *connection) readHead(method string, reservation *memorybudget.Reservation) (*http.Response, error) {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.heads.Begin(buffered, c.pool.cfg.MaximumHeaderBytes, reservation); err != nil {
		return nil, err
	}
	defer c.heads.End()
	for {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, c.heads.Exceeded(err)
		}
		switch {
		case raw.StatusCode == http.StatusSwitchingProtocols:
			return nil, &UnexpectedStatusError{Status: raw.StatusCode}
		case raw.StatusCode >= http.StatusOK:
			return raw, nil
		}
	}
}

func readBody(raw *http.Response, limit int64, reservation *memorybudget.Reservation) ([]byte, error) {
	if raw.Body == http.NoBody { // the length may be that of another answer, as with HEAD
		return nil, nil
	}
	return memorybudget.ReadBody(raw.Body, raw.ContentLength, limit, reservation)
}

func newResponse(names httpnames.Names, raw *http.Response, body []byte) *Response {
	return &Response{
		Status:          raw.StatusCode,
		Header:          raw.Header,
		Body:            body,
		NotExecuted:     raw.Header.Get(names.NotExecuted) != "" || raw.StatusCode == http.StatusMisdirectedRequest,
		Load:            parseLoad(raw.Header.Get(names.ServerLoad)),
		CloseConnection: raw.Close,
	}
}

// Bounds of the number of fields in a load report. The optional last field, the current run time as a percentage of the
// usual one, is not used.
const (
	minimumLoadFields = 3
	maximumLoadFields = 4
)

// parseLoad parses a leaf's load report. It returns nil if the report is malformed.
func parseLoad(text string) *Load {
	var values [maximumLoadFields]int
	count := 0
	for field := range strings.SplitSeq(text, ",") {
		value, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || value < 0 || count == maximumLoadFields {
			return nil
		}
		values[count] = value
		count++
	}
	if count < minimumLoadFields {
		return nil
	}
	return &Load{Running: values[0], Waiting: values[1], Slots: values[2]}
}

// parseIdleLimit returns how long a connection may be idle by the leaf's Keep-Alive header, or the fallback without
// one.
func parseIdleLimit(header http.Header, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return fallback
}
