package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// sent is a request of a client.
type sent struct {
	id, method, path, host string
	size                   int
	chunked                bool
	deadline               time.Duration
	// authorization names the caller; it may be empty.
	authorization string
}

// result is what the client saw.
type result struct {
	status   int
	header   http.Header
	body     []byte
	err      error
	sentAll  bool
	sentAt   time.Time
	took     time.Duration
	isClosed bool
}

// connection is a client's connection to a node.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	uses   int
}

func open(address string) (*connection, error) { return openFrom("127.0.0.1", address) }

// openFrom opens a connection from a loopback address.
func openFrom(from, address string) (*connection, error) {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	conn, err := dialer.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer.
func (c *connection) do(s sent) result {
	c.uses++
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Body-Size: %d\r\n", s.method, s.path, s.host, s.id, s.deadline.Milliseconds(), s.size)
	if s.authorization != "" {
		fmt.Fprintf(&head, "Authorization: %s\r\n", s.authorization)
	}
	body := bodyOf(s.id, s.size)
	switch {
	case s.chunked && s.size > 0:
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		half := len(body) / 2
		fmt.Fprintf(&head, "%x\r\n%s\r\n", half, body[:half])
		if half == 0 {
			head.Reset()
		}
		fmt.Fprintf(&head, "%x\r\n%s\r\n0\r\n\r\n", len(body)-half, body[half:])
	case s.size > 0 || s.method == "POST":
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", s.size)
		head.Write(body)
	default:
		head.WriteString("\r\n")
	}
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(s.deadline + 4*time.Second))
	r := result{sentAt: began}
	_, r.err = c.conn.Write(head.Bytes())
	if r.err != nil {
		r.took = time.Since(began)
		return r
	}
	r.sentAll = true
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: s.method})
	if err != nil {
		r.err, r.took = err, time.Since(began)
		return r
	}
	r.status, r.header = answer.StatusCode, answer.Header
	r.body, r.err = io.ReadAll(answer.Body)
	r.took = time.Since(began)
	r.isClosed = answer.Close
	return r
}

// stampOf returns the leaf in the stamp of an answer.
func stampOf(r result) string {
	stamp := r.header.Get("X-Response-Stamp")
	name, _, _ := strings.Cut(stamp, ".")
	return name
}
