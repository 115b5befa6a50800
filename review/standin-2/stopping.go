package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// stopping: a machine is stopped again and again while many clients use kept connections at a slow pace.
func stopping() {
	rounds, _ := strconv.Atoi(os.Args[2])
	records := &ledger{runs: map[string][]run{}}
	f, err := newFleet(program())
	must(err, nil)
	defer f.stop()
	behave := func(*http.Request) behavior {
		b := behavior{work: 5 * time.Millisecond, size: 100}
		if chance(0.05) {
			b.work = time.Duration(rand.IntN(2500)) * time.Millisecond
		}
		return b
	}
	for n := range 4 {
		l := f.addLeaf(fmt.Sprintf("i-%d", n), "single", []string{"zone-a", "zone-b"}[n%2], records, behave)
		l.maxConns = 1000
	}
	service := serviceMap("single")
	service["MaxConns"] = 1000
	f.store.Put("op/config", map[string]any{"Version": 1, "Routes": []any{routeMap("u", "/u/", "unsafe", "single", 2)}, "Services": []any{service}, "Limits": limitsMap()})
	for i := range 2 {
		_, err := f.addNode(fmt.Sprintf("n-%d", i), []string{"zone-a", "zone-b"}[i%2], f.address, "")
		must(err, f)
	}
	f.awaitReady(15 * time.Second)
	victim := f.nodes[0]
	for round := range rounds {
		time.Sleep(2 * time.Second)
		stop := make(chan struct{})
		var wait sync.WaitGroup
		var mu sync.Mutex
		counts := map[string]int{}
		for w := range 600 {
			wait.Go(func() {
				c, err := open(victim.front())
				if err != nil {
					return
				}
				defer func() { _ = c.conn.Close() }()
				time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					id := fmt.Sprintf("s-%d-%d-%d", round, w, n)
					answer := c.do(sent{id: id, method: "POST", path: "/u/x", host: host, size: 50, deadline: 3 * time.Second})
					key := fmt.Sprint(answer.status)
					if answer.status == 0 {
						records.mu.Lock()
						ran := len(records.runs[id])
						records.mu.Unlock()
						key = fmt.Sprintf("closed, ran %d, after 0.2 s %v", ran, answer.took > 200*time.Millisecond)
						if ran > 0 {
							fmt.Println(time.Now().Format("15:04:05.000"), "LOST", id, answer.err, answer.took)
						}
					}
					mu.Lock()
					counts[key]++
					mu.Unlock()
					if answer.err != nil || answer.isClosed {
						return
					}
					time.Sleep(time.Duration(1500+rand.IntN(1500)) * time.Millisecond)
				}
			})
		}
		time.Sleep(4 * time.Second)
		victim.signal(syscall.SIGTERM)
		began := time.Now()
		ended := victim.wait(7 * time.Second)
		fmt.Println("round", round, "ended", ended, time.Since(began).Round(time.Millisecond))
		close(stop)
		wait.Wait()
		fmt.Println(counts)
		must(victim.start(f), f)
		f.awaitReady(10 * time.Second)
	}
}
