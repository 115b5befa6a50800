package node

import (
	"context"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/wait"
)

// keepInterval is how often gauges are set and what is no longer known is dropped.
const keepInterval = 5 * time.Second

// leafKeeper drops what is known of leafs that there are no more, and sets the gauges of
// configuration and membership.
type leafKeeper struct {
	catalog  *catalog.Catalog
	balancer *balancer.Balancer
	budgets  *retrybudget.Budgets
	pool     *leafhttp.Pool
	memory   *leafmemory.Memory
	members  *membership.Membership
	metrics  *telemetry.Metrics
}

func newLeafKeeper(known *catalog.Catalog, choice *balancer.Balancer, budgets *retrybudget.Budgets, pool *leafhttp.Pool, memory *leafmemory.Memory, members *membership.Membership, metrics *telemetry.Metrics) *leafKeeper {
	return &leafKeeper{catalog: known, balancer: choice, budgets: budgets, pool: pool, memory: memory, members: members, metrics: metrics}
}

func (k *leafKeeper) run(ctx context.Context) {
	for wait.For(ctx, keepInterval) {
		k.keep()
	}
}

func (k *leafKeeper) keep() {
	view := k.catalog.View()
	known := map[string]bool{}
	for _, service := range view.Services {
		for leafID := range service.Leafs {
			known[leafID] = true
		}
	}
	for _, leafID := range k.memory.IDs() {
		known[leafID] = true
	}
	k.balancer.Forget(known)
	k.pool.Prune(func(incarnation string) bool { return known[incarnation] })
	k.budgets.Forget(k.isRouted(view))
	k.setGauges(view)
}

// isRouted reports which services the routes name.
func (k *leafKeeper) isRouted(view *catalog.View) func(service string) bool {
	routed := map[string]bool{}
	if view.Routes != nil {
		for _, name := range view.Routes.ServiceNames() {
			routed[name] = true
		}
	}
	return func(service string) bool { return routed[service] }
}

func (k *leafKeeper) setGauges(view *catalog.View) {
	k.metrics.ConfigRevision.Set(float64(view.Revision))
	k.metrics.Kept.Set(float64(len(k.catalog.KeptEntries())))
	k.metrics.ConfigAge.Set(k.catalog.Age().Seconds())
	counts := k.members.Counts()
	for _, state := range []peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead} {
		k.metrics.Members.WithLabelValues(string(state)).Set(float64(counts[state]))
	}
}
