package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// settings follow deploy/settings.yaml, filled for a machine of a small deployment.
const settings = `node:
  id: "%[1]s"
  zone: "%[2]s"
  processors: 1
  processor_share: 0.4
listen:
  callers: "127.0.0.1:%[3]d"
  operators: "127.0.0.1:%[4]d"
  peers: "127.0.0.1:%[5]d"
  front: "127.0.0.1:%[6]d"
  ready: "127.0.0.1:%[7]d"
  tree: "127.0.0.1:%[8]d"
platform:
  address: "%[9]s"
  dialect: kv
regions: {"zone-a":"region","zone-b":"region"}
seeds: ["%[10]s"]
stop:
  announce_delay: 2300ms
  drain_timeout: 2800ms
retry_budget:
  ratio: 0.2
  window: 10s
  allowance: 56
warmup:
  excess: 
  slack: 
config_sync:
  first_read_delay: 60ms
  watchers_per_zone: 3
  watch_silence: 2400ms
  maximum_retry_pause: 500ms
decision_log:
  lines_per_second: 1
  failure_lines_per_second: 20
  queue: 256
%[11]s`

type node struct {
	name, zone, file string
	ports            []int
	mu               sync.Mutex
	process          *exec.Cmd
	ended            chan struct{}
}

func (n *node) front() string { return fmt.Sprintf("127.0.0.1:%d", n.ports[3]) }
func (n *node) ready() string {
	return fmt.Sprintf("http://127.0.0.1:%d/portgauge/readiness", n.ports[4])
}

type fleet struct {
	dir     string
	program string
	store   *kvstore.Store
	address string
	nodes   []*node
}

// Ports of nodes are taken from below those that the system gives to others, by each process of this program from a
// part of its own, so that two that run at the same time don't take the same.
const (
	firstPort    = 20000
	portsPerPart = 120
	portParts    = 100
)

// givenPorts are the ports that this process has given to nodes, which may not listen on them yet.
var givenPorts = map[int]bool{}

// freePorts returns free ports of the loopback address.
func freePorts(count int) ([]int, error) {
	var ports []int
	for range 1000 {
		port := firstPort + os.Getpid()%portParts*portsPerPart + rand.IntN(portsPerPart)
		if len(ports) == count {
			return ports, nil
		}
		if givenPorts[port] || !isFree(port) {
			continue
		}
		givenPorts[port] = true
		ports = append(ports, port)
	}
	return nil, errors.New("no free ports")
}

// isFree reports whether a port is free for TCP and UDP.
func isFree(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return c.Close() == nil
}

// newFleet starts the store.
func newFleet(program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, store: kvstore.New(0)}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store.Handler()) }()
	return f, nil
}

// addNode starts a node. storeAddress may be that of a proxy before the store.
func (f *fleet) addNode(name, zone, storeAddress, further string) (*node, error) {
	ports, err := freePorts(6)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, zone: zone, ports: ports, file: filepath.Join(f.dir, name+".yaml")}
	seed := fmt.Sprintf("127.0.0.1:%d", ports[2])
	if len(f.nodes) > 0 {
		seed = fmt.Sprintf("127.0.0.1:%d", f.nodes[0].ports[2])
	}
	text := fmt.Sprintf(settings, name, zone, ports[0], ports[1], ports[2], ports[3], ports[4], ports[5], storeAddress, seed, further)
	if err := os.WriteFile(n.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.nodes = append(f.nodes, n)
	return n, n.start(f)
}

func (n *node) start(f *fleet) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(f.program, "node", "--settings", n.file)
	n.process.Stdout, n.process.Stderr = log, log
	n.ended = make(chan struct{})
	if err := n.process.Start(); err != nil {
		return err
	}
	ended, process := n.ended, n.process
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil && n.process.Process != nil {
		_ = n.process.Process.Signal(s)
	}
}

func (n *node) hasEnded() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

func (n *node) wait(limit time.Duration) bool {
	n.mu.Lock()
	ended := n.ended
	n.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	answer, err := client.Get(n.ready())
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}

func (f *fleet) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, n := range f.nodes {
			all = all && n.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

// stop ends all processes.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.signal(syscall.SIGCONT)
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		n.wait(5 * time.Second)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// putLeaf writes the record of a leaf.
func (f *fleet) putLeaf(l *leaf, zone, state string, sequence int) {
	f.store.Put("servers/"+l.id, map[string]any{
		"Service": l.service, "Address": l.address(), "Zone": zone, "Version": "v1", "Capacity": 4, "State": state,
		"WarmupLeftMs": 0, "Sequence": sequence,
	})
}
