package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// drill: the store comes back from a copy some seconds old, again and again, while configurations change and machines
// restart. A machine that has served a version's route must not answer 404 for it later in the same life.
func drill() {
	length, _ := time.ParseDuration(os.Args[2])
	seed, _ := strconv.ParseUint(os.Args[3], 10, 64)
	random := rand.New(rand.NewPCG(seed, 7))
	records := &ledger{runs: map[string][]run{}}
	f, err := newFleet(program())
	must(err, nil)
	defer f.stop()
	behave := func(*http.Request) behavior { return behavior{work: 2 * time.Millisecond, size: 10} }
	var leafs []*beatingLeaf
	for n := range 4 {
		leafs = append(leafs, f.addLeaf(fmt.Sprintf("i-%d", n), "single", []string{"zone-a", "zone-b"}[n%2], records, behave))
	}
	var newest atomic.Int64
	var mu sync.Mutex
	var stored map[string]any
	var routes []any
	configure := func() {
		mu.Lock()
		defer mu.Unlock()
		version := newest.Load() + 1 + int64(random.IntN(3))
		routes = append(routes, routeMap(fmt.Sprintf("n%d", version), fmt.Sprintf("/n%d/", version), "safe", "single", 2))
		stored = map[string]any{"Version": version, "Routes": routes, "Services": []any{serviceMap("single")}, "Limits": limitsMap()}
		f.store.Put("op/config", stored)
		newest.Store(version)
	}
	configure()
	for i := range 5 {
		_, err := f.addNode(fmt.Sprintf("front-%d", i), []string{"zone-a", "zone-b"}[i%2], f.address, "")
		must(err, f)
	}
	f.awaitReady(15 * time.Second)
	end := time.Now().Add(length)
	var wait sync.WaitGroup
	var checked atomic.Int64
	lives := make([]atomic.Int64, len(f.nodes))
	for i, n := range f.nodes {
		wait.Go(func() {
			served := map[int64]time.Time{}
			life := lives[i].Load()
			for k := 0; time.Now().Before(end); k++ {
				time.Sleep(15 * time.Millisecond)
				now := lives[i].Load()
				if now != life {
					life = now
					served = map[int64]time.Time{}
				}
				version := newest.Load()
				c, err := open(n.front())
				if err != nil {
					continue
				}
				s := sent{id: fmt.Sprintf("p-%d-%d", i, k), method: "GET", path: fmt.Sprintf("/n%d/x", version), host: host, deadline: time.Second}
				answer := c.do(s)
				_ = c.conn.Close()
				if lives[i].Load() != life {
					continue
				}
				checked.Add(1)
				switch at, isServed := served[version]; {
				case answer.status == 200 && !isServed:
					served[version] = time.Now()
				case answer.status == 404 && isServed && answer.sentAt.Sub(at) > 250*time.Millisecond:
					fmt.Printf("%s CONFIG: %s answers 404 for version %d, which it served %v before\n", time.Now().Format("15:04:05.000"), n.name, version, answer.sentAt.Sub(at))
				}
			}
		})
	}
	for time.Now().Before(end.Add(-6 * time.Second)) {
		f.store.Backup()
		for range 1 + random.IntN(3) {
			time.Sleep(time.Duration(random.IntN(1200)) * time.Millisecond)
			configure()
		}
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		restarted := -1
		if random.IntN(2) == 0 {
			restarted = random.IntN(len(f.nodes))
			lives[restarted].Add(1)
			f.nodes[restarted].signal(syscall.SIGKILL)
			f.nodes[restarted].wait(time.Second)
		}
		f.store.SetFaults(kvFaults{Refuse: 503})
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
		if restarted >= 0 {
			must(f.nodes[restarted].start(f), f)
		}
		f.store.Restore()
		f.store.SetFaults(kvFaults{})
		fmt.Println(time.Now().Format("15:04:05.000"), "drill, restarted", restarted, "newest", newest.Load())
		for _, l := range leafs {
			time.AfterFunc(time.Duration(random.IntN(1200))*time.Millisecond, func() { f.beat(l) })
		}
		time.Sleep(time.Duration(500+random.IntN(2500)) * time.Millisecond)
		mu.Lock()
		f.store.Put("op/config", stored)
		mu.Unlock()
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
	}
	wait.Wait()
	fmt.Println("checked", checked.Load())
}
