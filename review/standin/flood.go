package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The size of the case and the machine's limits, as in the settings of a small deployment.
const (
	floodNodes   = 4
	soundLeafs   = 2
	soundSlots   = 8
	soundWork    = 90 * time.Millisecond
	soundClients = 16
	floodLength  = 48 * time.Second
	otherClients = 12
	// junkShare is the share of answers that are spoiled; the sites' largest dose is 0.05.
	junkShare        = 0.1
	memoryBytes      = 284 * 1000 * 1000
	linkBytesPerTick = 1000 * 1000 * 1000 / 8 / 100 // of a link of 1,000 Mbit/s, in a hundredth of a second
	linkTick         = 10 * time.Millisecond
	restartDelay     = 300 * time.Millisecond
	// lostLimit is how often a machine may close a kept connection whose request a sound leaf has.
	lostLimit = 3
)

// link limits what a leaf sends on all connections to the rate of one link.
type link struct {
	mu   sync.Mutex
	next time.Time
}

// wait waits until one tick's bytes may be sent.
func (l *link) wait() {
	l.mu.Lock()
	at := l.next
	if now := time.Now(); at.Before(now) {
		at = now
	}
	l.next = at.Add(linkTick)
	l.mu.Unlock()
	time.Sleep(time.Until(at))
}

// runFlood sends requests of a safe route to sound leafs on kept connections, and a few of an unsafe route to a service
// of which one leaf is in disruption: it answers some of them with bytes that are no answer.
func runFlood(r *run) (bool, error) {
	sound := &ledger{runs: map[string]int{}, statuses: map[string]int{}}
	other := &ledger{runs: map[string]int{}, statuses: map[string]int{}}
	r.store.Put("op/config", floodConfig())
	leafs := []*leaf{}
	for index := range soundLeafs {
		leafs = append(leafs, &leaf{service: "collections-app", zone: zones[index], slots: soundSlots, queue: 12, work: soundWork, onRun: sound.ran})
		leafs = append(leafs, &leaf{service: "ledger-sync", zone: zones[index], slots: soundSlots, queue: 12, work: soundWork, onRun: other.ran})
	}
	for _, started := range leafs {
		started.run, started.id = r, fmt.Sprintf("i-%08x", rand.Uint32())
		if err := started.start(); err != nil {
			return false, err
		}
	}
	if err := r.addNodes(floodNodes); err != nil {
		return false, err
	}
	if err := r.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	platform := r.enforceMemory()
	time.Sleep(settleLength)
	leafs[1].junk = junkShare
	r.beginTrouble("a leaf of ledger-sync, " + leafs[1].id + ", answers some requests with bytes that are no answer")
	lost := r.playFlood(sound, other)
	platform.stop()
	broken := false
	for _, watched := range r.nodes {
		count := lost[watched.name]
		r.record("%s closed %d kept connections without an answer, whose request a sound leaf had; it was over its memory %d times",
			watched.name, count, platform.kills[watched.name])
		broken = broken || count > lostLimit
	}
	return broken, nil
}

// playFlood plays the clients, and returns how many kept connections each node closed without an answer although a
// sound leaf had the request.
func (r *run) playFlood(sound, other *ledger) map[string]int {
	until := time.Now().Add(floodLength)
	var clients sync.WaitGroup
	lost := map[string]int{}
	var mu sync.Mutex
	for index := range soundClients {
		clients.Go(func() {
			asked := r.nodes[index%len(r.nodes)]
			c := &client{run: r, front: asked.front, counts: sound, host: soundHost}
			for time.Now().Before(until) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				wasKept := c.conn != nil
				status := c.post(id)
				if status == 0 && wasKept && sound.runsOf(id) > 0 {
					r.record("LOST: %s closed the kept connection of %s without an answer; a sound leaf runs it", asked.name, id)
					mu.Lock()
					lost[asked.name]++
					mu.Unlock()
				}
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
			c.close()
		})
	}
	for index := range otherClients {
		clients.Go(func() {
			c := &client{run: r, front: r.nodes[index%len(r.nodes)].front, counts: other, host: ledgerHost}
			for time.Now().Before(until) {
				c.post(fmt.Sprintf("%016x", rand.Uint64()))
				time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
			}
			c.close()
		})
	}
	clients.Wait()
	return lost
}

// memoryLimit is the platform's limit of memory: it kills a process over it, and starts it again.
type memoryLimit struct {
	stopping chan struct{}
	stopped  chan struct{}
	kills    map[string]int // by node
}

func (r *run) enforceMemory() *memoryLimit {
	limit := &memoryLimit{stopping: make(chan struct{}), stopped: make(chan struct{}), kills: map[string]int{}}
	go func() {
		defer close(limit.stopped)
		for {
			select {
			case <-limit.stopping:
				return
			case <-time.After(linkTick):
			}
			for _, watched := range r.nodes {
				if used := residentBytes(watched.command.Process.Pid); used > memoryBytes {
					limit.kills[watched.name]++
					r.record("%s uses %d MB, more than its MemoryMb: the platform kills it", watched.name, used/1000/1000)
					watched.stop()
					time.Sleep(restartDelay)
					if err := watched.start(r); err != nil {
						r.record("%v", err)
						return
					}
				}
			}
		}
	}()
	return limit
}

func (l *memoryLimit) stop() {
	close(l.stopping)
	<-l.stopped
}

// residentBytes returns the memory that a process uses, 0 if it has ended.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(content))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// sendNoAnswer sends bytes that are no answer, a status line and then short lines without an end, until the caller closes
// the connection. It returns how many it sent.
func (l *link) sendNoAnswer(conn net.Conn) int64 {
	junk := []byte("HTTP/1.1 200 OK\r\n")
	for sent, number := int64(0), 0; ; {
		for ; len(junk) < linkBytesPerTick; number++ {
			junk = fmt.Appendf(junk, "%d:\r\n", number)
		}
		l.wait()
		written, err := conn.Write(junk)
		sent += int64(written)
		if err != nil {
			return sent
		}
		junk = junk[:0]
	}
}

// soundHost is the host of the route to the sound leafs.
const soundHost = "collections.example"

// floodConfig is the operator's configuration: a safe route to the sound leafs, an unsafe route to the other service.
func floodConfig() any {
	config := ledgerConfig()
	config["Routes"] = append(config["Routes"].([]object), object{
		"Name": "r-collections", "Host": soundHost, "PathPrefix": "/book/", "Type": "safe", "TimeoutMs": 6000, "ObjectiveMs": 400,
		"Priority": 2, "Service": "collections-app", "MaxAttempts": 2,
	})
	config["Services"] = append(config["Services"].([]object), object{
		"Name": "collections-app", "HealthPath": "/health", "MaxConns": 110, "Protocol": "h1", "Tls": false,
	})
	return config
}
