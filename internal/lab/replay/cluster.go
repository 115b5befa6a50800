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

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/forwarder"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/retry"
)

// cluster owns the processes of a trace and the forwarders between them.
type cluster struct {
	header   *Header
	programs process.Programs
	dir      string

	platform        *process.Process
	platformAddress string
	platformControl string

	mu       sync.Mutex
	nodes    map[string]*nodeProcess
	leafs    map[string]*leafProcess
	machines map[string]*platformv1.Machine
	cuts     map[[2]string]bool
}

// nodeProcess is a node with the forwarder from its peers and the one to the platform.
type nodeProcess struct {
	spec              NodeSpec
	callersAddress    string
	operatorsAddress  string
	peersAddress      string // listen address
	advertisedAddress string // address of the forwarder from other nodes
	platformAddress   string // address of the forwarder to the platform
	running           *process.Process
	forwarders        []*forwarder.Forwarder
}

// leafProcess is a leaf with the forwarder to it.
type leafProcess struct {
	spec             LeafSpec
	address          string
	forwardedAddress string
	controlAddress   string
	recordPath       string
	running          *process.Process
	forwarder        *forwarder.Forwarder
}

const (
	startTimeout        = 30 * time.Second
	startPause          = 50 * time.Millisecond
	defaultStoreCalls   = 200
	addressesPerNode    = 5
	addressesPerLeaf    = 3
	addressesOfPlatform = 2
)

func newCluster(header *Header, programs process.Programs, dir string) *cluster {
	return &cluster{
		header: header, programs: programs, dir: dir,
		nodes: map[string]*nodeProcess{}, leafs: map[string]*leafProcess{},
		machines: map[string]*platformv1.Machine{}, cuts: map[[2]string]bool{},
	}
}

// start starts all processes and waits until every node has every service.
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
	if err := c.addMachines(addresses); err != nil {
		return err
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

// addMachines starts the leafs, and the forwarders of all leafs and nodes.
func (c *cluster) addMachines(addresses []string) error {
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
	return nil
}

// stop kills all processes and closes all forwarders.
func (c *cluster) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range c.nodes {
		if node.running != nil {
			node.running.Kill()
		}
		for _, fwd := range node.forwarders {
			fwd.Close()
		}
	}
	for _, proc := range c.leafs {
		if proc.running != nil {
			proc.running.Kill()
		}
		proc.forwarder.Close()
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
	proc := &leafProcess{
		spec: spec, address: addresses[0], forwardedAddress: addresses[1], controlAddress: addresses[2],
		recordPath: filepath.Join(c.dir, spec.ID+".jsonl"),
	}
	var err error
	proc.forwarder, err = forwarder.NewTCP(proc.forwardedAddress, proc.address, func(string) bool { return !c.isCut(anySender, spec.ID) })
	if err != nil {
		return err
	}
	c.leafs[spec.ID] = proc
	c.machines[spec.ID] = &platformv1.Machine{Id: spec.ID, Address: proc.forwardedAddress, Zone: spec.Zone, Role: "leaf", State: platformv1.MachineState_MACHINE_STATE_LIVE}
	return c.startLeaf(proc)
}

func (c *cluster) startLeaf(proc *leafProcess) error {
	var err error
	proc.running, err = process.Start(proc.spec.ID, c.programs.Lab, "leaf",
		"--id", proc.spec.ID, "--address", proc.address, "--control", proc.controlAddress, "--record", proc.recordPath,
		"--dataset", string(c.header.Dataset), "--seed", fmt.Sprint(c.header.Seed), "--records", fmt.Sprint(c.header.Records),
		"--snapshots", strings.Join(proc.spec.Snapshots, ","), "--slots", fmt.Sprint(proc.spec.Slots),
		"--median-service-time", fmt.Sprintf("%gms", max(proc.spec.MedianMS, 0.01)))
	return err
}

func (c *cluster) addNode(spec NodeSpec, addresses []string) error {
	proc := &nodeProcess{spec: spec, callersAddress: addresses[0], operatorsAddress: addresses[1], peersAddress: addresses[2], advertisedAddress: addresses[3], platformAddress: addresses[4]}
	toPlatform, err := forwarder.NewTCP(proc.platformAddress, c.platformAddress, func(string) bool { return !c.isCut(spec.ID, platformName) })
	if err != nil {
		return err
	}
	toPeers, err := forwarder.NewPeer(proc.advertisedAddress, proc.peersAddress, func(from string) bool { return !c.isCut(c.nodeAt(from), spec.ID) })
	if err != nil {
		return err
	}
	proc.forwarders = []*forwarder.Forwarder{toPlatform, toPeers}
	c.nodes[spec.ID] = proc
	c.machines[spec.ID] = &platformv1.Machine{Id: spec.ID, Address: proc.advertisedAddress, Zone: spec.Zone, Role: "node", State: platformv1.MachineState_MACHINE_STATE_LIVE}
	return nil
}

func (c *cluster) startNode(node *nodeProcess) error {
	values := map[string]string{
		"node.id": node.spec.ID, "node.zone": node.spec.Zone, "platform.address": node.platformAddress,
		"listen.callers": node.callersAddress, "listen.operators": node.operatorsAddress, "listen.peers": node.peersAddress, "listen.advertise_peers": node.advertisedAddress,
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

func (c *cluster) putMachines(ctx context.Context) error {
	c.mu.Lock()
	var list []*platformv1.Machine
	for _, machine := range c.machines {
		list = append(list, machine)
	}
	c.mu.Unlock()
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

// restart starts a process again on the same addresses.
func (c *cluster) restart(name string) error {
	if node, found := c.nodes[name]; found {
		return c.startNode(node)
	}
	return c.startLeaf(c.leafs[name])
}

// makeRecordDir creates the directory for the leafs' records of a run.
func makeRecordDir() (string, error) { return os.MkdirTemp("", "portgauge-replay-") }
