package replay

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// observers records the revisions that nodes serve. It is safe for concurrent use.
type observers struct {
	cluster *cluster
	mu      sync.Mutex
	// servedSince is the time at which each node first served a revision.
	servedSince map[string]map[int64]time.Time
	highest     map[string]int64
	// regressions counts revisions that a node served after a higher one.
	regressions int
}

func newObservers(cluster *cluster) *observers {
	return &observers{cluster: cluster, servedSince: map[string]map[int64]time.Time{}, highest: map[string]int64{}}
}

// pollInterval is the pause between two calls to a node.
const pollInterval = 25 * time.Millisecond

// observe polls a node and records its revision until the context is done. The polls cause no calls between nodes.
func (o *observers) observe(ctx context.Context, node *nodeProcess) {
	client := cli.AdminClient(node.operatorsAddress)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		response, err := client.ListServices(callCtx, connect.NewRequest(&adminv1.ListServicesRequest{}))
		cancel()
		if err == nil {
			o.recordRevision(node.spec.ID, revisionOf(response.Msg))
		}
		time.Sleep(pollInterval)
	}
}

// revisionOf returns the highest revision of any service.
func revisionOf(services *adminv1.ListServicesResponse) int64 {
	highest := int64(0)
	for _, service := range services.GetServices() {
		highest = max(highest, service.GetRevision())
	}
	return highest
}

func (o *observers) recordRevision(node string, revision int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.servedSince[node] == nil {
		o.servedSince[node] = map[int64]time.Time{}
	}
	if revision < o.highest[node] && revision > 0 {
		o.regressions++
	}
	if revision > o.highest[node] {
		o.highest[node] = revision
		o.servedSince[node][revision] = time.Now()
	}
}

// reachedAt returns the time at which a node first served the revision or a later one, and false if it never did.
func (o *observers) reachedAt(node string, revision int64) (time.Time, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var first time.Time
	for served, at := range o.servedSince[node] {
		if served >= revision && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
