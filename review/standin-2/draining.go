package main

import (
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drain is DrainMs of a small deployment.
	drain = 3 * time.Second
	// drainExtra is how much longer a leaf serves before it ends.
	drainExtra = 400 * time.Millisecond
	// cutTime is how long machines can't reach the store.
	cutTime = 5500 * time.Millisecond
)

// draining: all leafs of a service say that they leave while two of three machines of a zone can't reach the store.
func draining(path string) int {
	r := newRecord(path)
	records := &ledger{runs: map[string][]run{}}
	f, err := newFleet("target/portgauge")
	must(err, nil)
	defer f.stop()
	behave := func(*http.Request) behavior { return behavior{work: 150 * time.Millisecond, size: 100} }
	leafs := []*beatingLeaf{
		f.addLeaf("i-1", "orders", "zone-a", records, behave), f.addLeaf("i-2", "orders", "zone-b", records, behave),
	}
	configure := func(version int) {
		f.store.Put("op/config", map[string]any{"Version": version,
			"Routes": []any{routeMap("order", "/order/", "unsafe", "orders", 2)}, "Services": []any{serviceMap("orders")}, "Limits": limitsMap()})
	}
	configure(1)
	links := map[string]*proxy{}
	var names []string
	for i, zone := range []string{"zone-a", "zone-a", "zone-a", "zone-b"} {
		name := fmt.Sprintf("front-%d", i+1)
		link, err := newProxy(f.address)
		must(err, f)
		links[name] = link
		_, err = f.addNode(name, zone, link.address(), "")
		must(err, f)
		if zone == "zone-a" {
			names = append(names, name)
		}
	}
	if !f.awaitReady(15 * time.Second) {
		fmt.Fprintln(os.Stderr, "the nodes were not ready in time")
		return 2
	}
	time.Sleep(18 * time.Second) // all have joined, and no machine is new
	// The node that follows the store for its zone is the first by this order.
	slices.SortFunc(names, func(a, b string) int {
		if xxhash.Sum64String(a) > xxhash.Sum64String(b) {
			return -1
		}
		return 1
	})
	sound := names[2]
	var at *node
	for _, n := range f.nodes {
		if n.name == sound {
			at = n
		}
	}
	end := time.Now().Add(8 * time.Second)
	var wait sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]result{}
	for w := range 4 {
		wait.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := open(at.front())
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				s := sent{id: fmt.Sprintf("order-%d-%d", w, n), method: "POST", path: "/order/new", host: host, size: 100, deadline: 2 * time.Second}
				answer := c.do(s)
				_ = c.conn.Close()
				mu.Lock()
				answers[s.id] = answer
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	configure(2) // changes nothing but the version
	time.Sleep(100 * time.Millisecond)
	if isTroubled() {
		for _, name := range names[:2] {
			links[name].setSilent(true)
			r.line("%s can't reach the store for %s", name, cutTime)
		}
		time.AfterFunc(cutTime, func() {
			for _, name := range names[:2] {
				links[name].setSilent(false)
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	acknowledged := map[string]time.Time{}
	for _, l := range leafs {
		l.set("draining")
		acknowledged[l.id] = f.beat(l)
		r.line("the store has taken that leaf %s is draining; it ends %s later", l.id, drain+drainExtra)
		time.AfterFunc(drain+drainExtra, func() { f.end(l) })
	}
	wait.Wait()
	records.mu.Lock()
	defer records.mu.Unlock()
	late, lost := 0, 0
	for id, runs := range records.runs {
		for _, one := range runs {
			after := one.at.Sub(acknowledged[one.leaf])
			if after <= drain {
				continue
			}
			late++
			answer := answers[id]
			if answer.status/100 != 2 {
				lost++
			}
			r.line("DRAIN: %s, sent to %s at %s, reached %s %d ms after the acknowledgement; its client got %d", id, sound, answer.sentAt.Format("15:04:05.000"), one.leaf, after.Milliseconds(), answer.status)
		}
	}
	statuses := map[int]int{}
	for _, answer := range answers {
		statuses[answer.status]++
	}
	r.line("answers by status: %v", statuses)
	r.line("orders that reached a leaf more than DrainMs after the acknowledgement: %d; of these lost when the leaf ended: %d", late, lost)
	if late > 0 {
		return 1
	}
	return 0
}
