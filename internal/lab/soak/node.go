package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/forwarder"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/platform"
)

// nodeState is a node and its links. Its process may be replaced.
type nodeState struct {
	name      string
	zone      string
	front     string
	peers     string
	settings  string
	storeLink *Link
	peerLink  *forwarder.Forwarder
	treeLink  *Link

	mu      sync.Mutex
	process *process.Process
	// previousOutput is the newest output of the previous process.
	previousOutput string
	// processNumber is the number of the process; the first is 1.
	processNumber int
	// cut is set while the peer link is closed to all senders.
	cut bool
	// isClaimed is set while a fault has exclusive use of the process.
	isClaimed bool
	// faultSpans are the spans in which the node is exempt from guarantees with a time bound.
	faultSpans []faultSpan
	// stops are the times of the planned stops.
	stops []time.Time
}

// faultSpan is a span of time in which a node or leaf is exempt from guarantees with a time bound.
type faultSpan struct {
	from, until time.Time
	// planned marks a planned stop.
	planned bool
}

// nodeAddresses is the number of listen addresses per node.
const nodeAddresses = 7

// addNodes starts nodes. It selects the addresses of all nodes at once: a later selection could return an address on which
// its node doesn't listen yet.
func (e *environment) addNodes(count int) error {
	addresses, err := process.FreeAddresses(nodeAddresses * count)
	if err != nil {
		return err
	}
	for index := range count {
		if err := e.addNode(index, addresses[nodeAddresses*index:]); err != nil {
			return err
		}
	}
	return nil
}

// addNode starts a node with its own links to the store and from other nodes.
func (e *environment) addNode(index int, addresses []string) error {
	var err error
	node := &nodeState{name: fmt.Sprintf("node-%d", index), zone: zoneName(index % zoneCount), front: addresses[3], peers: addresses[5]}
	if node.storeLink, err = NewLink(e.address); err != nil {
		return err
	}
	node.peerLink, err = forwarder.NewPeer(addresses[5], addresses[2], func(string) bool { return !node.isCut() })
	if err != nil {
		return err
	}
	if node.treeLink, err = NewLink(addresses[6]); err != nil {
		return err
	}
	node.settings = filepath.Join(e.dir, node.name+".yaml")
	content := fmt.Sprintf(settingsText, node.name, node.zone, addresses[0], addresses[1], addresses[2], addresses[5],
		addresses[3], addresses[4], addresses[6], node.treeLink.Address(), processorsOf(index), node.storeLink.Address(), platform.Name, e.seed(node),
		rollouts.Share, rollouts.Slack)
	if err := os.WriteFile(node.settings, []byte(content), 0o600); err != nil {
		return err
	}
	e.nodes = append(e.nodes, node)
	return e.startNode(node)
}

// seed returns the peer address through which a node joins: the first node's address.
func (e *environment) seed(node *nodeState) string {
	if len(e.nodes) == 0 {
		return node.peers
	}
	return e.nodes[0].peers
}

// processorsOf returns the processor share of a node. The first node of each zone has the largest one, which makes it the
// intermediate of the others.
func processorsOf(index int) float64 {
	if index < zoneCount {
		return 0.8
	}
	return 0.2
}

// settingsText is the format of a node's settings file.
const settingsText = `node: {id: %s, zone: %s, processors: 1, processor_share: %[11]v}
listen: {callers: "%[3]s", operators: "%[4]s", peers: "%[5]s", advertise_peers: "%[6]s", front: "%[7]s", ready: "%[8]s", tree: "%[9]s", advertise_tree: "%[10]s"}
platform: {address: "%[12]s", dialect: %[13]s, watch_wait: 1500ms}
stop: {announce_delay: 500ms, drain_timeout: 2800ms}
config_sync: {first_read_delay: 60ms, watchers_per_zone: 3, watch_silence: 2400ms, maximum_retry_pause: 500ms}
retry_budget: {ratio: 0.2, window: 10s, allowance: 56}
rollouts: {enabled: true}
canary: {share: %[15]v, slack: %[16]v}
decision_log: {lines_per_second: 100}
seeds: ["%[14]s"]
`

// startNode starts the process of a node.
func (e *environment) startNode(node *nodeState) error {
	started, err := process.Start(node.name, e.program, "node", "--settings", node.settings)
	if err != nil {
		return err
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.process != nil {
		node.previousOutput = node.process.Output()
	}
	node.process = started
	node.processNumber++
	return nil
}

// output returns the newest output of the previous process followed by the output of the current one.
func (n *nodeState) output() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.previousOutput + n.process.Output()
}

// claim reserves the node's process for a fault. It returns false if another fault has reserved it.
func (n *nodeState) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isFree := !n.isClaimed
	n.isClaimed = true
	return isFree
}

// release ends the reservation.
func (n *nodeState) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isClaimed = false
}

func (n *nodeState) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *nodeState) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// recordFault records that a fault affects the node from now on for the given span.
func (n *nodeState) recordFault(span time.Duration, planned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.faultSpans = append(n.faultSpans, faultSpan{from: now, until: now.Add(span), planned: planned})
}

// recordStop records a planned stop of the node.
func (n *nodeState) recordStop(span time.Duration) {
	n.recordFault(span, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops = append(n.stops, time.Now())
}

// hadFault reports whether a fault affected the node between two times. Planned stops count as faults if withPlanned is set.
func (n *nodeState) hadFault(from, until time.Time, withPlanned bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.faultSpans {
		if (withPlanned || !t.planned) && t.from.Before(until) && t.until.After(from) {
			return true
		}
	}
	return false
}

// currentProcessNumber returns the number of the node's process, the first being 1.
func (n *nodeState) currentProcessNumber() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.processNumber
}

// stopTimes returns the times of the node's planned stops.
func (n *nodeState) stopTimes() []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]time.Time(nil), n.stops...)
}
