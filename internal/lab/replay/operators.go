package replay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// changeRecord is a change that an operator sent, and its result.
type changeRecord struct {
	ChangeID string
	Key      string
	// Revision is set if the change was accepted.
	Revision int64
	// Failure is the last failure if the change was not accepted.
	Failure *failure.Failure
	// Sends is the number of times that the operator sent the change.
	Sends int
}

// operators sends the changes of a trace's operators and records them. It is safe for concurrent use.
type operators struct {
	cluster *cluster
	mu      sync.Mutex
	changes []changeRecord
	next    int
	done    sync.WaitGroup
}

// maxChangeSends limits how many times an operator sends a change whose outcome is unknown.
const maxChangeSends = 10

// sendChange sends a change, and retries it with the same change ID while its outcome is unknown.
func (o *operators) sendChange(ctx context.Context, key string, send func(changeID string) (int64, error)) changeRecord {
	o.mu.Lock()
	o.next++
	change := changeRecord{Key: key, ChangeID: fmt.Sprintf("change-%d", o.next)}
	o.mu.Unlock()
	for change.Sends < maxChangeSends && ctx.Err() == nil {
		change.Sends++
		revision, err := send(change.ChangeID)
		if err == nil {
			change.Revision, change.Failure = revision, nil
			break
		}
		change.Failure = api.FailureOf(err)
		// After a send with unknown outcome, a refusal of a later send doesn't settle the outcome of the earlier one.
		if change.Failure.Execution == failure.NotRun && change.Sends == 1 {
			break
		}
		if change.Failure.Code == failure.RevisionConflict {
			break
		}
		time.Sleep(startPause)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, change)
	return change
}

// publish publishes snapshots in turn.
func (o *operators) publish(ctx context.Context, publish *Publish, spec ServiceSpec, until time.Time) {
	for round := 0; ; round++ {
		snapshot := publish.Snapshots[round%len(publish.Snapshots)]
		shards := publish.Shards[round%len(publish.Shards)]
		o.publishOnce(ctx, publish, spec, snapshot, shards)
		if publish.EveryMS == 0 || time.Now().After(until) || ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(publish.EveryMS) * time.Millisecond)
	}
}

func (o *operators) publishOnce(ctx context.Context, publish *Publish, spec ServiceSpec, snapshot string, shards int) {
	manifest, err := o.cluster.manifest(spec, snapshot, shards, publish.Replicas)
	if err != nil {
		return
	}
	client := cli.AdminClient(o.cluster.nodes[publish.Node].operatorsAddress)
	current, err := client.ListSnapshots(ctx, connect.NewRequest(&adminv1.ListSnapshotsRequest{Service: spec.Name}))
	if err != nil || len(current.Msg.GetSnapshots()) == 0 {
		return
	}
	revision := current.Msg.GetSnapshots()[0].GetRevision()
	o.sendChange(ctx, catalog.ManifestKey(spec.Name), func(changeID string) (int64, error) {
		response, err := client.PublishSnapshot(ctx, connect.NewRequest(&adminv1.PublishSnapshotRequest{
			Manifest: manifest, ExpectedRevision: revision, ChangeId: changeID,
		}))
		if err != nil {
			return 0, err
		}
		return response.Msg.GetRevision(), nil
	})
}

// apply changes a service's queue limit repeatedly, each time based on the specification that the node returns.
func (o *operators) apply(ctx context.Context, apply *Apply, until time.Time) {
	client := cli.AdminClient(o.cluster.nodes[apply.Node].operatorsAddress)
	for round := uint32(0); ctx.Err() == nil; round++ {
		if current, err := client.GetService(ctx, connect.NewRequest(&adminv1.GetServiceRequest{Name: apply.Service})); err == nil {
			o.applyOnce(ctx, client.ApplyService, apply, current.Msg, round)
		}
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(time.Duration(apply.EveryMS) * time.Millisecond)
	}
}

type applyCall func(context.Context, *connect.Request[adminv1.ApplyServiceRequest]) (*connect.Response[adminv1.ApplyServiceResponse], error)

func (o *operators) applyOnce(ctx context.Context, call applyCall, apply *Apply, current *adminv1.GetServiceResponse, round uint32) {
	spec := current.GetSpec()
	spec.QueueLimit = 100 + round%50
	for _, served := range spec.GetLeafs() {
		for _, leaving := range apply.Leaving {
			served.Leaving = served.GetLeaving() || served.GetId() == leaving
		}
	}
	o.sendChange(ctx, catalog.ServiceKey(apply.Service), func(changeID string) (int64, error) {
		response, err := call(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{Spec: spec, ExpectedRevision: current.GetRevision(), ChangeId: changeID}))
		if err != nil {
			return 0, err
		}
		return response.Msg.GetRevision(), nil
	})
}
