package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// leaf is a stand-in leaf. It works on a number of requests at once, queues a few more and turns the others away as not
// run.
type leaf struct {
	run     *run
	id      string
	service string
	zone    string
	slots   int
	queue   int
	work    time.Duration
	// repeats is the share of its answers that a leaf in disruption sends once more, late: when the next answer on the
	// connection is due.
	repeats float64
	// junk is the share of its answers for which a leaf in disruption sends bytes that are no answer, at the rate of its
	// link.
	junk float64
	link link
	// onRun is called when the leaf begins to work on a request.
	onRun    func(id string)
	listener net.Listener

	free chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	conns   map[net.Conn]bool
}

// entry is what a leaf writes about itself to the store.
type entry struct {
	Service      string
	Address      string
	Zone         string
	Version      string
	Capacity     int
	State        string
	WarmupLeftMs int64
	Sequence     int64
}

// start starts the leaf and writes its entry to the store.
func (l *leaf) start() error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.listener, l.free, l.conns = listener, make(chan struct{}, l.slots), map[net.Conn]bool{}
	for range l.slots {
		l.free <- struct{}{}
	}
	go l.accept()
	l.run.store.Put("servers/"+l.id, entry{
		Service: l.service, Address: listener.Addr().String(), Zone: l.zone, Version: "v1", Capacity: l.slots, State: "ready",
		Sequence: 1,
	})
	return nil
}

func (l *leaf) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.conns[conn] = true
		l.mu.Unlock()
		go l.serve(conn)
	}
}

// heartbeatsOfSilence is how long the store keeps the entry of a leaf that has crashed: three heartbeats.
const heartbeatsOfSilence = 3600 * time.Millisecond

// crash ends the leaf and its connections, without notice. Its entry goes later.
func (l *leaf) crash() {
	l.run.record("%s crashes", l.id)
	_ = l.listener.Close()
	l.mu.Lock()
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	time.AfterFunc(heartbeatsOfSilence, func() {
		l.run.record("the entry of %s goes", l.id)
		l.run.store.Remove("servers/" + l.id)
	})
}

// serve answers the requests of one connection, one after the other. The copy of an answer that is sent once more goes
// out when the next request has been read.
func (l *leaf) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		l.run.record("%s is sent %s", l.id, id)
		if late != nil {
			l.run.record("%s sends its last answer on this connection once more", l.id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		if l.run.isDisrupted() && rand.Float64() < l.junk {
			l.run.record("%s answers %s with bytes that are no answer", l.id, id)
			sent := l.link.sendNoAnswer(conn)
			l.run.record("%s has sent %d MB of them", l.id, sent/1000/1000)
			return
		}
		answer := l.answer(request, id)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if l.run.isDisrupted() && rand.Float64() < l.repeats {
			late = answer
		}
	}
}

// answer returns the answer to a request, after the work on it.
func (l *leaf) answer(request *http.Request, id string) []byte {
	if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != l.id {
		return l.encode(http.StatusMisdirectedRequest, id, false, nil)
	}
	if !l.enter() {
		l.run.record("%s turns %s away", l.id, id)
		return l.encode(http.StatusServiceUnavailable, id, false, nil)
	}
	<-l.free
	l.count(1, -1)
	l.run.record("%s runs %s", l.id, id)
	l.onRun(id)
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(l.work)))
	l.count(-1, 0)
	l.free <- struct{}{}
	return l.encode(http.StatusOK, id, true, []byte("done "+id))
}

// enter takes a place in the queue; false if there is none.
func (l *leaf) enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running+l.waiting >= l.slots+l.queue {
		return false
	}
	l.waiting++
	return true
}

func (l *leaf) count(running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running += running
	l.waiting += waiting
}

func (l *leaf) encode(status int, id string, ran bool, body []byte) []byte {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n", status, http.StatusText(status), id)
	if ran {
		fmt.Fprintf(&answer, "X-Response-Stamp: %s.%s\r\n", l.id, id)
	} else {
		answer.WriteString("X-Not-Executed: 1\r\n")
	}
	l.mu.Lock()
	fmt.Fprintf(&answer, "X-Server-Load: %d,%d,%d\r\n", l.running, l.waiting, l.slots)
	l.mu.Unlock()
	fmt.Fprintf(&answer, "Keep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n", len(body))
	answer.Write(body)
	return answer.Bytes()
}
