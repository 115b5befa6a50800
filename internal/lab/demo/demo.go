// Package demo runs the demonstration that the README describes: a node, a stand-in platform and stand-in leafs in one process,
// over a small sample index. Everything that Run starts ends with it.
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/platform"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/retry"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/node"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

const (
	serviceName     = "catalog-search"
	snapshotName    = "v1"
	leafCount       = 3
	shardCount      = 6
	recordCount     = 2000
	sampleSeed      = 1
	callsPerSecond  = 100
	demoTimeout     = 60 * time.Second
	addressesOfNode = 3
	zone            = "zone-a"
)

// cluster is the node and the leafs of the demonstration.
type cluster struct {
	output    io.Writer
	callers   string
	operators string
	leafs     []*runningLeaf
}

type runningLeaf struct {
	id      string
	address string
	stop    context.CancelFunc
	done    chan struct{}
}

// Run starts a cluster, searches, stops two leafs one after the other with a search after each, and stops the node.
func Run(output io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	c := &cluster{output: output}
	addresses, err := process.FreeAddresses(1 + leafCount + addressesOfNode)
	if err != nil {
		return err
	}
	platformAddress, addresses := addresses[0], addresses[1:]
	go serveIgnoringError(func() error { return platform.New(callsPerSecond).Serve(ctx, platformAddress, "") })
	if err := c.startLeafs(ctx, addresses[:leafCount]); err != nil {
		return err
	}
	stopNode, err := c.startNode(ctx, platformAddress, addresses[leafCount:])
	if err != nil {
		return err
	}
	if err := c.runSteps(ctx); err != nil {
		return err
	}
	return stopNode()
}

// serveIgnoringError runs a server and ignores its error. If the server ends early, the calls to it fail.
func serveIgnoringError(serve func() error) {
	if err := serve(); err != nil {
		return
	}
}

func (c *cluster) startLeafs(ctx context.Context, addresses []string) error {
	for number, address := range addresses {
		id := fmt.Sprintf("leaf-%d", number+1)
		served, err := leaf.New(leaf.Config{
			ID: id, Dataset: sample.Tiles, Seed: sampleSeed, Records: recordCount, Snapshots: []string{snapshotName},
			Slots: 5, QueuePerSlot: 8, MedianServiceTime: time.Millisecond, ServiceSpread: 0.3,
		})
		if err != nil {
			return err
		}
		leafCtx, stop := context.WithCancel(ctx)
		leafProc := &runningLeaf{id: id, address: address, stop: stop, done: make(chan struct{})}
		go func() {
			defer close(leafProc.done)
			serveIgnoringError(func() error { return served.Serve(leafCtx, address, "") })
		}()
		c.leafs = append(c.leafs, leafProc)
	}
	return nil
}

func (c *cluster) startNode(ctx context.Context, platformAddress string, addresses []string) (func() error, error) {
	cfg := settings.Default()
	cfg.Node.Zone = zone
	cfg.Platform.Address = platformAddress
	cfg.LogLevel = "error"
	cfg.Stop.AnnounceDelay = 0
	cfg.Listen.Callers, cfg.Listen.Operators, cfg.Listen.Peers = addresses[0], addresses[1], addresses[2]
	c.callers, c.operators = cfg.Listen.Callers, cfg.Listen.Operators
	nodeApp := node.New(node.Start{Settings: cfg, Logs: c.output})
	if err := nodeApp.Start(ctx); err != nil {
		return nil, err
	}
	return func() error { return nodeApp.Stop(ctx) }, nil
}

func (c *cluster) runSteps(ctx context.Context) error {
	if err := c.configure(ctx); err != nil {
		return err
	}
	if err := c.search(ctx, "All replicas are up; tiles that match 'coast/skagen':"); err != nil {
		return err
	}
	c.stopLeaf(0)
	if err := c.search(ctx, "leaf-1 has stopped; each shard still has a replica:"); err != nil {
		return err
	}
	c.stopLeaf(1)
	return c.search(ctx, "leaf-2 has stopped, too; shards whose replicas were all on these two leafs are missing:")
}

func (c *cluster) stopLeaf(number int) {
	c.leafs[number].stop()
	<-c.leafs[number].done
}

func (c *cluster) configure(ctx context.Context) error {
	var leafs []*adminv1.Leaf
	var ids []string
	for _, leafProc := range c.leafs {
		leafs = append(leafs, &adminv1.Leaf{Id: leafProc.id, Address: leafProc.address, Zone: zone})
		ids = append(ids, leafProc.id)
	}
	client := cli.AdminClient(c.operators)
	err := retry.Eventually(ctx, demoTimeout, func() error {
		_, err := client.ApplyService(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{Spec: sample.Service(serviceName, leafs)}))
		return err
	})
	if err != nil {
		return err
	}
	index, err := sample.Build(sample.Tiles, sampleSeed, recordCount, snapshotName)
	if err != nil {
		return err
	}
	manifest := sample.Manifest(serviceName, index, shardCount, 2, ids)
	_, err = client.PublishSnapshot(ctx, connect.NewRequest(&adminv1.PublishSnapshotRequest{Manifest: manifest}))
	if err != nil {
		return err
	}
	return retry.Eventually(ctx, demoTimeout, func() error {
		_, err := cli.SearchClient(c.callers).Search(ctx, connect.NewRequest(&searchv1.SearchRequest{Service: serviceName, Limit: 1}))
		return err
	})
}

func (c *cluster) search(ctx context.Context, title string) error {
	response, err := cli.SearchClient(c.callers).Search(ctx, connect.NewRequest(&searchv1.SearchRequest{
		Service: serviceName, Filter: "coast/skagen", DeadlineMillis: 500,
	}))
	if err != nil {
		return api.FailureOf(err)
	}
	report := response.Msg.GetReport()
	c.printf("\n%s\n", title)
	for _, row := range response.Msg.GetRows()[:min(3, len(response.Msg.GetRows()))] {
		c.printf("  %s  %s\n", row.GetKey(), row.GetValue())
	}
	c.printf("  %d rows of snapshot %s, coverage %.3f, %d leaf attempts\n",
		len(response.Msg.GetRows()), report.GetSnapshotId(), report.GetCoverage().GetFraction(), report.GetExtraLoad().GetAttempts())
	for _, missing := range report.GetCoverage().GetMissing() {
		c.printf("  missing [%q, %q): %s\n", missing.GetRange().GetFrom(), missing.GetRange().GetTo(), missing.GetReason())
	}
	return nil
}

func (c *cluster) printf(format string, args ...any) {
	if _, err := fmt.Fprintf(c.output, format, args...); err != nil {
		return
	}
}
