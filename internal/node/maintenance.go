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

// maintenanceInterval is how often gauges are set and state of vanished leafs is dropped.
const maintenanceInterval = 5 * time.Second

// maintainer drops the state kept for leafs and services that no longer exist, and sets the gauges of configuration
// and membership.
type maintainer struct {
	catalog  *catalog.Catalog
	balancer *balancer.Balancer
	budgets  *retrybudget.Budgets
	pool     *leafhttp.Pool
	memory   *leafmemory.Memory
	members  *membership.Membership
	metrics  *telemetry.Metrics
}

func newMaintainer(known *catalog.Catalog, choice *balancer.Balancer, budgets *retrybudget.Budgets, pool *leafhttp.Pool, memory *leafmemory.Memory, members *membership.Membership, metrics *telemetry.Metrics) *maintainer {
	return &maintainer{catalog: known, balancer: choice, budgets: budgets, pool: pool, memory: memory, members: members, metrics: metrics}
}

func (h *maintainer) run(ctx context.Context) {
	for wait.For(ctx, maintenanceInterval) {
		h.sweep()
	}
}

func (h *maintainer) sweep() {
	view := h.catalog.View()
	known := map[string]bool{}
	for _, service := range view.Services {
		for leafID := range service.Leafs {
			known[leafID] = true
		}
	}
	for _, leafID := range h.memory.IDs() {
		known[leafID] = true
	}
	h.balancer.Forget(known)
	h.pool.Prune(func(incarnation string) bool { return known[incarnation] })
	h.budgets.Forget(h.isRouted(view))
	h.setGauges(view)
}

// isRouted returns a function that reports whether the routes name a service.
func (h *maintainer) isRouted(view *catalog.View) func(service string) bool {
	routed := map[string]bool{}
	if view.Routes != nil {
		for _, name := range view.Routes.ServiceNames() {
			routed[name] = true
		}
	}
	return func(service string) bool { return routed[service] }
}

func (h *maintainer) setGauges(view *catalog.View) {
	h.metrics.ConfigRevision.Set(float64(view.Revision))
	h.metrics.Kept.Set(float64(len(h.catalog.RetainedInForce())))
	h.metrics.ConfigAge.Set(h.catalog.Age().Seconds())
	counts := h.members.Counts()
	for _, state := range []peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead} {
		h.metrics.Members.WithLabelValues(string(state)).Set(float64(counts[state]))
	}
}
