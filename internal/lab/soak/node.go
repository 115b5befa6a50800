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

// nodeState is one node with its links; the process may be replaced.
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
	// before is the newest output of the process before.
	before string
	life   int
	cut    bool
	// isClaimed says that a fault holds on the process, which others leave alone.
	isClaimed bool
	// troubles are when faults held on the node, with the time that it has to recover.
	troubles []trouble
	// stops are when it was asked to stop.
	stops []time.Time
}

// trouble is a span in which a node is not held to promises with a time bound.
type trouble struct {
	from, until time.Time
	// planned says that it is a planned stop.
	planned bool
}

// nodeAddresses is how many addresses a node needs.
const nodeAddresses = 7

// addNodes starts nodes. All addresses are drawn at once: drawn node by node, two of 40 nodes had one in common, since
// those of a node are free until it listens.
func (w *world) addNodes(count int) error {
	addresses, err := process.FreeAddresses(nodeAddresses * count)
	if err != nil {
		return err
	}
	for index := range count {
		if err := w.addNode(index, addresses[nodeAddresses*index:]); err != nil {
			return err
		}
	}
	return nil
}

// addNode starts a node with links of its own to the store and from other nodes.
func (w *world) addNode(index int, addresses []string) error {
	var err error
	node := &nodeState{name: fmt.Sprintf("node-%d", index), zone: zoneName(index % zoneCount), front: addresses[3], peers: addresses[5]}
	if node.storeLink, err = NewLink(w.address); err != nil {
		return err
	}
	node.peerLink, err = forwarder.NewPeer(addresses[5], addresses[2], func(string) bool { return !node.isCut() })
	if err != nil {
		return err
	}
	if node.treeLink, err = NewLink(addresses[6]); err != nil {
		return err
	}
	node.settings = filepath.Join(w.folder, node.name+".yaml")
	content := fmt.Sprintf(settingsText, node.name, node.zone, addresses[0], addresses[1], addresses[2], addresses[5],
		addresses[3], addresses[4], addresses[6], node.treeLink.Address(), processorsOf(index), node.storeLink.Address(), platform.Name, w.seed(node),
		rollouts.Share, rollouts.Slack)
	if err := os.WriteFile(node.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.nodes = append(w.nodes, node)
	return w.startNode(node)
}

// seed gives the peer address that a node is told to join through: the first node's own.
func (w *world) seed(node *nodeState) string {
	if len(w.nodes) == 0 {
		return node.peers
	}
	return w.nodes[0].peers
}

// processorsOf gives the processors of a node: the first of each zone has far more, so that the others
// let it gather for them.
func processorsOf(index int) float64 {
	if index < zoneCount {
		return 0.8
	}
	return 0.2
}

// settingsText is a node's settings file.
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
func (w *world) startNode(node *nodeState) error {
	started, err := process.Start(node.name, w.program, "node", "--settings", node.settings)
	if err != nil {
		return err
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if node.process != nil {
		node.before = node.process.Output()
	}
	node.process = started
	node.life++
	return nil
}

// output gives the newest output of the node's process and of the one before.
func (n *nodeState) output() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.before + n.process.Output()
}

// claim takes the node's process for a fault; false while another one has it.
func (n *nodeState) claim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	isFree := !n.isClaimed
	n.isClaimed = true
	return isFree
}

// yield gives the node's process back.
func (n *nodeState) yield() {
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

// touch notes that a fault holds on the node for a span.
func (n *nodeState) touch(span time.Duration, planned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.troubles = append(n.troubles, trouble{from: now, until: now.Add(span), planned: planned})
}

// stop notes that the node is asked to stop, as planned work.
func (n *nodeState) stop(span time.Duration) {
	n.touch(span, true)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stops = append(n.stops, time.Now())
}

// isTroubled reports whether a fault held on the node in a span; planned stops count if asked for.
func (n *nodeState) isTroubled(from, until time.Time, withPlanned bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, t := range n.troubles {
		if (withPlanned || !t.planned) && t.from.Before(until) && t.until.After(from) {
			return true
		}
	}
	return false
}

// lifeNow gives the number of the node's process.
func (n *nodeState) lifeNow() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.life
}

// stopTimes gives when the node was asked to stop.
func (n *nodeState) stopTimes() []time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]time.Time(nil), n.stops...)
}
