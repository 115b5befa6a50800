// Package httpleaf is a stand-in leaf for HTTP/1.1. It writes answers byte by byte, so it can send the malformed answers of a
// faulty leaf.
//
// Until Stop, a Leaf owns its listener and a goroutine for each connection. It records every request.
package httpleaf

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Answer is the answer of a leaf. The zero value is a signed success with an empty body.
type Answer struct {
	// Delay is the service time.
	Delay  time.Duration
	Status int
	Body   []byte
	// NotExecuted marks a refusal of a request that did not run.
	NotExecuted bool
	// Unsigned omits the signature.
	Unsigned bool
	// RequestID replaces the echoed request ID, unless it is empty.
	RequestID string
	// Unframed omits the Content-Length header and ends the answer by closing the connection.
	Unframed bool
	// BreakOff is the number of bytes of the body after which the leaf closes the connection; 0 sends the whole body.
	BreakOff int
	// Silent sends no answer and keeps the connection open.
	Silent bool
	// Dropped closes the connection without sending an answer.
	Dropped bool
	// Crash stops the leaf and closes all of its connections after the delay, without sending an answer.
	Crash bool
	// Before is sent before the answer, and After is sent after it.
	Before, After []byte
	// Close sends Connection: close and closes the connection after the answer.
	Close bool
	// KeepAliveSeconds is the idle timeout in the Keep-Alive header; 0 omits the header.
	KeepAliveSeconds int
	// Load is the value of the header that reports the leaf's load; empty omits the header.
	Load string
}

// Request is a request that a leaf received.
type Request struct {
	ID          string
	Method      string
	Target      string
	Host        string
	Incarnation string
	Header      http.Header
	Body        []byte
	Deadline    time.Duration
	// At is the time at which the request was read.
	At time.Time
	// Connection is the number of the connection that it was read from, counted from 1.
	Connection int
}

// Leaf is one incarnation of a leaf. It is safe for concurrent use.
type Leaf struct {
	ID     string
	names  httpnames.Names
	answer func(Request) Answer

	listener net.Listener
	mu       sync.Mutex
	requests []Request
	conns    map[net.Conn]bool
	accepted int
}

// Start starts a leaf on a free loopback address. It calls answer concurrently, once per request.
func Start(id string, names httpnames.Names, answer func(Request) Answer) (*Leaf, error) {
	return StartAt("127.0.0.1:0", id, names, answer)
}

// StartAt starts a leaf on the given address.
func StartAt(address, id string, names httpnames.Names, answer func(Request) Answer) (*Leaf, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, id, names, answer), nil
}

// Serve starts a leaf that accepts connections from a listener until Stop, which closes the listener.
func Serve(listener net.Listener, id string, names httpnames.Names, answer func(Request) Answer) *Leaf {
	leaf := &Leaf{ID: id, names: names, answer: answer, listener: listener, conns: map[net.Conn]bool{}}
	go leaf.accept()
	return leaf
}

// Address returns the listen address.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Stop closes the listener and all connections.
func (l *Leaf) Stop() {
	_ = l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.Close()
	}
}

// Requests returns the requests received so far, in order of arrival.
func (l *Leaf) Requests() []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Request(nil), l.requests...)
}

func (l *Leaf) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		l.accepted++
		number := l.accepted
		l.mu.Unlock()
		go l.serve(conn, number)
	}
}

func (l *Leaf) serve(conn net.Conn, number int) {
	defer func() {
		_ = conn.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := l.read(reader, number)
		if err != nil || !l.reply(conn, reader, request) {
			return
		}
	}
}

func (l *Leaf) read(reader *bufio.Reader, connection int) (Request, error) {
	read, err := http.ReadRequest(reader)
	if err != nil {
		return Request{}, err
	}
	body, err := io.ReadAll(read.Body)
	if err != nil {
		return Request{}, err
	}
	millis, _ := strconv.ParseInt(read.Header.Get(l.names.DeadlineMillis), 10, 64)
	request := Request{
		ID: read.Header.Get(l.names.RequestID), Method: read.Method, Target: read.RequestURI, Host: read.Host,
		Incarnation: read.Header.Get(l.names.ExpectedIncarnation), Header: read.Header, Body: body,
		Deadline: time.Duration(millis) * time.Millisecond, At: time.Now(), Connection: connection,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, request)
	return request, nil
}

// reply sends the answer and reports whether the connection stays open.
func (l *Leaf) reply(conn net.Conn, reader *bufio.Reader, request Request) bool {
	if request.Incarnation != "" && request.Incarnation != l.ID {
		return l.send(conn, request, Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true})
	}
	answer := l.answer(request)
	if answer.Silent {
		_, _ = reader.Peek(1) // wait until the caller closes the connection
		return false
	}
	if answer.Dropped {
		return false
	}
	time.Sleep(answer.Delay)
	if answer.Crash {
		l.Stop()
		return false
	}
	return l.send(conn, request, answer)
}

func (l *Leaf) send(conn net.Conn, request Request, answer Answer) bool {
	if answer.Status == 0 {
		answer.Status = http.StatusOK
	}
	var content bytes.Buffer
	content.Write(answer.Before)
	fmt.Fprintf(&content, "HTTP/1.1 %d %s\r\n", answer.Status, http.StatusText(answer.Status))
	for _, header := range l.headers(request, answer) {
		fmt.Fprintf(&content, "%s: %s\r\n", header[0], header[1])
	}
	content.WriteString("\r\n")
	body := answer.Body
	if answer.BreakOff > 0 {
		body = body[:answer.BreakOff]
	}
	content.Write(body)
	content.Write(answer.After)
	_, err := conn.Write(content.Bytes())
	return err == nil && answer.BreakOff == 0 && !answer.Unframed && !answer.Close
}

func (l *Leaf) headers(request Request, answer Answer) [][2]string {
	id := request.ID
	if answer.RequestID != "" {
		id = answer.RequestID
	}
	headers := [][2]string{{l.names.RequestID, id}}
	add := func(include bool, name, value string) {
		if include {
			headers = append(headers, [2]string{name, value})
		}
	}
	add(!answer.Unsigned && !answer.NotExecuted, l.names.ResponseStamp, l.ID+"."+id)
	add(answer.NotExecuted, l.names.NotExecuted, "1")
	add(answer.Load != "", l.names.ServerLoad, answer.Load)
	add(!answer.Unframed, "Content-Length", strconv.Itoa(len(answer.Body)))
	add(answer.Close || answer.Unframed, "Connection", "close")
	add(answer.KeepAliveSeconds > 0, "Keep-Alive", fmt.Sprintf("timeout=%d", answer.KeepAliveSeconds))
	return headers
}
