package replay

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/forwarder"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/retry"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// cluster has the processes of a trace and the forwarders between them.
type cluster struct {
	header   *Header
	programs process.Programs
	folder   string

	platform        *process.Process
	platformAddress string
	platformControl string

	mutex    sync.Mutex
	nodes    map[string]*nodeProcess
	leafs    map[string]*leafProcess
	machines map[string]*platformv1.Machine
	cuts     map[[2]string]bool
}

// nodeProcess is a node with the forwarders to it and from it to the platform.
type nodeProcess struct {
	spec       NodeSpec
	callers    string
	operators  string
	peers      string // where it listens
	advertised string // the forwarder from other nodes
	platform   string // the forwarder to the platform
	running    *process.Process
	forwarders []*forwarder.Forwarder
}

// leafProcess is a leaf with the forwarder to it.
type leafProcess struct {
	spec      LeafSpec
	address   string
	forwarded string
	control   string
	record    string
	running   *process.Process
	forwarder *forwarder.Forwarder
}

const (
	startTimeout        = 30 * time.Second
	startPause          = 50 * time.Millisecond
	defaultStoreCalls   = 200
	addressesPerNode    = 5
	addressesPerLeaf    = 3
	addressesOfPlatform = 2
)

func newCluster(header *Header, programs process.Programs, folder string) *cluster {
	return &cluster{
		header: header, programs: programs, folder: folder,
		nodes: map[string]*nodeProcess{}, leafs: map[string]*leafProcess{},
		machines: map[string]*platformv1.Machine{}, cuts: map[[2]string]bool{},
	}
}

// start starts all processes and waits until all nodes have all services.
func (c *cluster) start(ctx context.Context) error {
	count := addressesOfPlatform + addressesPerNode*len(c.header.Nodes) + addressesPerLeaf*len(c.header.Leafs)
	addresses, err := process.FreeAddresses(count)
	if err != nil {
		return err
	}
	c.platformAddress, c.platformControl, addresses = addresses[0], addresses[1], addresses[2:]
	if err := c.startPlatform(); err != nil {
		return err
	}
	for _, spec := range c.header.Leafs {
		if err := c.addLeaf(spec, addresses[:addressesPerLeaf]); err != nil {
			return err
		}
		addresses = addresses[addressesPerLeaf:]
	}
	for _, spec := range c.header.Nodes {
		if err := c.addNode(spec, addresses[:addressesPerNode]); err != nil {
			return err
		}
		addresses = addresses[addressesPerNode:]
	}
	if err := retry.Eventually(ctx, startTimeout, func() error { return c.putMachines(ctx) }); err != nil {
		return err
	}
	for _, node := range c.nodes {
		if err := c.startNode(node); err != nil {
			return err
		}
	}
	for _, spec := range c.header.Services {
		if err := c.createService(ctx, spec); err != nil {
			return err
		}
	}
	return nil
}

// stop kills all processes and closes all forwarders.
func (c *cluster) stop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, node := range c.nodes {
		if node.running != nil {
			node.running.Kill()
		}
		for _, passing := range node.forwarders {
			passing.Close()
		}
	}
	for _, served := range c.leafs {
		if served.running != nil {
			served.running.Kill()
		}
		served.forwarder.Close()
	}
	if c.platform != nil {
		c.platform.Kill()
	}
}

func (c *cluster) startPlatform() error {
	calls := c.header.StoreCallsPerSecond
	if calls == 0 {
		calls = defaultStoreCalls
	}
	var err error
	c.platform, err = process.Start(platformName, c.programs.Lab, "platform",
		"--address", c.platformAddress, "--control", c.platformControl, "--calls-per-second", fmt.Sprint(calls))
	return err
}

func (c *cluster) addLeaf(spec LeafSpec, addresses []string) error {
	added := &leafProcess{
		spec: spec, address: addresses[0], forwarded: addresses[1], control: addresses[2],
		record: filepath.Join(c.folder, spec.ID+".jsonl"),
	}
	var err error
	added.forwarder, err = forwarder.NewTCP(added.forwarded, added.address, func(string) bool { return !c.isCut(platformOrNodes, spec.ID) })
	if err != nil {
		return err
	}
	c.leafs[spec.ID] = added
	c.machines[spec.ID] = &platformv1.Machine{Id: spec.ID, Address: added.forwarded, Zone: spec.Zone, Role: "leaf", State: platformv1.MachineState_MACHINE_STATE_LIVE}
	return c.startLeaf(added)
}

func (c *cluster) startLeaf(served *leafProcess) error {
	var err error
	served.running, err = process.Start(served.spec.ID, c.programs.Lab, "leaf",
		"--id", served.spec.ID, "--address", served.address, "--control", served.control, "--record", served.record,
		"--dataset", string(c.header.Dataset), "--seed", fmt.Sprint(c.header.Seed), "--records", fmt.Sprint(c.header.Records),
		"--snapshots", strings.Join(served.spec.Snapshots, ","), "--slots", fmt.Sprint(served.spec.Slots),
		"--median-service-time", fmt.Sprintf("%gms", max(served.spec.MedianMS, 0.01)))
	return err
}

func (c *cluster) addNode(spec NodeSpec, addresses []string) error {
	added := &nodeProcess{spec: spec, callers: addresses[0], operators: addresses[1], peers: addresses[2], advertised: addresses[3], platform: addresses[4]}
	toPlatform, err := forwarder.NewTCP(added.platform, c.platformAddress, func(string) bool { return !c.isCut(spec.ID, platformName) })
	if err != nil {
		return err
	}
	toPeers, err := forwarder.NewPeer(added.advertised, added.peers, func(from string) bool { return !c.isCut(c.nodeAt(from), spec.ID) })
	if err != nil {
		return err
	}
	added.forwarders = []*forwarder.Forwarder{toPlatform, toPeers}
	c.nodes[spec.ID] = added
	c.machines[spec.ID] = &platformv1.Machine{Id: spec.ID, Address: added.advertised, Zone: spec.Zone, Role: "node", State: platformv1.MachineState_MACHINE_STATE_LIVE}
	return nil
}

func (c *cluster) startNode(node *nodeProcess) error {
	values := map[string]string{
		"node.id": node.spec.ID, "node.zone": node.spec.Zone, "platform.address": node.platform,
		"listen.callers": node.callers, "listen.operators": node.operators, "listen.peers": node.peers, "listen.advertise_peers": node.advertised,
	}
	for name, value := range node.spec.Set {
		values[name] = value
	}
	arguments := []string{"node"}
	for name, value := range values {
		arguments = append(arguments, "--set", name+"="+value)
	}
	var err error
	node.running, err = process.Start(node.spec.ID, c.programs.Portgauge, arguments...)
	return err
}

// createService applies a service and its first snapshot, and waits until every node has the snapshot.
func (c *cluster) createService(ctx context.Context, spec ServiceSpec) error {
	first := c.nodes[c.header.Nodes[0].ID]
	client := cli.AdminClient(first.operators)
	err := retry.Eventually(ctx, startTimeout, func() error {
		_, err := client.ApplyService(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{Spec: c.serviceSpec(spec)}))
		return err
	})
	if err != nil {
		return merry.Prepend(api.FailureOf(err), "create service; output of the node: "+first.running.Output())
	}
	manifest, err := c.manifest(spec, spec.Snapshot, spec.Shards, spec.Replicas)
	if err != nil {
		return err
	}
	if _, err := client.PublishSnapshot(ctx, connect.NewRequest(&adminv1.PublishSnapshotRequest{Manifest: manifest})); err != nil {
		return api.FailureOf(err)
	}
	for _, node := range c.nodes {
		err := retry.Eventually(ctx, startTimeout, func() error {
			status, err := cli.AdminClient(node.operators).ListSnapshots(ctx, connect.NewRequest(&adminv1.ListSnapshotsRequest{Service: spec.Name}))
			if err == nil && len(status.Msg.GetSnapshots()) == 0 {
				return merry.Errorf("node %s has no snapshot of %s", node.spec.ID, spec.Name)
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) serviceSpec(spec ServiceSpec) *adminv1.ServiceSpec {
	made := &adminv1.ServiceSpec{Name: spec.Name, ConcurrencyLimit: spec.Concurrency, QueueLimit: spec.Queue}
	for _, leafID := range spec.Leafs {
		served := c.leafs[leafID]
		made.Leafs = append(made.Leafs, &adminv1.Leaf{Id: leafID, Address: served.forwarded, Zone: served.spec.Zone})
	}
	return made
}

func (c *cluster) manifest(spec ServiceSpec, snapshot string, shards, replicas int) (*adminv1.SnapshotManifest, error) {
	index, err := sample.Build(c.header.Dataset, c.header.Seed, c.header.Records, snapshot)
	if err != nil {
		return nil, err
	}
	return sample.Manifest(spec.Name, index, shards, replicas, spec.Leafs), nil
}

func (c *cluster) putMachines(ctx context.Context) error {
	c.mutex.Lock()
	var list []*platformv1.Machine
	for _, machine := range c.machines {
		list = append(list, machine)
	}
	c.mutex.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].GetId() < list[j].GetId() })
	return control.Put(ctx, c.platformControl, "/machines", list)
}

// process returns the process of a node or leaf.
func (c *cluster) process(name string) *process.Process {
	if node, found := c.nodes[name]; found {
		return node.running
	}
	return c.leafs[name].running
}

// restart starts a process again on its old addresses.
func (c *cluster) restart(name string) error {
	if node, found := c.nodes[name]; found {
		return c.startNode(node)
	}
	return c.startLeaf(c.leafs[name])
}

// platformOrNodes stands for all senders to a leaf: its forwarder can't tell the node of a connection, so that a leaf is cut
// off from all or none.
const platformOrNodes = "*"

// setCut makes or heals a cut between two groups, and applies it to open connections.
func (c *cluster) setCut(between []string, cut bool) {
	c.mutex.Lock()
	for _, first := range c.expand(between[0]) {
		for _, second := range c.expand(between[1]) {
			c.cuts[[2]string{first, second}] = cut
			c.cuts[[2]string{second, first}] = cut
			if _, isLeaf := c.leafs[second]; isLeaf {
				c.cuts[[2]string{platformOrNodes, second}] = cut
			}
			if _, isLeaf := c.leafs[first]; isLeaf {
				c.cuts[[2]string{platformOrNodes, first}] = cut
			}
		}
	}
	c.mutex.Unlock()
	for _, node := range c.nodes {
		for _, passing := range node.forwarders {
			passing.Recheck()
		}
	}
	for _, served := range c.leafs {
		served.forwarder.Recheck()
	}
}

// expand returns the nodes of a zone, or the name itself if it is no zone.
func (c *cluster) expand(name string) []string {
	var names []string
	for id, node := range c.nodes {
		if node.spec.Zone == name {
			names = append(names, id)
		}
	}
	if len(names) == 0 {
		return []string{name}
	}
	return names
}

func (c *cluster) isCut(from, to string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cuts[[2]string{from, to}]
}

// nodeAt returns the node that advertises a peer address, or "".
func (c *cluster) nodeAt(address string) string {
	for id, node := range c.nodes {
		if node.advertised == address {
			return id
		}
	}
	return ""
}

// makeFolder creates the folder for the records of a run.
func makeFolder() (string, error) { return os.MkdirTemp("", "portgauge-replay-") }
