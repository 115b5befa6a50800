package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// configApply is ConfigApplyMs of a small deployment.
const configApply = 3 * time.Second

// unreadable: another writer writes bytes that can't be read under a key with the system's own prefix, and then the
// configuration changes.
func unreadable(path string) int {
	r := newRecord(path)
	f, err := newFleet("target/portgauge")
	must(err, nil)
	defer f.stop()
	records := &ledger{runs: map[string][]run{}}
	behave := func(*http.Request) behavior { return behavior{work: 2 * time.Millisecond, size: 10} }
	f.addLeaf("i-1", "pages", "zone-a", records, behave)
	f.addLeaf("i-2", "pages", "zone-a", records, behave)
	var routes []any
	configure := func(version int) time.Time {
		routes = append(routes, routeMap(fmt.Sprintf("r-%d", version), fmt.Sprintf("/v%d/", version), "safe", "pages", 2))
		f.store.Put("op/config", map[string]any{"Version": version, "Routes": routes, "Services": []any{serviceMap("pages")}, "Limits": limitsMap()})
		r.line("the store has taken version %d, which adds the route /v%d/", version, version)
		return time.Now()
	}
	configure(1)
	for i := range 10 {
		_, err := f.addNode(fmt.Sprintf("front-%d", i+1), "zone-a", f.address, "")
		must(err, f)
	}
	if !f.awaitReady(20 * time.Second) {
		fmt.Fprintln(os.Stderr, "the nodes were not ready in time")
		return 2
	}
	time.Sleep(18 * time.Second) // all have joined, and no machine is new
	late := 0
	// check asks every machine for a version's route until the end of a span, and counts the answers that only an older
	// version allows although the bound has passed.
	check := func(version int, taken time.Time, span time.Duration) {
		var wait sync.WaitGroup
		var mu sync.Mutex
		for _, n := range f.nodes {
			wait.Go(func() {
				first, refused := time.Duration(0), 0
				for k := 0; time.Since(taken) < span; k++ {
					c, err := open(n.front())
					if err != nil {
						continue
					}
					answer := c.do(sent{id: fmt.Sprintf("%s-%d-%d", n.name, version, k), method: "GET", path: fmt.Sprintf("/v%d/x", version), host: host, deadline: time.Second})
					_ = c.conn.Close()
					after := answer.sentAt.Sub(taken)
					if answer.status == http.StatusOK && first == 0 {
						first = after
					}
					if answer.status == http.StatusNotFound && after > configApply {
						refused++
					}
					time.Sleep(50 * time.Millisecond)
				}
				mu.Lock()
				defer mu.Unlock()
				switch {
				case refused > 0 && first == 0:
					r.line("CONFIG: %s answers 404 for version %d to all of its requests for %s, %d of them sent more than %s after the store had taken it", n.name, version, span, refused, configApply)
				case refused > 0:
					r.line("CONFIG: %s answers 404 for version %d to %d requests sent more than %s after the store had taken it, and serves it after %s", n.name, version, refused, configApply, first)
				default:
					r.line("%s serves version %d after %s", n.name, version, first)
				}
				late += refused
			})
		}
		wait.Wait()
	}
	check(2, configure(2), 5*time.Second)
	if isTroubled() {
		f.store.PutBytes("portgauge/node/other", []byte{0xff, 0x00, 0xfe})
		r.line("another writer writes the bytes ff 00 fe under portgauge/node/other, once")
		time.Sleep(time.Second)
	}
	check(3, configure(3), 10*time.Second)
	check(4, configure(4), 10*time.Second)
	r.line("requests that a machine handled as only an older version allows, sent more than ConfigApplyMs after the acknowledgement: %d", late)
	if late > 0 {
		return 1
	}
	return 0
}
