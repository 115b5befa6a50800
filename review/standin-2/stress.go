package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const host = "review.example"

func routeMap(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{"Name": name, "Host": host, "PathPrefix": prefix, "Type": kind, "Service": service, "MaxAttempts": attempts, "TimeoutMs": 3000, "ObjectiveMs": 400, "Priority": 1}
}

// gatherBytes returns the size of the parts of a gathered request.
func gatherBytes(id string) int { return 16*(len(id)%5+2) + len(id)%3 }

// gatherProblem returns what is wrong with a gathered answer; empty if nothing is.
func gatherProblem(id string, r result) string {
	stamps := strings.Split(r.header.Get("X-Part-Stamps"), ", ")
	missing, _ := strconv.Atoi(r.header.Get("X-Missing-Parts"))
	if len(stamps)+missing != 8 {
		return fmt.Sprintf("%d stamps, %d missing", len(stamps), missing)
	}
	var all [][]byte
	seen := map[string]bool{}
	for _, stamp := range stamps {
		name, stampID, _ := strings.Cut(stamp, ".")
		if stampID != id || seen[name] {
			return "stamp " + stamp
		}
		seen[name] = true
		for part := answerOf(id, name, gatherBytes(id)); len(part) >= 16; part = part[16:] {
			all = append(all, part[:16])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	for _, top := range []int{5, 6} {
		if bytes.Equal(r.body, bytes.Join(all[:min(top, len(all))], nil)) {
			return ""
		}
	}
	return fmt.Sprintf("a body of %d bytes isn't the greatest records", len(r.body))
}

// stress runs random requests against nodes whose leafs misbehave in the ways that the pages allow.
func stress() {
	length, _ := time.ParseDuration(os.Args[2])
	seedText := os.Args[3]
	modes := os.Args[4:]
	seed, _ := strconv.ParseUint(seedText, 10, 64)
	random := rand.New(rand.NewPCG(seed, 1))
	records := &ledger{runs: map[string][]run{}}
	f, err := newFleet(program())
	if err != nil {
		panic(err)
	}
	defer f.stop()
	kinds := []string{"extra", "extra_late", "unframed", "break", "reset", "dropped", "close", "fail", "fail503", "refuse", "early", "early_refuse", "chunked", "chunked_break", "unframed_reset", "continue", "silent"}
	behave := func(request *http.Request) behavior {
		b := behavior{work: time.Duration(rand.IntN(30)) * time.Millisecond, size: rand.IntN(6000) + 1, holdFor: time.Duration(rand.IntN(60)) * time.Millisecond}
		if chance(0.12) {
			b.kind = kinds[rand.IntN(len(kinds))]
			if b.kind == "silent" && chance(0.8) {
				b.kind = "early"
			}
		}
		if chance(0.02) {
			b.size = rand.IntN(300000)
		}
		if chance(0.02) {
			b.work = time.Duration(rand.IntN(1200)) * time.Millisecond
		}
		if strings.HasPrefix(request.URL.Path, "/g/") {
			b.size = gatherBytes(request.Header.Get("X-Request-Id"))
			b.work = min(b.work, 200*time.Millisecond)
		}
		return b
	}
	var mu sync.Mutex
	leafs := map[string]*leaf{}
	next := 0
	zones := []string{"zone-a", "zone-b"}
	add := func(service string) *leaf {
		mu.Lock()
		defer mu.Unlock()
		next++
		l, err := startLeaf(fmt.Sprintf("i-%d", next), service, "127.0.0.1:0", records, behave)
		if err != nil {
			panic(err)
		}
		if next%3 == 0 {
			l.keepAlive = 2 * time.Second
		}
		l.maxConns = 12
		leafs[l.id] = l
		f.putLeaf(l, zones[next%2], "ready", 1)
		return l
	}
	for _, service := range []string{"single", "single", "single", "other", "other", "other"} {
		add(service)
	}
	var parts []string
	for n := range 8 {
		parts = append(parts, fmt.Sprintf("part%d", n))
		// The leafs of a shard are in one zone, so that nodes of the other let those of that zone gather it.
		next = n % 2
		add(parts[n])
		next += 1001 + 10*n
		add(parts[n])
		next += 1
	}
	next = 5000
	var version int
	configure := func(swap bool) {
		version += 3
		a, b := "single", "other"
		if swap {
			a, b = b, a
		}
		routes := []any{routeMap("u", "/u/", "unsafe", a, 3), routeMap("s", "/s/", "safe", b, 2), routeMap("m", "/m/", "unsafe", a, 1)}
		weighted := routeMap("w", "/w/", "unsafe", "", 2)
		delete(weighted, "Service")
		weighted["Backends"] = []any{map[string]any{"Service": "single", "Weight": 1}, map[string]any{"Service": "other", "Weight": 3}}
		gathered := routeMap("g", "/g/", "safe", "", 2)
		delete(gathered, "Service")
		gathered["Gather"], gathered["TopK"], gathered["MinCoverage"] = parts, 5+version%2, 0.5
		routes = append(routes, weighted, gathered)
		f.store.Put("op/config", map[string]any{"Version": version, "Routes": routes,
			"Services": []any{map[string]any{"Name": "single", "HealthPath": "/health", "MaxConns": 12}, map[string]any{"Name": "other", "HealthPath": "/health", "MaxConns": 12}},
			"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	}
	configure(false)
	for i := range 3 {
		if _, err := f.addNode(fmt.Sprintf("node-%d", i), zones[i%2], f.address, ""); err != nil {
			panic(err)
		}
	}
	if !f.awaitReady(15 * time.Second) {
		panic("not ready")
	}
	end := time.Now().Add(length)
	var count atomic.Int64
	var statuses sync.Map
	var lost sync.Map
	note := func(key string) {
		v, _ := statuses.LoadOrStore(key, new(atomic.Int64))
		v.(*atomic.Int64).Add(1)
	}
	type outcome struct {
		s sent
		r result
		n string
	}
	var outMu sync.Mutex
	var outcomes []outcome
	var wait sync.WaitGroup
	for w := range 40 {
		wait.Go(func() {
			own := rand.New(rand.NewPCG(seed, uint64(w)+100))
			var c *connection
			var at *node
			for time.Now().Before(end) {
				if c == nil {
					at = f.nodes[own.IntN(len(f.nodes))]
					if !at.isReady() {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					var err error
					if c, err = open(at.front()); err != nil {
						c = nil
						time.Sleep(50 * time.Millisecond)
						continue
					}
				}
				s := sent{id: fmt.Sprintf("%d-%d-%d", seed, w, count.Add(1)), host: host, deadline: 2 * time.Second}
				s.path = []string{"/u/a", "/s/a?q=1", "/m/x/%41", "/w/z", "/g/y?a=b", "/g/y?a=b"}[own.IntN(6)]
				s.method = []string{"GET", "POST", "POST", "PUT"}[own.IntN(4)]
				if s.method != "GET" {
					s.size = own.IntN(3000)
					if own.Float64() < 0.4 {
						s.size = own.IntN(200000)
					}
					s.chunked = own.Float64() < 0.2 && s.size > 4
				}
				r := c.do(s)
				note(fmt.Sprintf("%s %d", s.path[:3], r.status))
				outMu.Lock()
				outcomes = append(outcomes, outcome{s, r, at.name})
				outMu.Unlock()
				if r.err != nil && r.sentAll && r.status == 0 {
					lost.Store(s.id, fmt.Sprintf("%v after %v on use %d of %s", r.err, r.took, c.uses, at.name))
				}
				if r.err != nil || r.isClosed || own.Float64() < 0.05 {
					_ = c.conn.Close()
					c = nil
				}
				if own.Float64() < 0.5 {
					time.Sleep(time.Duration(own.IntN(20)) * time.Millisecond)
				}
			}
		})
	}
	stopEvents := make(chan struct{})
	var events sync.WaitGroup
	log := func(format string, a ...any) {
		fmt.Println(time.Now().Format("15:04:05.000"), fmt.Sprintf(format, a...))
	}
	pickLeaf := func() *leaf {
		mu.Lock()
		defer mu.Unlock()
		k := random.IntN(len(leafs))
		for _, l := range leafs {
			if k == 0 {
				return l
			}
			k--
		}
		return nil
	}
	if len(modes) > 0 {
		events.Go(func() {
			for swap := true; ; swap = !swap {
				select {
				case <-stopEvents:
					return
				case <-time.After(time.Duration(300+random.IntN(1500)) * time.Millisecond):
				}
				switch m := modes[random.IntN(len(modes))]; m {
				case "config":
					log("config")
					configure(swap)
				case "kill":
					l := pickLeaf()
					log("kill leaf %s", l.id)
					l.kill()
					mu.Lock()
					delete(leafs, l.id)
					mu.Unlock()
					add(l.service)
					go func() { time.Sleep(3600 * time.Millisecond); f.store.Remove("servers/" + l.id) }()
				case "drain":
					l := pickLeaf()
					log("drain leaf %s", l.id)
					add(l.service)
					mu.Lock()
					delete(leafs, l.id)
					mu.Unlock()
					f.putLeaf(l, "zone-a", "draining", 5)
					go func() { time.Sleep(3500 * time.Millisecond); l.kill(); f.store.Remove("servers/" + l.id) }()
				case "term":
					n := f.nodes[random.IntN(len(f.nodes))]
					log("SIGTERM %s", n.name)
					n.signal(syscall.SIGTERM)
					if !n.wait(6 * time.Second) {
						log("%s still runs 6 s after SIGTERM", n.name)
						n.signal(syscall.SIGKILL)
						n.wait(time.Second)
					}
					_ = n.start(f)
				case "hup":
					f.nodes[random.IntN(len(f.nodes))].signal(syscall.SIGHUP)
				case "freeze":
					n := f.nodes[random.IntN(len(f.nodes))]
					log("freeze %s", n.name)
					n.signal(syscall.SIGSTOP)
					time.Sleep(time.Duration(200+random.IntN(2500)) * time.Millisecond)
					n.signal(syscall.SIGCONT)
				case "store":
					log("store")
					f.store.SetFaults([]kvFaults{{Refuse: 503}, {Silent: true}, {LoseAnswers: true}, {SilentWatches: true}}[random.IntN(4)])
					time.Sleep(time.Duration(500+random.IntN(3000)) * time.Millisecond)
					f.store.SetFaults(kvFaults{})
				case "compact":
					f.store.Compact()
				}
			}
		})
	}
	wait.Wait()
	close(stopEvents)
	events.Wait()
	time.Sleep(4 * time.Second)
	for _, n := range f.nodes {
		if n.hasEnded() {
			log("CRASH? %s has ended", n.name)
		}
	}
	records.mu.Lock()
	defer records.mu.Unlock()
	known := map[string]bool{}
	slow := 0
	for _, o := range outcomes {
		known[o.s.id] = true
		runs := records.runs[o.s.id]
		isGathered := o.s.path[1] == 'g'
		isUnsafe := o.s.path[1] != 's' && !isGathered
		if isUnsafe && len(runs) > 1 {
			log("TWICE %s %v", o.s.id, runs)
		}
		if !isUnsafe && !isGathered && len(runs) > 2 {
			log("BUDGET %s ran %d times", o.s.id, len(runs))
		}
		switch o.r.status {
		case 429, 503, 408, 421:
			if isUnsafe && len(runs) > 0 {
				log("REFUSED %s answered %d, runs %v", o.s.id, o.r.status, runs)
			}
		}
		if isGathered && o.r.status/100 == 2 && o.r.err == nil {
			if problem := gatherProblem(o.s.id, o.r); problem != "" {
				log("MIXED %s %s", o.s.id, problem)
			}
			continue
		}
		if o.r.status/100 == 2 {
			name := stampOf(o.r)
			if o.r.err == nil && !bytes.Equal(o.r.body, answerOf(o.s.id, name, len(o.r.body))) {
				log("MIXED %s body of another", o.s.id)
			}
			if o.r.header.Get("X-Response-Stamp") != name+"."+o.s.id {
				log("MIXED %s stamp %q", o.s.id, o.r.header.Get("X-Response-Stamp"))
			}
			if o.r.err != nil {
				log("MIXED? %s err %v", o.s.id, o.r.err)
			}
		}
		if o.r.status/100 == 4 && o.r.status != 408 && o.r.status != 421 && o.r.status != 429 {
			log("DENIED %s %d %s", o.s.id, o.r.status, o.r.body)
		}
		if o.r.took > o.s.deadline+500*time.Millisecond {
			slow++
			log("LATE %s %v status %d err %v at %s", o.s.id, o.r.took, o.r.status, o.r.err, o.n)
		}
	}
	for id, runs := range records.runs {
		if !known[id] {
			log("UNASKED id %q %v", id, runs)
		}
	}
	for _, p := range records.problems {
		log("%s", p)
	}
	lost.Range(func(k, v any) bool { log("CLOSED %s %s runs %d", k, v, len(records.runs[k.(string)])); return true })
	statuses.Range(func(k, v any) bool { fmt.Println(k, v.(*atomic.Int64).Load()); return true })
	fmt.Println("requests", len(outcomes), "slow", slow)
}
