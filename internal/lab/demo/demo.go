// Package demo is the demonstration of the README: a node, a stand-in platform and stand-in leafs in one process, over a
// small sample index. Everything that it starts ends with Run.
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

// cluster is what the demonstration runs.
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
	ended   chan struct{}
}

// Run starts a cluster, searches, stops a leaf, searches again, and stops.
func Run(output io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	demo := &cluster{output: output}
	addresses, err := process.FreeAddresses(1 + leafCount + addressesOfNode)
	if err != nil {
		return err
	}
	platformAddress, addresses := addresses[0], addresses[1:]
	go serveQuietly(func() error { return platform.New(callsPerSecond).Serve(ctx, platformAddress, "") })
	if err := demo.startLeafs(ctx, addresses[:leafCount]); err != nil {
		return err
	}
	stopNode, err := demo.startNode(ctx, platformAddress, addresses[leafCount:])
	if err != nil {
		return err
	}
	if err := demo.show(ctx); err != nil {
		return err
	}
	return stopNode()
}

// serveQuietly runs a server. Calls to it fail if it ends early.
func serveQuietly(serve func() error) {
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
		leafContext, stop := context.WithCancel(ctx)
		running := &runningLeaf{id: id, address: address, stop: stop, ended: make(chan struct{})}
		go func() {
			defer close(running.ended)
			serveQuietly(func() error { return served.Serve(leafContext, address, "") })
		}()
		c.leafs = append(c.leafs, running)
	}
	return nil
}

func (c *cluster) startNode(ctx context.Context, platformAddress string, addresses []string) (func() error, error) {
	config := settings.Default()
	config.Node.Zone = zone
	config.Platform.Address = platformAddress
	config.LogLevel = "error"
	config.Stop.PrepareStopDelay = 0
	config.Listen.Callers, config.Listen.Operators, config.Listen.Peers = addresses[0], addresses[1], addresses[2]
	c.callers, c.operators = config.Listen.Callers, config.Listen.Operators
	app := node.New(node.Start{Settings: config, Logs: c.output})
	if err := app.Start(ctx); err != nil {
		return nil, err
	}
	return func() error { return app.Stop(ctx) }, nil
}

func (c *cluster) show(ctx context.Context) error {
	if err := c.configure(ctx); err != nil {
		return err
	}
	if err := c.search(ctx, "every replica up, 'coast/skagen' tiles"); err != nil {
		return err
	}
	c.stopLeaf(0)
	if err := c.search(ctx, "leaf-1 is gone; each shard still has a replica"); err != nil {
		return err
	}
	c.stopLeaf(1)
	return c.search(ctx, "leaf-2 is gone too; shards held by these two alone are missing")
}

func (c *cluster) stopLeaf(number int) {
	c.leafs[number].stop()
	<-c.leafs[number].ended
}

func (c *cluster) configure(ctx context.Context) error {
	var leafs []*adminv1.Leaf
	var ids []string
	for _, running := range c.leafs {
		leafs = append(leafs, &adminv1.Leaf{Id: running.id, Address: running.address, Zone: zone})
		ids = append(ids, running.id)
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

func (c *cluster) printf(format string, arguments ...any) {
	if _, err := fmt.Fprintf(c.output, format, arguments...); err != nil {
		return
	}
}
