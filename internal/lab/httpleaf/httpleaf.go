// Package httpleaf is a stand-in leaf that writes HTTP/1.1 byte by byte, so that it can answer as badly as a faulty leaf
// does.
//
// A Leaf owns its listener and a goroutine for each connection until Stop, and remembers every request.
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

// Answer is the answer of a leaf. The zero value is a signed, empty success.
type Answer struct {
	// Delay is the service time.
	Delay  time.Duration
	Status int
	Body   []byte
	// NotExecuted marks a refusal of a request that did not run.
	NotExecuted bool
	// Unsigned omits the signature.
	Unsigned bool
	// RequestID replaces the id that is echoed, unless it is empty.
	RequestID string
	// Unframed omits the length and ends the answer by closing the connection.
	Unframed bool
	// BreakOff closes the connection after so many bytes of the body, unless it is 0.
	BreakOff int
	// Silent sends nothing and keeps the connection open.
	Silent bool
	// Dropped closes the connection without an answer.
	Dropped bool
	// Crash stops the leaf with all of its connections after the delay, without an answer.
	Crash bool
	// Before is sent before the answer, After behind it.
	Before, After []byte
	// Close announces that the connection will be closed, and closes it.
	Close bool
	// KeepAliveSeconds is how long the connection may be idle, as announced to the caller; 0 announces nothing.
	KeepAliveSeconds int
	// Load is the value of the header with the leaf's load.
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
	// At is when it was read.
	At time.Time
}

// Leaf is one incarnation of a leaf; safe for concurrent use.
type Leaf struct {
	ID     string
	names  httpnames.Names
	answer func(Request) Answer

	listener net.Listener
	mutex    sync.Mutex
	requests []Request
	open     map[net.Conn]bool
}

// Start starts a leaf on a free address of the loopback interface. It calls answer for each request, concurrently.
func Start(id string, names httpnames.Names, answer func(Request) Answer) (*Leaf, error) {
	return StartAt("127.0.0.1:0", id, names, answer)
}

// StartAt starts a leaf on a given address.
func StartAt(address, id string, names httpnames.Names, answer func(Request) Answer) (*Leaf, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, id, names, answer), nil
}

// Serve starts a leaf that accepts connections of a listener until Stop, which closes the listener.
func Serve(listener net.Listener, id string, names httpnames.Names, answer func(Request) Answer) *Leaf {
	leaf := &Leaf{ID: id, names: names, answer: answer, listener: listener, open: map[net.Conn]bool{}}
	go leaf.accept()
	return leaf
}

// Address returns the address at which the leaf listens.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Stop closes the listener and all connections.
func (l *Leaf) Stop() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.open {
		_ = connection.Close()
	}
}

// Requests returns the requests so far, in order of their arrival.
func (l *Leaf) Requests() []Request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Request(nil), l.requests...)
}

func (l *Leaf) accept() {
	for {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mutex.Lock()
		l.open[connection] = true
		l.mutex.Unlock()
		go l.serve(connection)
	}
}

func (l *Leaf) serve(connection net.Conn) {
	defer func() {
		_ = connection.Close()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.open, connection)
	}()
	reader := bufio.NewReader(connection)
	for {
		request, err := l.read(reader)
		if err != nil || !l.reply(connection, reader, request) {
			return
		}
	}
}

func (l *Leaf) read(reader *bufio.Reader) (Request, error) {
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
		Deadline: time.Duration(millis) * time.Millisecond, At: time.Now(),
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests = append(l.requests, request)
	return request, nil
}

// reply sends the answer and reports whether the connection stays open.
func (l *Leaf) reply(connection net.Conn, reader *bufio.Reader, request Request) bool {
	if request.Incarnation != "" && request.Incarnation != l.ID {
		return l.send(connection, request, Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true})
	}
	answer := l.answer(request)
	if answer.Silent {
		_, _ = reader.Peek(1) // until the caller closes the connection
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
	return l.send(connection, request, answer)
}

func (l *Leaf) send(connection net.Conn, request Request, answer Answer) bool {
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
	_, err := connection.Write(content.Bytes())
	return err == nil && answer.BreakOff == 0 && !answer.Unframed && !answer.Close
}

func (l *Leaf) headers(request Request, answer Answer) [][2]string {
	id := request.ID
	if answer.RequestID != "" {
		id = answer.RequestID
	}
	headers := [][2]string{{l.names.RequestID, id}}
	add := func(wanted bool, name, value string) {
		if wanted {
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
