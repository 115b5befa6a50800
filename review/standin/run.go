package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// templatePath is the template of the nodes' settings that the deploy file names, from the root of the repository.
const templatePath = "deploy/settings.yaml"

// run is one run of a case: its store, nodes and record.
type run struct {
	program string
	trouble bool
	dir     string
	store   *kvstore.Store
	address string // of the store
	server  *http.Server
	nodes   []*node
	began   time.Time
	// troubleAt is when the first span of disruption begins, in nanoseconds since began; 0 before that.
	troubleAt atomic.Int64

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

// node is a process of the project's program.
type node struct {
	name     string
	front    string
	ready    string
	settings string
	command  *exec.Cmd
	ended    chan struct{}
}

// newRun starts the store and opens the record.
func newRun(program, recordPath string, trouble bool) (*run, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &run{
		program: program, trouble: trouble, dir: dir, store: kvstore.New(0), address: listener.Addr().String(),
		began: time.Now(), file: file, writer: bufio.NewWriter(file),
	}
	r.server = &http.Server{Handler: r.store.Handler()}
	go func() { _ = r.server.Serve(listener) }()
	r.record("disruption: %v", trouble)
	return r, nil
}

// The disruption comes in spans with pauses. The longest span of a site is 5 seconds for late answers and 6.8 for others.
const (
	troubleSpan  = 10 * time.Second
	troublePause = 2 * time.Second
)

// beginTrouble begins the spans of disruption, unless the run is without it.
func (r *run) beginTrouble(what string) {
	if r.trouble {
		r.record("disruption, for %s at a time: %s", troubleSpan, what)
		r.troubleAt.Store(int64(time.Since(r.began)))
	}
}

// isDisrupted reports whether a span of disruption lasts now.
func (r *run) isDisrupted() bool {
	began := time.Duration(r.troubleAt.Load())
	return began > 0 && (time.Since(r.began)-began)%(troubleSpan+troublePause) < troubleSpan
}

// record writes a line with the time since the start.
func (r *run) record(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.4f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// close ends all processes and the store, and closes the record.
func (r *run) close() {
	for _, started := range r.nodes {
		started.stop()
	}
	_ = r.server.Close()
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

// zones are the zones of all cases.
var zones = []string{"dub-a", "dub-b", "dub-c"}

// addNodes chooses the addresses of all nodes, fills the template for each, and starts them.
func (r *run) addNodes(count int) error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	fields := make([]map[string]string, count)
	var seeds []string
	for index := range count {
		fields[index], err = r.fields(index)
		if err != nil {
			return err
		}
		seeds = append(seeds, `"`+fields[index]["Listen.Control"]+`"`)
	}
	for index, values := range fields {
		values["Seeds|json"] = "[" + strings.Join(seeds[:min(3, count)], ",") + "]"
		started := &node{name: values["NodeName"], front: values["Listen.Front"], ready: values["Listen.Ready"]}
		started.settings = filepath.Join(r.dir, fmt.Sprintf("node-%d.yaml", index))
		if err := os.WriteFile(started.settings, []byte(fill(string(template), values)), 0o600); err != nil {
			return err
		}
		if err := started.start(r); err != nil {
			return err
		}
		r.nodes = append(r.nodes, started)
	}
	return nil
}

// fields returns the platform's settings of a machine, as DEPLOY.md describes them. Each machine has its own loopback
// address, since the template has a fixed port.
func (r *run) fields(index int) (map[string]string, error) {
	ip := fmt.Sprintf("127.%d.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250), 10+index)
	ports := make([]string, 5)
	for position := range ports {
		listener, err := net.Listen("tcp4", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		_, ports[position], _ = net.SplitHostPort(listener.Addr().String())
	}
	zone := zones[index%len(zones)]
	return map[string]string{
		"NodeName": fmt.Sprintf("front-%s-%d", zone, 1+index/len(zones)), "Zone": zone, "Ip": ip,
		"Limits.Cores": "1", "Limits.CpuShare": "0.4",
		"Listen.Control": ip + ":" + ports[0], "Listen.Front": ip + ":" + ports[1], "Listen.Ready": ip + ":" + ports[2],
		"PortRange.0": ports[3], "PortRange.1": ports[4], "platform.Address": r.address,
		"Zones|json":          `{"dub-a":"dub","dub-b":"dub","dub-c":"dub"}`,
		"Bounds.RetryRatio":   "0.2",
		"Bounds.RetryWindowS": "10", "Bounds.RetrySlack": "56",
		"Bounds.WarmupExcess": "", "Bounds.WarmupSlack": "",
	}, nil
}

// fill fills the gaps of a template. The section of canaries is left out, since the machine has no such bound.
func fill(template string, values map[string]string) string {
	if before, rest, found := strings.Cut(template, "{{#Bounds.CanaryShare}}"); found {
		_, after, _ := strings.Cut(rest, "{{/Bounds.CanaryShare}}")
		template = before + after
	}
	for name, value := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", value)
	}
	return template
}

// start starts the node's process as the deploy file does.
func (n *node) start(r *run) error {
	n.command = exec.Command(r.program, "node", "--settings", n.settings)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PORTGAUGE_CONFIG=" + n.settings}
	log, err := os.Create(n.settings + ".log")
	if err != nil {
		return err
	}
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	r.record("started %s, process %d", n.name, n.command.Process.Pid)
	go func() {
		_ = n.command.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// stop kills the node's process and waits for its end.
func (n *node) stop() {
	_ = n.command.Process.Kill()
	<-n.ended
}

// awaitReady waits until all nodes are ready.
func (r *run) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(limit)
	for _, awaited := range r.nodes {
		for !isReady(client, awaited) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", awaited.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		r.record("%s is ready", awaited.name)
	}
	return nil
}

func isReady(client *http.Client, asked *node) bool {
	answer, err := client.Get("http://" + asked.ready + "/portgauge/readiness")
	if err != nil {
		return false
	}
	_ = answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
