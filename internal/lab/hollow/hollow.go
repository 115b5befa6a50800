// Package hollow runs many hollow nodes in one process: the control side of a node alone, on
// real sockets, without searches. It reports when each change came into force on them and
// what control cost.
package hollow

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gin-gonic/gin"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/configsync"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/membership"
	"github.com/portgauge/portgauge/internal/peer"
	"github.com/portgauge/portgauge/internal/platformclient"
)

// Config says how many hollow nodes run and where.
type Config struct {
	Name string
	// First is the number of the first node in the fleet; nodes are dealt over the zones by
	// their numbers.
	First    int
	Count    int
	Zones    []string
	Platform string
	Control  string
}

// Report is what a host's nodes have seen and used so far.
type Report struct {
	Nodes []NodeAddress `json:"nodes,omitempty"`
	// Ready is how many nodes have configuration.
	Ready int `json:"ready"`
	// InForce tells of each revision how many nodes have it, and when the last got it.
	InForce map[int64]InForce `json:"in_force,omitempty"`
	// LowestRevision is the oldest in force on any node.
	LowestRevision int64 `json:"lowest_revision"`
	// Regressions counts nodes whose revision was seen to go down.
	Regressions int64 `json:"regressions"`
	// BytesSent and BytesReceived are the control bytes of all nodes, by transport.
	BytesSent     map[string]int64 `json:"bytes_sent"`
	BytesReceived map[string]int64 `json:"bytes_received"`
	// BusiestBytes is the most that one node sent and received.
	BusiestBytes int64 `json:"busiest_bytes"`
	// CPUMicros is the processor time of the whole host.
	CPUMicros int64  `json:"cpu_micros"`
	HeapBytes uint64 `json:"heap_bytes"`
	// MembersLowest and MembersHighest are the least and most members that a node knows.
	MembersLowest  int `json:"members_lowest"`
	MembersHighest int `json:"members_highest"`
	// Dead is how many deaths all nodes together believe in.
	Dead int `json:"dead"`
}

// InForce is how far a revision has come.
type InForce struct {
	Nodes int `json:"nodes"`
	// LastAt is when the last node got it, in Unix microseconds.
	LastAt int64 `json:"last_at"`
}

// NodeAddress is where a hollow node is.
type NodeAddress struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
}

// Host runs hollow nodes.
type Host struct {
	config Config
	nodes  []*node
	begin  chan struct{}
	once   sync.Once
}

// node is the control side of one node.
type node struct {
	self      peer.Member
	transport *peer.SocketTransport
	catalog   *catalog.Catalog
	syncer    *configsync.Syncer
	members   *membership.Membership
	platform  *platformclient.Client

	sent     [3]atomic.Int64
	received [3]atomic.Int64

	mutex       sync.Mutex
	inForceAt   map[int64]int64
	highest     int64
	regressions int64
}

// transports are the names of the meters, in the order of a node's counters.
var transports = [3]string{"udp", "tcp", "platform"}

// ignoreLeafs takes notices of leafs, of which a hollow node has none.
type ignoreLeafs struct{}

// SetLeaving implements configsync.LeafNoticer.
func (ignoreLeafs) SetLeaving(string, time.Time) {}

// New opens the sockets of all nodes.
func New(config Config) (*Host, error) {
	host := &Host{config: config, begin: make(chan struct{})}
	for number := range config.Count {
		made, err := newNode(config, config.First+number)
		if err != nil {
			return nil, err
		}
		host.nodes = append(host.nodes, made)
	}
	return host, nil
}

func newNode(config Config, number int) (*node, error) {
	made := &node{inForceAt: map[int64]int64{}}
	transport, err := peer.Listen("127.0.0.1:0", "", made.count)
	if err != nil {
		return nil, err
	}
	made.transport = transport
	made.platform, err = platformclient.New(config.Platform, func(sent, received int) { made.count("platform", sent, received) })
	if err != nil {
		return nil, err
	}
	made.catalog = catalog.New(nil)
	made.syncer = configsync.New(configsync.Parts{
		Config: configsync.DefaultConfig(), Catalog: made.catalog, Store: made.platform, Machines: made.platform,
		Transport: transport, Leafs: ignoreLeafs{}, Logger: zap.NewNop(),
	})
	made.self = peer.Member{
		ID: fmt.Sprintf("%s-%05d", config.Name, number), Address: transport.Address(),
		Zone: config.Zones[number%len(config.Zones)], Incarnation: time.Now().UnixMilli(),
	}
	made.members = membership.New(membership.DefaultConfig(), made.self, transport, made.syncer, xxhash.Sum64String(made.self.ID))
	made.syncer.SetMembership(made.members)
	return made, nil
}

func (n *node) count(transport string, sent, received int) {
	for index, name := range transports {
		if name == transport {
			n.sent[index].Add(int64(sent))
			n.received[index].Add(int64(received))
		}
	}
}

func (n *node) bytes() int64 {
	total := int64(0)
	for index := range transports {
		total += n.sent[index].Load() + n.received[index].Load()
	}
	return total
}

// changeBuffer is how many changes a node's observer may be behind.
const changeBuffer = 4096

func (n *node) run(ctx context.Context) {
	changes, cancel := n.catalog.Subscribe(changeBuffer)
	defer cancel()
	n.transport.Serve(configsync.NewPeerHandler(n.syncer, nil))
	go n.syncer.Run(ctx)
	go n.members.Run(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-changes:
			n.observe(change.Entry.Revision)
		}
	}
}

func (n *node) observe(revision int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if revision < n.highest {
		n.regressions++
	}
	n.highest = max(n.highest, revision)
	n.inForceAt[revision] = time.Now().UnixMicro()
}

// Serve answers control calls; the nodes run from the call to /begin on.
func (h *Host) Serve(ctx context.Context) error {
	router := control.NewRouter()
	router.PUT("/begin", func(c *gin.Context) {
		h.once.Do(func() { close(h.begin) })
		c.Status(http.StatusNoContent)
	})
	router.GET("/report", func(c *gin.Context) { c.JSON(http.StatusOK, h.report()) })
	router.GET("/nodes", func(c *gin.Context) { c.JSON(http.StatusOK, Report{Nodes: h.addresses()}) })
	go func() {
		select {
		case <-h.begin:
		case <-ctx.Done():
			return
		}
		for _, hollowNode := range h.nodes {
			go hollowNode.run(ctx)
		}
	}()
	return control.Serve(ctx, h.config.Control, router)
}

func (h *Host) addresses() []NodeAddress {
	var addresses []NodeAddress
	for _, hollowNode := range h.nodes {
		addresses = append(addresses, NodeAddress{ID: hollowNode.self.ID, Address: hollowNode.self.Address, Zone: hollowNode.self.Zone})
	}
	return addresses
}

func (h *Host) report() Report {
	report := Report{
		InForce: map[int64]InForce{}, BytesSent: map[string]int64{}, BytesReceived: map[string]int64{},
		LowestRevision: h.nodes[0].catalog.Revision(), MembersLowest: len(h.nodes[0].members.Members()),
	}
	for _, hollowNode := range h.nodes {
		hollowNode.addTo(&report)
	}
	report.CPUMicros, report.HeapBytes = usage()
	return report
}

func (n *node) addTo(report *Report) {
	select {
	case <-n.syncer.Ready():
		report.Ready++
	default:
	}
	members := len(n.members.Members())
	report.MembersLowest = min(report.MembersLowest, members)
	report.MembersHighest = max(report.MembersHighest, members)
	report.Dead += n.members.Counts()[peer.Dead]
	report.LowestRevision = min(report.LowestRevision, n.catalog.Revision())
	report.BusiestBytes = max(report.BusiestBytes, n.bytes())
	for index, name := range transports {
		report.BytesSent[name] += n.sent[index].Load()
		report.BytesReceived[name] += n.received[index].Load()
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	report.Regressions += n.regressions
	for revision, at := range n.inForceAt {
		known := report.InForce[revision]
		report.InForce[revision] = InForce{Nodes: known.Nodes + 1, LastAt: max(known.LastAt, at)}
	}
}

// usage gives the process's CPU time and, after a collection, its heap.
func usage() (cpuMicros int64, heapBytes uint64) {
	var resources syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &resources); err != nil {
		return 0, 0
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	cpu := time.Duration(resources.Utime.Nano() + resources.Stime.Nano())
	return cpu.Microseconds(), memory.HeapAlloc
}
