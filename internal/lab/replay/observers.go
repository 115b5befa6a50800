package replay

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/operator/cli"
)

// observers records the revisions that nodes serve; safe for concurrent use.
type observers struct {
	cluster *cluster
	mutex   sync.Mutex
	// reached is when each node first served at least a revision.
	reached map[string]map[int64]time.Time
	highest map[string]int64
	// reversals counts revisions that a node served after a higher one.
	reversals int
}

func newObservers(cluster *cluster) *observers {
	return &observers{cluster: cluster, reached: map[string]map[int64]time.Time{}, highest: map[string]int64{}}
}

// observePause is the time between two calls to a node.
const observePause = 25 * time.Millisecond

// follow records the revision of a node until the context ends. Its calls cause none between nodes.
func (o *observers) follow(ctx context.Context, node *nodeProcess) {
	client := cli.AdminClient(node.operators)
	for ctx.Err() == nil {
		ask, cancel := context.WithTimeout(ctx, time.Second)
		response, err := client.ListServices(ask, connect.NewRequest(&adminv1.ListServicesRequest{}))
		cancel()
		if err == nil {
			o.note(node.spec.ID, revisionOf(response.Msg))
		}
		time.Sleep(observePause)
	}
}

// revisionOf returns the highest revision of any service.
func revisionOf(services *adminv1.ListServicesResponse) int64 {
	newest := int64(0)
	for _, service := range services.GetServices() {
		newest = max(newest, service.GetRevision())
	}
	return newest
}

func (o *observers) note(node string, revision int64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.reached[node] == nil {
		o.reached[node] = map[int64]time.Time{}
	}
	if revision < o.highest[node] && revision > 0 {
		o.reversals++
	}
	if revision > o.highest[node] {
		o.highest[node] = revision
		o.reached[node][revision] = time.Now()
	}
}

// reachedAt returns when a node first served a revision or a later one, and false if it never did.
func (o *observers) reachedAt(node string, revision int64) (time.Time, bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	var first time.Time
	for shown, at := range o.reached[node] {
		if shown >= revision && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first, !first.IsZero()
}
