package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// The size of the case, that of a small deployment: leafs and their slots as at lrf-gauge's single services.
const (
	ledgerLeafs   = 2
	ledgerSlots   = 2
	ledgerQueue   = 2
	ledgerWork    = 4 * time.Millisecond
	ledgerClients = 9
	ledgerHost    = "ledger.example"
	// lateShare is the share of answers that are sent once more, late; the sites' largest dose is 0.04.
	lateShare    = 0.08
	twiceLength  = 48 * time.Second
	settleLength = 11 * time.Second
)

// ledger counts what the leafs ran and what the clients were answered, by request ID.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	statuses map[string]int
}

func (l *ledger) ran(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
}

func (l *ledger) runsOf(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[id] = status
}

// runTwice sends requests of an unsafe route. The leafs are nearly full, so that some requests are turned away and sent
// again. With the disruption, one of the two leafs is lost for good, and they send some of their answers once more, late.
func runTwice(r *run) (bool, error) {
	counts := &ledger{runs: map[string]int{}, statuses: map[string]int{}}
	r.store.Put("op/config", ledgerConfig())
	var leafs []*leaf
	for index := range ledgerLeafs {
		started := &leaf{
			run: r, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: "ledger-sync", zone: zones[index%len(zones)],
			slots: ledgerSlots, queue: ledgerQueue, work: ledgerWork, repeats: lateShare, onRun: counts.ran,
		}
		if err := started.start(); err != nil {
			return false, err
		}
		leafs = append(leafs, started)
	}
	if err := r.addNodes(2); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(settleLength)
	r.beginTrouble("leafs send some of their answers once more, late")
	if r.trouble {
		leafs[0].crash()
	}
	until := time.Now().Add(twiceLength)
	var clients sync.WaitGroup
	for index := range ledgerClients {
		clients.Go(func() {
			c := &client{run: r, front: r.nodes[index%len(r.nodes)].front, counts: counts, host: ledgerHost}
			for time.Now().Before(until) {
				c.post(fmt.Sprintf("%016x", rand.Uint64()))
				time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
			}
			c.close()
		})
	}
	clients.Wait()
	time.Sleep(time.Second)
	return counts.report(r), nil
}

// report writes the outcome and reports whether a request ran twice.
func (l *ledger) report(r *run) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	twice, refused, byStatus := 0, 0, map[int]int{}
	for id, status := range l.statuses {
		byStatus[status]++
		if l.runs[id] > 1 {
			twice++
			r.record("TWICE: %s ran %d times; the client was answered %d", id, l.runs[id], status)
		}
		if l.runs[id] > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
			refused++
			r.record("REFUSED: %s ran, and the client was answered %d", id, status)
		}
	}
	r.record("%d requests, answers by status (0: none): %v; ran twice: %d; refused although run: %d", len(l.statuses), byStatus, twice, refused)
	return twice > 0
}

// object is a value of the operator's configuration.
type object = map[string]any

// ledgerConfig is the operator's configuration: one unsafe route to one service.
func ledgerConfig() object {
	return object{
		"Version": 1,
		"Routes": []object{{
			"Name": "r-ledger", "Host": ledgerHost, "PathPrefix": "/book/", "Type": "unsafe", "TimeoutMs": 6000, "ObjectiveMs": 400,
			"Priority": 2, "Service": "ledger-sync", "MaxAttempts": 2,
		}},
		"Services": []object{{"Name": "ledger-sync", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// client keeps one connection to a node. It sends no request again: each has its own ID.
type client struct {
	run    *run
	front  string
	counts *ledger
	host   string
	conn   net.Conn
	reader *bufio.Reader
}

// post sends one request and records its answer; status 0 means none.
func (c *client) post(id string) int {
	c.run.record("client sends %s", id)
	status, retryAfter := c.exchange(id)
	c.run.record("client is answered %d for %s", status, id)
	c.counts.answered(id, status)
	if status == 0 {
		c.close()
	}
	time.Sleep(retryAfter)
	return status
}

func (c *client) exchange(id string) (status int, retryAfter time.Duration) {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp4", c.front, time.Second)
		if err != nil {
			return 0, 0
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(6 * time.Second))
	body := "entry " + id
	_, err := fmt.Fprintf(c.conn, "POST /book/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s",
		id[:4], c.host, id, len(body), body)
	if err != nil {
		return 0, 0
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0
	}
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0, 0
	}
	seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if answer.Close {
		c.close()
	}
	return answer.StatusCode, time.Duration(seconds * float64(time.Second))
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
