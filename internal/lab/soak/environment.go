package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/kvstore"
	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/platform"
)

// Numbers of nodes, zones, services, leafs and records.
const (
	leastNodes    = 4
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

// environment is everything that a soak runs: a stand-in store and leafs in this process, nodes as processes of their own, and the
// links between them.
type environment struct {
	names    httpnames.Names
	program  string
	folder   string
	store    *kvstore.Store
	server   *http.Server
	address  string
	gathered []string

	// operating serialises operators that replace leafs.
	operating       sync.Mutex
	operatorEntries operatorEntries

	mu    sync.Mutex
	leafs map[string]*leafState
	// serving is the version that serves each service.
	serving map[string]*rollouts.Version
	nodes   []*nodeState
	version int
	// changes are the configurations that the store accepted, in order.
	changes []change
	// evacuations are those of all zones, in order.
	evacuations []evacuation
	nextID      int
	// isClosed is set once nothing more may be started; failures are errors of replacing crashed leafs.
	isClosed bool
	failures []error

	crashLog crashLog
}

// evacuation is the time in which the leafs of a zone must get no requests.
type evacuation struct {
	zone string
	from time.Time
	// until is zero while it lasts.
	until time.Time
}

func newEnvironment(program, folder string, nodes int) (*environment, error) {
	w := &environment{names: platform.HTTPNames(), program: program, folder: folder, store: kvstore.New(0), leafs: map[string]*leafState{}}
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
	if err := w.addNodes(max(leastNodes, nodes)); err != nil {
		return nil, err
	}
	return w, nil
}

// checkStarted returns a failure if the process of a node has ended, as when another program took a port that had been free
// a moment before: the soak would run on with fewer nodes.
func (w *environment) checkStarted() error {
	for _, node := range w.nodes {
		if !node.process.Running() {
			return failure.New(failure.Internal, failure.NotRun, "%s did not start: %s", node.name, node.output())
		}
	}
	return nil
}

// close ends everything that the soak started.
func (w *environment) close() {
	w.mu.Lock()
	w.isClosed = true
	w.mu.Unlock()
	for _, node := range w.nodes {
		node.process.Kill()
		node.storeLink.Close()
		node.peerLink.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, state := range w.leafs {
		state.leaf.Stop()
		state.link.Close()
	}
	_ = w.server.Close()
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

// isCalmAt reports whether no node was affected by a fault shortly before a time.
func (w *environment) isCalmAt(at time.Time) bool {
	for _, node := range w.nodes {
		if node.hadFault(at.Add(-drainBound), at, true) {
			return false
		}
	}
	return true
}
