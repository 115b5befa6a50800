package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// contact is ContactMs of a small deployment.
const contact = 4 * time.Second

// restartPause is how long a crashed leaf is away.
const restartPause = 2 * time.Second

// crashingLeafs are the leafs of a service that crash under the requests of one caller and start again under their ids.
type crashingLeafs struct {
	fleet   *fleet
	record  *record
	ledger  *ledger
	mu      sync.Mutex
	current map[string]*beatingLeaf
	// crashes are the times of the crashes, and arrivals the times at which the crashing request reached a leaf.
	crashes, arrivals []time.Time
	// isCrashing reports whether a request crashes the leaf that begins to run it.
	isCrashing func(*http.Request) bool
}

// start starts an incarnation of a leaf.
func (c *crashingLeafs) start(id, service, zone, address string) {
	var self *beatingLeaf
	behave := func(request *http.Request) behavior {
		if !c.isCrashing(request) {
			return behavior{work: 20 * time.Millisecond, size: 100}
		}
		now := time.Now()
		c.mu.Lock()
		c.arrivals = append(c.arrivals, now)
		c.crashes = append(c.crashes, now)
		number := len(c.crashes)
		c.mu.Unlock()
		c.record.line("crash %d: leaf %s begins to run %s %s of %q and crashes; it is back in %s", number, id, request.Method, request.RequestURI, request.Header.Get("Authorization"), restartPause)
		go c.crash(self)
		return behavior{kind: "silent", work: time.Second}
	}
	started, err := startLeaf(id, service, address, c.ledger, behave)
	for attempt := 0; err != nil && attempt < 20; attempt++ {
		time.Sleep(100 * time.Millisecond)
		started, err = startLeaf(id, service, address, c.ledger, behave)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	self = &beatingLeaf{leaf: started, zone: zone, state: "ready", born: time.Now().UnixMilli()}
	c.mu.Lock()
	c.current[id] = self
	c.mu.Unlock()
	go func() {
		for {
			self.mu.Lock()
			ended := self.ended
			self.mu.Unlock()
			if ended {
				return
			}
			c.fleet.beat(self)
			time.Sleep(heartbeat)
		}
	}()
}

// crash ends a leaf without a word and starts it again under its id.
func (c *crashingLeafs) crash(l *beatingLeaf) {
	l.mu.Lock()
	isFirst := !l.ended
	l.ended = true
	l.mu.Unlock()
	if !isFirst {
		return
	}
	address := l.address()
	l.kill()
	time.Sleep(restartPause)
	c.start(l.id, l.service, l.zone, address)
}

// crashing: a request that crashes the leafs that run it comes again, while other callers send the same path.
func crashing(path string) int {
	r := newRecord(path)
	records := &ledger{runs: map[string][]run{}}
	f, err := newFleet("target/portgauge")
	must(err, nil)
	defer f.stop()
	// Each caller has an address and a header Authorization of its own.
	const badCaller = "Bearer caller-13"
	leafs := &crashingLeafs{fleet: f, record: r, ledger: records, current: map[string]*beatingLeaf{}}
	leafs.isCrashing = func(request *http.Request) bool { return request.Header.Get("Authorization") == badCaller }
	zones := []string{"zone-a", "zone-b"}
	for n := range 6 {
		leafs.start(fmt.Sprintf("i-%d", n+1), "search", zones[n%2], "127.0.0.1:0")
	}
	f.store.Put("op/config", map[string]any{"Version": 1,
		"Routes":   []any{routeMap("page", "/page/", "safe", "search", 2), routeMap("order", "/order/", "unsafe", "search", 2)},
		"Services": []any{serviceMap("search")}, "Limits": limitsMap()})
	for i := range 4 {
		_, err := f.addNode(fmt.Sprintf("front-%d", i+1), zones[i%2], f.address, "")
		must(err, f)
	}
	if !f.awaitReady(15 * time.Second) {
		fmt.Fprintln(os.Stderr, "the nodes were not ready in time")
		return 2
	}
	time.Sleep(contact)
	end := time.Now().Add(30 * time.Second)
	isQuiet := os.Getenv("QUIET") != "" // a trial without the other callers
	var wait sync.WaitGroup
	var mu sync.Mutex
	statuses := map[string]int{}
	send := func(s sent, from string, at int) result {
		c, err := openFrom(from, f.nodes[at%len(f.nodes)].front())
		if err != nil {
			return result{}
		}
		defer func() { _ = c.conn.Close() }()
		return c.do(s)
	}
	if isTroubled() {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				s := sent{id: fmt.Sprintf("bad-%d", n), method: "GET", path: "/page/7", host: host, deadline: time.Second, authorization: badCaller}
				answer := send(s, "127.0.0.113", n)
				r.line("the crashing request %s of %q at %s is answered with %d", s.id, badCaller, f.nodes[n%len(f.nodes)].name, answer.status)
				time.Sleep(time.Second)
			}
		})
	}
	for w := range 6 {
		if isQuiet {
			break
		}
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				s := sent{id: fmt.Sprintf("caller-%d-%d", w, n), method: "GET", path: "/page/7", host: host, deadline: 2 * time.Second, authorization: fmt.Sprintf("Bearer caller-%d", w)}
				if w >= 4 {
					s.method, s.path, s.size = "POST", "/order/new", 100
				}
				answer := send(s, fmt.Sprintf("127.0.0.%d", 101+w), w+n)
				mu.Lock()
				statuses[fmt.Sprintf("%s %d", s.path, answer.status)]++
				mu.Unlock()
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	leafs.mu.Lock()
	defer leafs.mu.Unlock()
	r.line("answers to the other callers: %v", statuses)
	if len(leafs.crashes) < 3 {
		r.line("%d crashes", len(leafs.crashes))
		return 0
	}
	bound := leafs.crashes[2].Add(contact)
	late := 0
	for _, at := range leafs.arrivals {
		if at.After(bound) {
			late++
		}
	}
	r.line("%d crashes; the third at %s; %d arrivals at leafs more than %s after it (the rule allows three)", len(leafs.crashes), leafs.crashes[2].Format("15:04:05.000"), late, contact)
	if late > 3 {
		r.line("BUDGET: the request that crashes leafs reached leafs in %d retries sent later than ContactMs after it had crashed the third", late)
		return 1
	}
	return 0
}
