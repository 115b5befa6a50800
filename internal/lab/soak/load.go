package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Kind is a kind of request. Its value is the path prefix of the route.
type Kind string

// Kinds of requests: gathered requests, repeatable and at-most-once requests to one service, and requests to the route whose
// service the configurations switch.
const (
	Gathered   Kind = GatheredPrefix
	Single     Kind = SinglePrefix
	AtMostOnce Kind = AtMostOncePrefix
	Switched   Kind = SwitchedPrefix
)

// requestDeadline is the deadline of each request.
const requestDeadline = 1500 * time.Millisecond

// outcome is a request and its answer as the caller saw them.
type outcome struct {
	id            string
	kind          Kind
	node          *nodeState
	processNumber int
	sent          time.Time
	ended         time.Time
	// status is 0 if the caller received no complete answer.
	status  int
	header  http.Header
	body    []byte
	refused bool // the connection was refused
	// isCrashing marks a request that crashes leafs.
	isCrashing bool
}

// load sends requests and records their outcomes. It is safe for concurrent use.
type load struct {
	environment *environment
	client      *http.Client

	mu       sync.Mutex
	outcomes []outcome
}

func newLoad(e *environment) *load {
	dialer := net.Dialer{Timeout: time.Second}
	return &load{environment: e, client: &http.Client{
		Timeout: requestDeadline + time.Second,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: 16, IdleConnTimeout: 5 * time.Second, DisableCompression: true,
		},
	}}
}

// run sends random requests to random nodes at the given rate until the context is done, each in its own goroutine, and
// waits for their outcomes.
func (l *load) run(ctx context.Context, random *rand.Rand, perSecond int) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	kinds := []Kind{Gathered, Gathered, Single, AtMostOnce, Switched}
	for number := 0; ; number++ {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		kind := kinds[random.IntN(len(kinds))]
		node := l.environment.nodes[random.IntN(len(l.environment.nodes))]
		id := fmt.Sprintf("request-%d", number)
		running.Go(func() { l.add(l.send(id, kind, node)) })
	}
}

func (l *load) add(seen outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, seen)
}

// all returns a copy of the outcomes so far.
func (l *load) all() []outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]outcome(nil), l.outcomes...)
}

// send sends a request and waits for its answer.
func (l *load) send(id string, kind Kind, node *nodeState) outcome {
	return l.sendTo(id, id, kind, node)
}

// sendTo sends a request to a path under the prefix of its kind. At-most-once requests have a body so that net/http does not
// retry them.
func (l *load) sendTo(id, path string, kind Kind, node *nodeState) outcome {
	seen := outcome{id: id, kind: kind, node: node, processNumber: node.currentProcessNumber(), sent: time.Now()}
	method, body := http.MethodGet, io.Reader(nil)
	if kind == AtMostOnce {
		method, body = http.MethodPost, io.NopCloser(strings.NewReader("once"))
	}
	request, err := http.NewRequest(method, "http://"+node.front+string(kind)+path, body)
	if err != nil {
		panic(err) // the soak generates the URL
	}
	names := l.environment.names
	request.Host = host
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.DeadlineMillis, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	answer, err := l.client.Do(request)
	if err != nil {
		seen.ended = time.Now()
		seen.refused = strings.Contains(err.Error(), "connection refused")
		return seen
	}
	content, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	seen.ended = time.Now()
	if err == nil {
		seen.status, seen.header, seen.body = answer.StatusCode, answer.Header, content
	}
	return seen
}

// parts returns the stamps of the parts that a gathered answer lists.
func (o outcome) parts(names httpnames.Names) []string {
	var parts []string
	for _, line := range o.header.Values(names.PartStamps) {
		for stamp := range strings.SplitSeq(line, ",") {
			if stamp = strings.TrimSpace(stamp); stamp != "" {
				parts = append(parts, stamp)
			}
		}
	}
	return parts
}

// greatest returns the greatest records of the given bodies, at most count, in descending order.
func greatest(bodies [][]byte, count int) []byte {
	var records [][]byte
	for _, body := range bodies {
		for ; len(body) >= recordBytes; body = body[recordBytes:] {
			records = append(records, body[:recordBytes])
		}
	}
	sortDescending(records)
	return bytes.Join(records[:min(count, len(records))], nil)
}
