// Package experiment measures the node's decisions against a baseline in one run: both nodes
// stand before the same leafs and get the same seeded arrivals in turn.
package experiment

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/retry"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// records is the size of the sample index of experiments.
const records = 4000

// leafPlan shapes the leafs of an experiment.
type leafPlan struct {
	count        int
	slots        int
	queuePerSlot int
	median       time.Duration
	// zones are dealt over the leafs in turn.
	zones []string
}

// nodePlan is one node of an experiment.
type nodePlan struct {
	name string
	zone string
	set  map[string]string
}

// servicePlan is one service over a part of the leafs.
type servicePlan struct {
	spec     *adminv1.ServiceSpec
	shards   int
	replicas int
	// first and end bound the leafs that it is on.
	first, end int
}

// cluster is the processes of an experiment.
type cluster struct {
	programs  process.Programs
	plan      leafPlan
	leafs     *process.Process
	control   string
	addresses []string
	nodes     map[string]*runningNode
	others    []*process.Process
	platform  string
}

type runningNode struct {
	callers   string
	operators string
	process   *process.Process
}

const (
	startTimeout   = 30 * time.Second
	addressesEach  = 3
	callsPerSecond = 500
)

func startCluster(ctx context.Context, programs process.Programs, plan leafPlan, nodes []nodePlan, services []servicePlan) (*cluster, error) {
	c := &cluster{programs: programs, plan: plan, nodes: map[string]*runningNode{}}
	addresses, err := process.FreeAddresses(2 + plan.count + addressesEach*len(nodes))
	if err != nil {
		return nil, err
	}
	c.platform, c.control, addresses = addresses[0], addresses[1], addresses[2:]
	c.addresses, addresses = addresses[:plan.count], addresses[plan.count:]
	if err := c.startShared(); err != nil {
		c.stop()
		return nil, err
	}
	for number, node := range nodes {
		if err := c.startNode(node, addresses[addressesEach*number:addressesEach*(number+1)]); err != nil {
			c.stop()
			return nil, err
		}
	}
	if err := c.configure(ctx, nodes[0].name, services); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) startShared() error {
	platform, err := process.Start("platform", c.programs.Lab, "platform", "--address", c.platform, "--calls-per-second", fmt.Sprint(callsPerSecond))
	if err != nil {
		return err
	}
	c.others = append(c.others, platform)
	arguments := []string{
		"leafs", "--control", c.control, "--records", fmt.Sprint(records), "--slots", fmt.Sprint(c.plan.slots),
		"--queue-per-slot", fmt.Sprint(c.plan.queuePerSlot), "--median-service-time", c.plan.median.String(),
	}
	for _, address := range c.addresses {
		arguments = append(arguments, "--addresses", address)
	}
	c.leafs, err = process.Start("leafs", c.programs.Lab, arguments...)
	return err
}

func (c *cluster) startNode(plan nodePlan, addresses []string) error {
	arguments := []string{
		"node", "--set", "node.id=" + plan.name, "--set", "node.zone=" + plan.zone, "--set", "platform.address=" + c.platform,
		"--set", "listen.callers=" + addresses[0], "--set", "listen.operators=" + addresses[1], "--set", "listen.peers=" + addresses[2],
	}
	for name, value := range plan.set {
		arguments = append(arguments, "--set", name+"="+value)
	}
	started, err := process.Start(plan.name, c.programs.Portgauge, arguments...)
	if err != nil {
		return err
	}
	c.nodes[plan.name] = &runningNode{callers: addresses[0], operators: addresses[1], process: started}
	return nil
}

func (c *cluster) stop() {
	for _, node := range c.nodes {
		node.process.Kill()
	}
	if c.leafs != nil {
		c.leafs.Kill()
	}
	for _, other := range c.others {
		other.Kill()
	}
}

// configure applies all services and waits until every node answers for each.
func (c *cluster) configure(ctx context.Context, through string, services []servicePlan) error {
	client := cli.AdminClient(c.nodes[through].operators)
	index, err := sample.Build(sample.Tiles, 1, records, "v1")
	if err != nil {
		return err
	}
	for _, service := range services {
		var ids []string
		for number := service.first; number < service.end; number++ {
			id := fmt.Sprintf("leaf-%d", number)
			ids = append(ids, id)
			service.spec.Leafs = append(service.spec.Leafs, &adminv1.Leaf{Id: id, Address: c.addresses[number], Zone: c.plan.zones[number%len(c.plan.zones)]})
		}
		err := retry.Eventually(ctx, startTimeout, func() error {
			_, err := client.ApplyService(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{Spec: service.spec}))
			return err
		})
		if err != nil {
			return api.FailureOf(err)
		}
		manifest := sample.Manifest(service.spec.GetName(), index, service.shards, service.replicas, ids)
		if _, err := client.PublishSnapshot(ctx, connect.NewRequest(&adminv1.PublishSnapshotRequest{Manifest: manifest})); err != nil {
			return api.FailureOf(err)
		}
	}
	for _, service := range services {
		for _, node := range c.nodes {
			err := retry.Eventually(ctx, startTimeout, func() error {
				_, err := cli.SearchClient(node.callers).Search(ctx, connect.NewRequest(&searchv1.SearchRequest{Service: service.spec.GetName(), Limit: 1}))
				return err
			})
			if err != nil {
				return api.FailureOf(err)
			}
		}
	}
	return nil
}

// setFaults changes the faults of a part of the leafs.
func (c *cluster) setFaults(ctx context.Context, first, end int, faults leaf.Faults) error {
	return control.Put(ctx, c.control, "/faults", leaf.GroupFaults{First: first, End: end, Faults: faults})
}

// run sends a load to one node.
func (c *cluster) run(ctx context.Context, node string, config load.Config) (load.Result, error) {
	config.Addresses = []string{c.nodes[node].callers}
	result, _, err := load.Run(ctx, config)
	return result, err
}
