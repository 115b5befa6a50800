package soak

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/httpdialect"
	"github.com/portgauge/portgauge/internal/lab/forwarder"
	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/lab/kvstore"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/platform"
)

// The shape of the world.
const (
	nodeCount     = 4
	zoneCount     = 2
	gatheredCount = 8
	leafsEach     = 2
	singleLeafs   = 3
	topRecords    = 5
	recordBytes   = 16
	leafRecords   = 4
	minCoverage   = 0.6
)

// Names of the services and the host.
const (
	host        = "soak.example"
	singleName  = "single"
	anotherName = "another"
)

// world is everything that a soak runs: a stand-in store and leafs in this process, nodes as
// processes of their own, and links between them.
type world struct {
	dialect  httpdialect.Dialect
	program  string
	folder   string
	store    *kvstore.Store
	server   *http.Server
	address  string
	gathered []string

	mu      sync.Mutex
	leafs   map[string]*leafState
	nodes   []*nodeState
	version int
	// changes are the configurations that were put in force, in order.
	changes []change
	nextID  int
}

// change is a configuration and when the store took it.
type change struct {
	version int
	// switched is the service that the switched route goes to from then on.
	switched string
	at       time.Time
}

// leafState is one incarnation of a leaf.
type leafState struct {
	leaf    *httpleaf.Leaf
	link    *Link
	service string
	zone    string
	// leavingAt is when its record said that it drains or was gone; zero while neither.
	leavingAt time.Time
	// disturbed is when a fault last touched it.
	disturbed time.Time
}

// nodeState is one node with its links; the process may be replaced.
type nodeState struct {
	name      string
	zone      string
	front     string
	peers     string
	settings  string
	storeLink *Link
	peerLink  *forwarder.Forwarder

	mu      sync.Mutex
	process *process.Process
	life    int
	cut     bool
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

// runs are the requests that a leaf ran.
func (w *world) runs() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := map[string][]string{}
	for id, state := range w.leafs {
		for _, asked := range state.leaf.Asked() {
			if asked.Incarnation == id {
				ran[asked.ID] = append(ran[asked.ID], id)
			}
		}
	}
	return ran
}

func newWorld(program, folder string) (*world, error) {
	w := &world{dialect: platform.Dialect(), program: program, folder: folder, store: kvstore.New(), leafs: map[string]*leafState{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.address = listener.Addr().String()
	w.server = &http.Server{Handler: w.store.Handler()}
	go func() { _ = w.server.Serve(listener) }()
	for index := range gatheredCount {
		w.gathered = append(w.gathered, fmt.Sprintf("part%d", index))
	}
	for _, service := range w.gathered {
		for range leafsEach {
			if _, err := w.addLeaf(service); err != nil {
				return nil, err
			}
		}
	}
	for _, service := range []string{singleName, anotherName} {
		for range singleLeafs {
			if _, err := w.addLeaf(service); err != nil {
				return nil, err
			}
		}
	}
	w.configure(singleName)
	for index := range nodeCount {
		if err := w.addNode(index); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// close ends everything that the soak started.
func (w *world) close() {
	for _, node := range w.nodes {
		node.process.Kill()
		node.storeLink.Close()
		node.peerLink.Close()
	}
	for _, state := range w.leafs {
		state.leaf.Stop()
		state.link.Close()
	}
	_ = w.server.Close()
}

// addLeaf starts an incarnation of a leaf and registers it.
func (w *world) addLeaf(service string) (string, error) {
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("leaf-%d", w.nextID)
	zone := zoneName(w.nextID % zoneCount)
	w.mu.Unlock()
	leaf, err := httpleaf.Start(id, w.dialect, func(asked httpleaf.Request) httpleaf.Answer {
		return httpleaf.Answer{Delay: 4 * time.Millisecond, Body: partBody(service, asked.ID), Load: "0,0,4", KeepAliveSeconds: 20}
	})
	if err != nil {
		return "", err
	}
	link, err := NewLink(leaf.Address())
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.leafs[id] = &leafState{leaf: leaf, link: link, service: service, zone: zone}
	w.mu.Unlock()
	w.register(id, stateReady)
	return id, nil
}

// register writes a leaf's record.
func (w *world) register(id, state string) {
	w.mu.Lock()
	known := w.leafs[id]
	w.mu.Unlock()
	w.store.Put(leafKey(id), leafRecord{
		Service: known.service, Address: known.link.Address(), Zone: known.zone, State: state, Capacity: 4, Sequence: 1,
	})
}

// configure puts a configuration in force whose switched route goes to a service.
func (w *world) configure(switched string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.store.Put(routesKey, configuration(w.version, w.gathered, switched))
	w.changes = append(w.changes, change{version: w.version, switched: switched, at: time.Now()})
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

// addNode starts a node with links of its own to the store and from other nodes.
func (w *world) addNode(index int) error {
	addresses, err := process.FreeAddresses(6)
	if err != nil {
		return err
	}
	node := &nodeState{name: fmt.Sprintf("node-%d", index), zone: zoneName(index % zoneCount), front: addresses[3], peers: addresses[5]}
	if node.storeLink, err = NewLink(w.address); err != nil {
		return err
	}
	node.peerLink, err = forwarder.NewPeer(addresses[5], addresses[2], func(string) bool { return !node.isCut() })
	if err != nil {
		return err
	}
	node.settings = filepath.Join(w.folder, node.name+".yaml")
	content := fmt.Sprintf(settingsText, node.name, node.zone, addresses[0], addresses[1], addresses[2], addresses[5],
		addresses[3], addresses[4], node.storeLink.Address(), platform.Name)
	if err := os.WriteFile(node.settings, []byte(content), 0o600); err != nil {
		return err
	}
	w.nodes = append(w.nodes, node)
	return w.startNode(node)
}

// settingsText is a node's settings file.
const settingsText = `node: {id: %s, zone: %s}
listen: {callers: "%s", operators: "%s", peers: "%s", advertise_peers: "%s", front: "%s", ready: "%s"}
platform: {address: "%s", dialect: %s, watch_wait: 1500ms}
stop: {announce_delay: 500ms, drain_timeout: 2800ms}
config_sync: {first_read_delay: 8ms, watchers_per_zone: 3, watch_silence: 2400ms, maximum_retry_pause: 500ms}
retry_budget: {ratio: 0.2, window: 10s, allowance: 56}
`

// startNode starts the process of a node.
func (w *world) startNode(node *nodeState) error {
	started, err := process.Start(node.name, w.program, "node", "--settings", node.settings)
	if err != nil {
		return err
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	node.process = started
	node.life++
	return nil
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

// serviceOf gives the service of a leaf; empty when there is none of that id.
func (w *world) serviceOf(leafID string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state, found := w.leafs[leafID]; found {
		return state.service
	}
	return ""
}

// switched gives the service that the switched route goes to by the newest configuration.
func (w *world) switched() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changes[len(w.changes)-1].switched
}

// dueAt gives the newest version that the store had taken at a time.
func (w *world) dueAt(at time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := 0
	for _, c := range w.changes {
		if !c.at.After(at) {
			due = c.version
		}
	}
	return due
}

// newestWith gives the newest version taken by a time that sends the switched route to a service.
func (w *world) newestWith(service string, until time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := 0
	for _, c := range w.changes {
		if c.switched == service && !c.at.After(until) {
			newest = c.version
		}
	}
	return newest
}

// oldestWith gives the oldest version, at least a given one, that sends the switched route to a
// service.
func (w *world) oldestWith(service string, least int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.changes {
		if c.switched == service && c.version >= least {
			return c.version
		}
	}
	return least
}

// isCalmAt reports whether no fault held on any node at a time.
func (w *world) isCalmAt(at time.Time) bool {
	for _, node := range w.nodes {
		if node.isTroubled(at.Add(-drainBound), at, true) {
			return false
		}
	}
	return true
}

// partBody gives the records of a service for a request: whoever knows both can tell what an
// answer must hold.
func partBody(service, requestID string) []byte {
	var body bytes.Buffer
	for index := range leafRecords {
		fmt.Fprintf(&body, "%016x", xxhash.Sum64String(fmt.Sprint(service, " ", requestID, " ", index)))
	}
	return body.Bytes()
}
