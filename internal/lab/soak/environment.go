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
	minNodes              = 4
	zoneCount             = 2
	gatheredServices      = 8
	leafsPerVersion       = 2
	leafsPerSingleService = 3
	topRecords            = 5
	recordBytes           = 16
	leafRecords           = 4
	minCoverage           = 0.6
)

// Names of the services and the host.
const (
	host        = "soak.example"
	singleName  = "single"
	anotherName = "another"
)

// environment holds everything that a soak runs: a stand-in store and stand-in leafs in this process, nodes as separate
// processes, and the links between them.
type environment struct {
	names    httpnames.Names
	program  string
	dir      string
	store    *kvstore.Store
	server   *http.Server
	address  string
	gathered []string

	// replacementMu serializes the replacement of leafs.
	replacementMu   sync.Mutex
	operatorEntries operatorEntries

	mu    sync.Mutex
	leafs map[string]*leafState
	// serving holds the version that serves each service.
	serving map[string]*rollouts.Version
	nodes   []*nodeState
	version int
	// changes are the configurations that the store accepted, oldest first.
	changes []change
	// evacuations are the evacuations of all zones, oldest first.
	evacuations []evacuation
	nextID      int
	// isClosed is set once no leafs may be started; replacementErrs are the errors of replacing crashed leafs.
	isClosed        bool
	replacementErrs []error

	crashLog crashLog
}

// evacuation is a span of time in which the leafs of a zone must receive no requests.
type evacuation struct {
	zone string
	from time.Time
	// until is zero while the evacuation is in force.
	until time.Time
}

func newEnvironment(program, dir string, nodes int) (*environment, error) {
	e := &environment{names: platform.HTTPNames(), program: program, dir: dir, store: kvstore.New(0), leafs: map[string]*leafState{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e.address = listener.Addr().String()
	e.server = &http.Server{Handler: e.store.Handler()}
	go func() { _ = e.server.Serve(listener) }()
	for index := range gatheredServices {
		e.gathered = append(e.gathered, fmt.Sprintf("part%d", index))
	}
	for _, service := range e.gathered {
		for range leafsPerVersion {
			if _, err := e.addLeaf(service); err != nil {
				return nil, err
			}
		}
	}
	for _, service := range []string{singleName, anotherName} {
		for range leafsPerSingleService {
			if _, err := e.addLeaf(service); err != nil {
				return nil, err
			}
		}
	}
	e.configure(singleName)
	if err := e.addNodes(max(minNodes, nodes)); err != nil {
		return nil, err
	}
	return e, nil
}

// checkStarted returns an error if the process of a node has ended, for example because another program took its port. The
// soak would otherwise continue with fewer nodes.
func (e *environment) checkStarted() error {
	for _, node := range e.nodes {
		if !node.process.Running() {
			return failure.New(failure.Internal, failure.NotRun, "%s did not start: %s", node.name, node.output())
		}
	}
	return nil
}

// close stops the nodes, the leafs, the store, and the links except the tree links.
func (e *environment) close() {
	e.mu.Lock()
	e.isClosed = true
	e.mu.Unlock()
	for _, node := range e.nodes {
		node.process.Kill()
		node.storeLink.Close()
		node.peerLink.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, state := range e.leafs {
		state.leaf.Stop()
		state.link.Close()
	}
	_ = e.server.Close()
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

// isFaultFreeAt reports whether no node was affected by a fault within drainBound before the given time.
func (e *environment) isFaultFreeAt(at time.Time) bool {
	for _, node := range e.nodes {
		if node.hadFault(at.Add(-drainBound), at, true) {
			return false
		}
	}
	return true
}
