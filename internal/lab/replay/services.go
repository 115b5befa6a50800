package replay

import (
	"context"

	"connectrpc.com/connect"
	"github.com/ansel1/merry/v2"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/lab/retry"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// createService applies a service, publishes its first snapshot, and waits until every node has the snapshot.
func (c *cluster) createService(ctx context.Context, spec ServiceSpec) error {
	first := c.nodes[c.header.Nodes[0].ID]
	client := cli.AdminClient(first.operatorsAddress)
	err := retry.Eventually(ctx, startTimeout, func() error {
		_, err := client.ApplyService(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{Spec: c.serviceSpec(spec)}))
		return err
	})
	if err != nil {
		return merry.Prepend(api.FailureOf(err), "failed to create the service; output of the node: "+first.running.Output())
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
			status, err := cli.AdminClient(node.operatorsAddress).ListSnapshots(ctx, connect.NewRequest(&adminv1.ListSnapshotsRequest{Service: spec.Name}))
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
	created := &adminv1.ServiceSpec{Name: spec.Name, ConcurrencyLimit: spec.Concurrency, QueueLimit: spec.Queue}
	for _, leafID := range spec.Leafs {
		proc := c.leafs[leafID]
		created.Leafs = append(created.Leafs, &adminv1.Leaf{Id: leafID, Address: proc.forwardedAddress, Zone: proc.spec.Zone})
	}
	return created
}

func (c *cluster) manifest(spec ServiceSpec, snapshot string, shards, replicas int) (*adminv1.SnapshotManifest, error) {
	index, err := sample.Build(c.header.Dataset, c.header.Seed, c.header.Records, snapshot)
	if err != nil {
		return nil, err
	}
	return sample.Manifest(spec.Name, index, shards, replicas, spec.Leafs), nil
}
