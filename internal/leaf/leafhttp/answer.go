package leafhttp

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// maximumForeignAnswers is how many answers to other requests are skipped on a connection.
const maximumForeignAnswers = 2

// receive reads answers until the one to the request, and reports whether the connection is reusable; it is not after
// answers to other requests, which are skipped.
func (c *connection) receive(request *Request) (*Response, bool, error) {
	names := c.pool.names
	for foreign := 0; ; foreign++ {
		raw, err := c.readHead(request.Method)
		if err != nil {
			return nil, false, err
		}
		body, err := readBody(raw, c.pool.config.MaximumAnswerBytes)
		if err != nil {
			return nil, false, err
		}
		id := raw.Header.Get(names.RequestID)
		// A leaf that sends the request's id in any answer sends it in all.
		if id != request.ID && (id != "" || c.namesRequests) {
			if foreign >= maximumForeignAnswers || raw.Close {
				return nil, false, &ForeignAnswerError{RequestID: id}
			}
			continue
		}
		c.namesRequests = c.namesRequests || id != ""
		c.idleLimit = parseIdleLimit(raw.Header, c.pool.config.IdleTimeout)
		return newResponse(names, raw, body), foreign == 0 && !raw.Close, nil
	}
}

// readHead reads the status line and headers of a final answer, skipping interim ones.
func (c *connection) readHead(method string) (*http.Response, error) {
	for {
		raw, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case raw.StatusCode == http.StatusSwitchingProtocols:
			return nil, &UnexpectedStatusError{Status: raw.StatusCode}
		case raw.StatusCode >= http.StatusOK:
			return raw, nil
		}
	}
}

func readBody(raw *http.Response, limit int64) ([]byte, error) {
	if raw.ContentLength > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	if raw.ContentLength > 0 && raw.Body != http.NoBody {
		body := make([]byte, raw.ContentLength)
		_, err := io.ReadFull(raw.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(raw.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, &AnswerTooLargeError{Limit: limit}
	}
	return body, nil
}

func newResponse(names httpnames.Names, raw *http.Response, body []byte) *Response {
	return &Response{
		Status:      raw.StatusCode,
		Header:      raw.Header,
		Body:        body,
		NotExecuted: raw.Header.Get(names.NotExecuted) != "" || raw.StatusCode == http.StatusMisdirectedRequest,
		Load:        parseLoad(raw.Header.Get(names.ServerLoad)),
		Leaving:     raw.Close,
	}
}

// A leaf reports its load in this many numbers. The last, which is optional, is how slow the leaf's machine is now; it
// is not used.
const (
	minimumLoadFields = 3
	maximumLoadFields = 4
)

// parseLoad parses the load that a leaf reports; nil if it is malformed.
func parseLoad(text string) *Load {
	var figures [maximumLoadFields]int
	count := 0
	for field := range strings.SplitSeq(text, ",") {
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || figure < 0 || count == maximumLoadFields {
			return nil
		}
		figures[count] = figure
		count++
	}
	if count < minimumLoadFields {
		return nil
	}
	return &Load{Running: figures[0], Waiting: figures[1], Slots: figures[2]}
}

// parseIdleLimit returns how long the leaf lets a connection be idle, by its Keep-Alive header.
func parseIdleLimit(header http.Header, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return otherwise
}
