package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// record writes what happens to the file of a case and to standard output.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{file: file}
}

func (r *record) line(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := time.Now().Format("15:04:05.000 ") + fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintln(r.file, text)
	fmt.Println(text)
}

// isTroubled reports whether the case has its disruption.
func isTroubled() bool { return os.Getenv("TROUBLE") != "0" }

// heartbeat is how often a leaf writes its record, as HeartbeatMs of the deployments.
const heartbeat = 1200 * time.Millisecond

// beatingLeaf is a leaf that writes its record about every heartbeat.
type beatingLeaf struct {
	*leaf
	zone     string
	mu       sync.Mutex
	sequence int
	state    string
	born     int64
	ended    bool
}

// beat writes the record of a leaf.
func (f *fleet) beat(l *beatingLeaf) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return time.Time{}
	}
	l.sequence++
	entry := map[string]any{
		"Service": l.service, "Address": l.address(), "Zone": l.zone, "Version": "v1", "Capacity": 4, "State": l.state,
		"WarmupLeftMs": 0, "Sequence": l.sequence,
	}
	if l.born > 0 {
		entry["born"] = l.born
	}
	if f.isStored("servers/"+l.id, entry) {
		return time.Now()
	}
	f.store.Put("servers/"+l.id, entry)
	return time.Now()
}

// isStored reports whether the store's entry differs from a record in no more than its Sequence.
func (f *fleet) isStored(key string, entry map[string]any) bool {
	stored, found := f.store.Item(key)
	if !found {
		return false
	}
	var known map[string]any
	if json.Unmarshal(stored.Value, &known) != nil || len(known) != len(entry) {
		return false
	}
	for name, value := range entry {
		if name != "Sequence" && fmt.Sprint(known[name]) != fmt.Sprint(value) {
			return false
		}
	}
	return true
}

func (l *beatingLeaf) set(state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

// end stops the beats of a leaf, removes its record and ends it.
func (f *fleet) end(l *beatingLeaf) {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	l.kill()
	f.store.Remove("servers/" + l.id)
}

// addLeaf starts a leaf that beats until it ends.
func (f *fleet) addLeaf(id, service, zone string, records *ledger, behave func(*http.Request) behavior) *beatingLeaf {
	started, err := startLeaf(id, service, "127.0.0.1:0", records, behave)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	l := &beatingLeaf{leaf: started, zone: zone, state: "ready"}
	f.beat(l)
	go func() {
		for {
			time.Sleep(heartbeat)
			l.mu.Lock()
			ended := l.ended
			l.mu.Unlock()
			if ended {
				return
			}
			f.beat(l)
		}
	}()
	return l
}

func must(err error, f *fleet) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		if f != nil {
			f.stop()
		}
		os.Exit(2)
	}
}

func serviceMap(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 26}
}

func limitsMap() map[string]any {
	return map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
}

// forged: another writer writes entries with missing fields under the ids of leafs of another service.
func forged(path string) int {
	r := newRecord(path)
	records := &ledger{runs: map[string][]run{}}
	f, err := newFleet("target/portgauge")
	must(err, nil)
	defer f.stop()
	behave := func(*http.Request) behavior { return behavior{work: 5 * time.Millisecond, size: 100} }
	f.addLeaf("i-bill-1", "billing", "zone-a", records, behave)
	f.addLeaf("i-bill-2", "billing", "zone-b", records, behave)
	archives := []*beatingLeaf{
		f.addLeaf("i-arch-1", "archive", "zone-a", records, behave), f.addLeaf("i-arch-2", "archive", "zone-b", records, behave),
	}
	f.store.Put("op/config", map[string]any{"Version": 1,
		"Routes":   []any{routeMap("bill", "/bill/", "unsafe", "billing", 2), routeMap("arch", "/arch/", "safe", "archive", 2)},
		"Services": []any{serviceMap("billing"), serviceMap("archive")}, "Limits": limitsMap()})
	for i, zone := range []string{"zone-a", "zone-b"} {
		_, err := f.addNode(fmt.Sprintf("front-%d", i+1), zone, f.address, "")
		must(err, f)
	}
	if !f.awaitReady(15 * time.Second) {
		fmt.Fprintln(os.Stderr, "the nodes were not ready in time")
		return 2
	}
	time.Sleep(4 * time.Second)
	end := time.Now().Add(12 * time.Second)
	var wait sync.WaitGroup
	if isTroubled() {
		wait.Go(func() {
			for n, missing := range []string{"Capacity", "Sequence", "Version", "WarmupLeftMs"} {
				time.Sleep(2 * time.Second)
				l := archives[n%len(archives)]
				entry := map[string]any{
					"Service": "billing", "Address": l.address(), "Zone": l.zone, "Version": "v1", "Capacity": 4, "State": "ready",
					"WarmupLeftMs": 0, "Sequence": 1,
				}
				delete(entry, missing)
				f.store.Put("servers/"+l.id, entry)
				r.line("another writer writes servers/%s without %s: %v", l.id, missing, entry)
			}
		})
	}
	var mu sync.Mutex
	statuses := map[int]int{}
	answers := map[string]result{}
	for w := range 4 {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := open(f.nodes[(w+n)%2].front())
				if err != nil {
					continue
				}
				s := sent{id: fmt.Sprintf("client-%d-%d", w, n), method: "POST", path: "/bill/order", host: host, size: 200, deadline: 2 * time.Second}
				answer := c.do(s)
				_ = c.conn.Close()
				mu.Lock()
				statuses[answer.status]++
				answers[s.id] = answer
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	broken := 0
	records.mu.Lock()
	defer records.mu.Unlock()
	for id, runs := range records.runs {
		for _, one := range runs {
			if one.service != "billing" {
				broken++
				answer := answers[id]
				r.line("ROUTE: %s %s of %s, sent at %s, which every configuration sends to billing, is run by %s of service %s at %s; its client gets %d with the stamp %q", one.method, one.target, id,
					answer.sentAt.Format("15:04:05.000"), one.leaf, one.service, one.at.Format("15:04:05.000"), answer.status, answer.header.Get("X-Response-Stamp"))
			}
		}
	}
	r.line("answers by status: %v", statuses)
	r.line("requests for billing that leafs of archive ran: %d of %d", broken, len(records.runs))
	if broken > 0 {
		return 1
	}
	return 0
}
