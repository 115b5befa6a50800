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

// maintenanceInterval is how often the gauges are set and the state of removed leafs and services is dropped.
const maintenanceInterval = 5 * time.Second

// maintainer drops the state of leafs and services that no longer exist, and sets the gauges for configuration and
// membership.
type maintainer struct {
	catalog  *catalog.Catalog
	balancer *balancer.Balancer
	budgets  *retrybudget.Budgets
	pool     *leafhttp.Pool
	memory   *leafmemory.Memory
	members  *membership.Membership
	metrics  *telemetry.Metrics
}

func newMaintainer(cat *catalog.Catalog, leafBalancer *balancer.Balancer, budgets *retrybudget.Budgets, pool *leafhttp.Pool, memory *leafmemory.Memory, members *membership.Membership, metrics *telemetry.Metrics) *maintainer {
	return &maintainer{catalog: cat, balancer: leafBalancer, budgets: budgets, pool: pool, memory: memory, members: members, metrics: metrics}
}

func (m *maintainer) run(ctx context.Context) {
	for wait.For(ctx, maintenanceInterval) {
		m.sweep()
	}
}

func (m *maintainer) sweep() {
	view := m.catalog.View()
	existing := map[string]bool{}
	for _, service := range view.Services {
		for leafID := range service.Leafs {
			existing[leafID] = true
		}
	}
	for _, leafID := range m.memory.IDs() {
		existing[leafID] = true
	}
	m.balancer.Forget(existing)
	m.pool.Prune(func(incarnation string) bool { return existing[incarnation] })
	m.budgets.Forget(m.isRouted(view))
	m.setGauges(view)
}

// isRouted returns a function that reports whether any route in the view names a service.
func (m *maintainer) isRouted(view *catalog.View) func(service string) bool {
	routed := map[string]bool{}
	if view.Routes != nil {
		for _, name := range view.Routes.ServiceNames() {
			routed[name] = true
		}
	}
	return func(service string) bool { return routed[service] }
}

func (m *maintainer) setGauges(view *catalog.View) {
	m.metrics.ConfigRevision.Set(float64(view.Revision))
	m.metrics.Retained.Set(float64(len(m.catalog.RetainedInForce())))
	m.metrics.ConfigAge.Set(m.catalog.Age().Seconds())
	counts := m.members.Counts()
	for _, state := range []peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead} {
		m.metrics.Members.WithLabelValues(string(state)).Set(float64(counts[state]))
	}
}
