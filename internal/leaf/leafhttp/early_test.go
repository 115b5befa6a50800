package leafhttp

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// smuggled is the line that long bodies repeat. A leaf that read it as a head would see a request.
const smuggled = "GET /smuggled HTTP/1.1\r\n"

// longBody exceeds the total size of the socket buffers.
var longBody = bytes.Repeat([]byte(smuggled), 400_000)

// earlyLeaf is a leaf that answers before it has read all of a request's body.
type earlyLeaf struct {
	t        *testing.T
	listener net.Listener
	// answerAt is the number of body bytes that the leaf reads before it answers.
	answerAt int
	// after is the leaf's action after the answer.
	after afterAnswer
	// resume is closed to let a leaf with readRestLater read the rest of the body.
	resume chan struct{}
	// heads receives the first line of each request and the number of its connection.
	heads chan earlyHead
}

type earlyHead struct {
	connection int
	line       string
}

// afterAnswer is what an earlyLeaf does with the connection after it has answered.
type afterAnswer int

const (
	// readRest reads the rest of the body immediately.
	readRest afterAnswer = iota
	// readRestLater reads the rest of the body when resume is closed.
	readRestLater
	// reset resets the connection with the rest of the body unread.
	reset
)

func newEarlyLeaf(t *testing.T, answerAt int, after afterAnswer) *earlyLeaf {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	l := &earlyLeaf{
		t: t, listener: listener, answerAt: answerAt, after: after,
		resume: make(chan struct{}), heads: make(chan earlyHead, 64),
	}
	go l.accept()
	return l
}

func (l *earlyLeaf) accept() {
	for number := 1; ; number++ {
		connection, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(connection.(*net.TCPConn), number)
	}
}

// serve answers the requests of one connection until it ends.
func (l *earlyLeaf) serve(connection *net.TCPConn, number int) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for l.answerOne(connection, reader, number) {
	}
}

// answerOne answers one request and reads its body, which must consist of the request's own bytes only. It reports
// whether the connection can serve another request.
func (l *earlyLeaf) answerOne(connection *net.TCPConn, reader *bufio.Reader, number int) bool {
	first, err := reader.ReadString('\n')
	if err != nil {
		return false
	}
	l.heads <- earlyHead{number, first}
	id, length, err := readEarlyHead(reader)
	if err != nil {
		return false
	}
	if !l.readBody(reader, 0, min(l.answerAt, length)) {
		return false
	}
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n%s: %s\r\n\r\nok", names.RequestID, id)
	switch l.after {
	case readRestLater:
		<-l.resume
	case reset:
		_ = connection.SetLinger(0)
		return false
	case readRest:
	}
	return l.readBody(reader, min(l.answerAt, length), length)
}

// readBody reads and verifies the bytes of a body between two offsets. It returns false if the connection ended.
func (l *earlyLeaf) readBody(reader io.Reader, from, to int) bool {
	body := make([]byte, to-from)
	read, err := io.ReadFull(reader, body)
	if !bytes.Equal(body[:read], longBody[from:from+read]) {
		l.t.Errorf("received other bytes instead of bytes %d to %d of the body", from, to)
	}
	return err == nil
}

func readEarlyHead(reader *bufio.Reader) (id string, length int, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil || line == "\r\n" {
			return id, length, err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		switch name {
		case names.RequestID:
			id = value
		case "Content-Length":
			if length, err = strconv.Atoi(value); err != nil {
				return "", 0, err
			}
		}
	}
}

func (l *earlyLeaf) target() Target {
	return Target{LeafID: "leaf-1", Address: l.listener.Addr().String(), Connections: 1}
}

// longRequest returns a request with a body of the given length in bytes.
func (f *fixture) longRequest(length int) *Request {
	request := f.request()
	request.Method, request.HasBody, request.Body = http.MethodPost, true, longBody[:length]
	return request
}

// wantHead is the first line of every request in these tests.
const wantHead = "POST /x/1?q=a%20b HTTP/1.1\r\n"

// A leaf that answers before it has read the whole body gets no other request among the rest of the body, and each
// request gets its answer.
func TestNoRequestFollowsAnUnfinishedBody(t *testing.T) {
	lengths := map[string]int{"longer than the buffers": len(longBody), "within the buffers": 16 * len(smuggled) * len(smuggled)}
	for name, length := range lengths {
		for _, answerAt := range []int{0, 1, length / 2, length} {
			t.Run(fmt.Sprintf("%s, at %d", name, answerAt), func(t *testing.T) {
				is := is.New(t)
				leaf := newEarlyLeaf(t, answerAt, readRest)
				pool := New(testConfig(), names, nil)
				defer pool.Close()
				f := &fixture{t: t, pool: pool}
				for range 4 {
					_, err := f.runAttempt(t.Context(), leaf.target(), f.longRequest(length), time.Now().Add(time.Minute))
					is.NoErr(err)
					is.Equal((<-leaf.heads).line, wantHead)
				}
			})
		}
	}
}

// If a leaf has answered but not read the rest of the body, the next request is sent on another connection.
func TestUnreadBodyPreventsConnectionReuse(t *testing.T) {
	is := is.New(t)
	leaf := newEarlyLeaf(t, 0, readRestLater)
	pool := New(testConfig(), names, nil)
	defer pool.Close()
	f := &fixture{t: t, pool: pool}
	for number := 1; number <= 3; number++ {
		_, err := f.runAttempt(t.Context(), leaf.target(), f.longRequest(len(longBody)), time.Now().Add(time.Minute))
		is.NoErr(err)
		is.Equal(<-leaf.heads, earlyHead{number, wantHead})
	}
	close(leaf.resume)
}

// The answer of a leaf that resets the connection during the rest of the body is accepted, even if the writer receives
// the reset before the reader.
func TestAnswerBeforeResetIsAccepted(t *testing.T) {
	is := is.New(t)
	leaf := newEarlyLeaf(t, 0, reset)
	pool := New(testConfig(), names, nil)
	defer pool.Close()
	f := &fixture{t: t, pool: pool}
	type end struct {
		response *Response
		err      error
	}
	ended := make(chan end, 1)
	e := &exchange{
		pool: pool, target: leaf.target(), request: f.longRequest(len(longBody)), deadline: time.Now().Add(time.Minute),
		done: func(response *Response, err error) { ended <- end{response, err} },
	}
	pool.mu.Lock()
	_, mayOpen := pool.reserve(e)
	pool.mu.Unlock()
	is.True(mayOpen)
	conn, err := dial(t.Context(), pool, e.target)
	is.NoErr(err)
	pool.mu.Lock()
	conn.assign(e)
	pool.mu.Unlock()
	// These are the steps of begin, with the reader delayed until the writer has received the reset.
	e.request.encode(&conn.outgoing, pool.names, e.target.LeafID, time.Minute)
	_, err = conn.socket.Write(conn.outgoing.Bytes())
	is.NoErr(err)
	conn.sendBody(e.request.Body)
	conn.read()
	got := <-ended
	is.NoErr(got.err)
	is.Equal(string(got.response.Body), "ok")
	is.Equal(pool.OpenConnections(), 0)
}
