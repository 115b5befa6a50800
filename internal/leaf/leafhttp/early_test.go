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

// smuggled is repeated in long bodies: read as a head, it would be a request.
const smuggled = "GET /smuggled HTTP/1.1\r\n"

// longBody is larger than all socket buffers together.
var longBody = bytes.Repeat([]byte(smuggled), 400_000)

// earlyLeaf is a leaf that answers before it has read all of a request's body.
type earlyLeaf struct {
	t        *testing.T
	listener net.Listener
	// answerAt is how many bytes of the body it reads before it answers.
	answerAt int
	// after is what it does with the connection once it has answered.
	after afterAnswer
	// goOn is closed to let a leaf with readLater read on.
	goOn chan struct{}
	// heads receives the first line of each request, with the number of its connection.
	heads chan earlyHead
}

type earlyHead struct {
	connection int
	line       string
}

// afterAnswer is what an early leaf does once it has answered.
type afterAnswer int

const (
	// readOn reads the rest of the body at once.
	readOn afterAnswer = iota
	// readLater reads the rest when goOn is closed.
	readLater
	// reset ends the connection with the rest unread.
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
		goOn: make(chan struct{}), heads: make(chan earlyHead, 64),
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

// answerOne answers one request and reads its body, of which every byte must be the request's own.
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
	case readLater:
		<-l.goOn
	case reset:
		_ = connection.SetLinger(0)
		return false
	case readOn:
	}
	return l.readBody(reader, min(l.answerAt, length), length)
}

// readBody reads the bytes of a body from one offset to another; false means that the connection
// ended.
func (l *earlyLeaf) readBody(reader io.Reader, from, to int) bool {
	body := make([]byte, to-from)
	read, err := io.ReadFull(reader, body)
	if !bytes.Equal(body[:read], longBody[from:from+read]) {
		l.t.Errorf("other bytes came in place of a body's bytes %d to %d", from, to)
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

// longRequest returns a request with a body of length bytes.
func (b *bench) longRequest(length int) *Request {
	request := b.request()
	request.Method, request.HasBody, request.Body = http.MethodPost, true, longBody[:length]
	return request
}

// wantedHead is the first line of every request of these tests.
const wantedHead = "POST /x/1?q=a%20b HTTP/1.1\r\n"

// However early a leaf answers, and whatever it does then, each request gets its answer, and
// nothing follows the rest of a body on its connection.
func TestNothingFollowsAnEarlyAnswerOnItsConnection(t *testing.T) {
	lengths := map[string]int{"longer than the buffers": len(longBody), "within the buffers": 16 * len(smuggled) * len(smuggled)}
	for name, length := range lengths {
		for _, answerAt := range []int{0, 1, length / 2, length} {
			t.Run(fmt.Sprintf("%s, at %d", name, answerAt), func(t *testing.T) {
				is := is.New(t)
				leaf := newEarlyLeaf(t, answerAt, readOn)
				pool := New(testConfig(), names, nil)
				defer pool.Close()
				b := &bench{t: t, pool: pool}
				for range 4 {
					_, err := b.ask(t.Context(), leaf.target(), b.longRequest(length), time.Now().Add(time.Minute))
					is.NoErr(err)
					is.Equal((<-leaf.heads).line, wantedHead)
				}
			})
		}
	}
}

// While a leaf that has answered has not read the rest of a body, the next request goes on another connection.
func TestHeldBodyKeepsItsConnectionFromOthers(t *testing.T) {
	is := is.New(t)
	leaf := newEarlyLeaf(t, 0, readLater)
	pool := New(testConfig(), names, nil)
	defer pool.Close()
	b := &bench{t: t, pool: pool}
	for number := 1; number <= 3; number++ {
		_, err := b.ask(t.Context(), leaf.target(), b.longRequest(len(longBody)), time.Now().Add(time.Minute))
		is.NoErr(err)
		is.Equal(<-leaf.heads, earlyHead{number, wantedHead})
	}
	close(leaf.goOn)
}

// The answer of a leaf that then resets the connection during the rest of a body is accepted, even if
// the writer gets the reset before the reader.
func TestAnswerBeforeAResetIsTaken(t *testing.T) {
	is := is.New(t)
	leaf := newEarlyLeaf(t, 0, reset)
	pool := New(testConfig(), names, nil)
	defer pool.Close()
	b := &bench{t: t, pool: pool}
	type end struct {
		response *Response
		err      error
	}
	ended := make(chan end, 1)
	e := &Exchange{
		pool: pool, target: leaf.target(), request: b.longRequest(len(longBody)), deadline: time.Now().Add(time.Minute),
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
	// The same steps as in begin, with the reader delayed until the writer got the reset.
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
