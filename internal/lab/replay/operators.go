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

// writeRecord is a change that an operator sent, and what came of it.
type writeRecord struct {
	ChangeID string
	Key      string
	// Revision is set if the change was accepted.
	Revision int64
	// Failure is the last outcome if it was not accepted.
	Failure *failure.Failure
	// Sends is how often the operator sent it.
	Sends int
}

// operators sends the operators' changes and records them; safe for concurrent use.
type operators struct {
	cluster *cluster
	mutex   sync.Mutex
	writes  []writeRecord
	next    int
	done    sync.WaitGroup
}

// maximumWriteSends bounds how often an operator sends a change whose outcome is unknown.
const maximumWriteSends = 10

// write sends a change, and repeats it with the same change id while its outcome is unknown.
func (o *operators) write(ctx context.Context, key string, send func(changeID string) (int64, error)) writeRecord {
	o.mutex.Lock()
	o.next++
	record := writeRecord{Key: key, ChangeID: fmt.Sprintf("change-%d", o.next)}
	o.mutex.Unlock()
	for record.Sends < maximumWriteSends && ctx.Err() == nil {
		record.Sends++
		revision, err := send(record.ChangeID)
		if err == nil {
			record.Revision, record.Failure = revision, nil
			break
		}
		record.Failure = api.FailureOf(err)
		if record.Failure.Execution == failure.NotRun && record.Sends == 1 {
			break
		}
		if record.Failure.Code == failure.RevisionConflict {
			break
		}
		time.Sleep(startPause)
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.writes = append(o.writes, record)
	return record
}

// publish publishes snapshots in turn.
func (o *operators) publish(ctx context.Context, publish *Publish, spec ServiceSpec, until time.Time) {
	for turn := 0; ; turn++ {
		snapshot := publish.Snapshots[turn%len(publish.Snapshots)]
		shards := publish.Shards[turn%len(publish.Shards)]
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
	client := cli.AdminClient(o.cluster.nodes[publish.Node].operators)
	known, err := client.ListSnapshots(ctx, connect.NewRequest(&adminv1.ListSnapshotsRequest{Service: spec.Name}))
	if err != nil || len(known.Msg.GetSnapshots()) == 0 {
		return
	}
	revision := known.Msg.GetSnapshots()[0].GetRevision()
	o.write(ctx, catalog.SnapshotKey(spec.Name), func(changeID string) (int64, error) {
		response, err := client.PublishSnapshot(ctx, connect.NewRequest(&adminv1.PublishSnapshotRequest{
			Manifest: manifest, ExpectedRevision: revision, ChangeId: changeID,
		}))
		if err != nil {
			return 0, err
		}
		return response.Msg.GetRevision(), nil
	})
}

// apply changes a service's limits again and again, each time from what the node has.
func (o *operators) apply(ctx context.Context, apply *Apply, until time.Time) {
	client := cli.AdminClient(o.cluster.nodes[apply.Node].operators)
	for turn := uint32(0); ctx.Err() == nil; turn++ {
		if known, err := client.GetService(ctx, connect.NewRequest(&adminv1.GetServiceRequest{Name: apply.Service})); err == nil {
			o.applyOnce(ctx, client.ApplyService, apply, known.Msg, turn)
		}
		if !time.Now().Before(until) {
			return
		}
		time.Sleep(time.Duration(apply.EveryMS) * time.Millisecond)
	}
}

type applyCall func(context.Context, *connect.Request[adminv1.ApplyServiceRequest]) (*connect.Response[adminv1.ApplyServiceResponse], error)

func (o *operators) applyOnce(ctx context.Context, call applyCall, apply *Apply, known *adminv1.GetServiceResponse, turn uint32) {
	spec := known.GetSpec()
	spec.QueueLimit = 100 + turn%50
	for _, served := range spec.GetLeafs() {
		for _, leaving := range apply.Leaving {
			served.Leaving = served.GetLeaving() || served.GetId() == leaving
		}
	}
	o.write(ctx, catalog.ServiceKey(apply.Service), func(changeID string) (int64, error) {
		response, err := call(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{Spec: spec, ExpectedRevision: known.GetRevision(), ChangeId: changeID}))
		if err != nil {
			return 0, err
		}
		return response.Msg.GetRevision(), nil
	})
}
