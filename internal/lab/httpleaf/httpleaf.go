// Package httpleaf is a stand-in leaf that speaks HTTP/1.1 byte by byte, so that it can answer
// as badly as a leaf in trouble does.
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

// Answer is what a leaf sends back.
type Answer struct {
	// Delay is how long the leaf works.
	Delay  time.Duration
	Status int
	Body   []byte
	// NotExecuted says that the request was refused unrun.
	NotExecuted bool
	// Unsigned leaves the signature out.
	Unsigned bool
	// RequestID replaces the id that is echoed.
	RequestID string
	// Unframed leaves the length out and ends the answer with the connection.
	Unframed bool
	// BreakOff closes the connection after so many bytes of the body; 0 means not.
	BreakOff int
	// Silent sends nothing at all and keeps the connection.
	Silent bool
	// Dropped closes the connection without an answer.
	Dropped bool
	// Ends stops the leaf, with all of its connections, after the delay.
	Ends bool
	// Before is sent before the answer, After behind it.
	Before, After []byte
	// Close asks for the connection to be closed.
	Close bool
	// KeepAliveSeconds is how long the connection may rest; 0 says nothing.
	KeepAliveSeconds int
	// Load is the leaf's word on its load, as it stands in the header.
	Load string
}

// Request is what a leaf received.
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

// Leaf is one incarnation; safe for concurrent use.
type Leaf struct {
	ID      string
	dialect httpnames.Names
	answer  func(Request) Answer

	listener net.Listener
	mutex    sync.Mutex
	asked    []Request
	open     map[net.Conn]bool
}

// Start listens on a free address of the loopback. The answer function says how each request is
// answered; it is called concurrently.
func Start(id string, dialect httpnames.Names, answer func(Request) Answer) (*Leaf, error) {
	return StartAt("127.0.0.1:0", id, dialect, answer)
}

// StartAt listens on a given address.
func StartAt(address, id string, dialect httpnames.Names, answer func(Request) Answer) (*Leaf, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, id, dialect, answer), nil
}

// Serve starts a leaf that accepts connections of a listener until Stop, which closes the listener.
func Serve(listener net.Listener, id string, dialect httpnames.Names, answer func(Request) Answer) *Leaf {
	leaf := &Leaf{ID: id, dialect: dialect, answer: answer, listener: listener, open: map[net.Conn]bool{}}
	go leaf.accept()
	return leaf
}

// Address gives the leaf's address.
func (l *Leaf) Address() string { return l.listener.Addr().String() }

// Stop ends the leaf with all of its connections.
func (l *Leaf) Stop() {
	_ = l.listener.Close()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for connection := range l.open {
		_ = connection.Close()
	}
}

// Asked gives what arrived, in order.
func (l *Leaf) Asked() []Request {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Request(nil), l.asked...)
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
	millis, _ := strconv.ParseInt(read.Header.Get(l.dialect.DeadlineMillis), 10, 64)
	request := Request{
		ID: read.Header.Get(l.dialect.RequestID), Method: read.Method, Target: read.RequestURI, Host: read.Host,
		Incarnation: read.Header.Get(l.dialect.ExpectedIncarnation), Header: read.Header, Body: body,
		Deadline: time.Duration(millis) * time.Millisecond, At: time.Now(),
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.asked = append(l.asked, request)
	return request, nil
}

// reply sends the answer and reports whether the connection goes on.
func (l *Leaf) reply(connection net.Conn, reader *bufio.Reader, request Request) bool {
	if request.Incarnation != "" && request.Incarnation != l.ID {
		return l.send(connection, request, Answer{Status: http.StatusMisdirectedRequest, NotExecuted: true})
	}
	answer := l.answer(request)
	if answer.Silent {
		_, _ = reader.Peek(1) // until the caller closes
		return false
	}
	if answer.Dropped {
		return false
	}
	time.Sleep(answer.Delay)
	if answer.Ends {
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
	headers := [][2]string{{l.dialect.RequestID, id}}
	add := func(wanted bool, name, value string) {
		if wanted {
			headers = append(headers, [2]string{name, value})
		}
	}
	add(!answer.Unsigned && !answer.NotExecuted, l.dialect.ResponseStamp, l.ID+"."+id)
	add(answer.NotExecuted, l.dialect.NotExecuted, "1")
	add(answer.Load != "", l.dialect.ServerLoad, answer.Load)
	add(!answer.Unframed, "Content-Length", strconv.Itoa(len(answer.Body)))
	add(answer.Close || answer.Unframed, "Connection", "close")
	add(answer.KeepAliveSeconds > 0, "Keep-Alive", fmt.Sprintf("timeout=%d", answer.KeepAliveSeconds))
	return headers
}
