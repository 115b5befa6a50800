package node

import (
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafclient"
	"github.com/portgauge/portgauge/internal/leaf/leafgossip"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"go.uber.org/fx"
	"go.uber.org/zap"
)

func newMemory(cfg settings.Settings, cat *catalog.Catalog, clock boottime.Clock) *leafmemory.Memory {
	memory := leafmemory.New(cfg.LeafMemory, cat)
	memory.SetClock(clock)
	return memory
}

func newLeafWriter(cfg settings.Settings, cat *catalog.Catalog, configStore store.Store, self catalog.NodeRecord, logger *zap.Logger) *leafmemory.Writer {
	return leafmemory.NewWriter(cfg.LeafMemory, cat, configStore, self.ID, logger)
}

func newBalancer(cfg settings.Settings, events *stateEvents) *balancer.Balancer {
	leafBalancer := balancer.New(cfg.Balancer, cfg.Node.Zone)
	leafBalancer.OnEjected(events.leafEjected)
	leafBalancer.OnAssessment(events.leafAssessed)
	return leafBalancer
}

func newLeafGossip(cfg settings.Settings, fleet *registry.Fleet, transport *peer.SocketTransport, leafBalancer *balancer.Balancer) *leafgossip.Gossip {
	gossip := leafgossip.New(cfg.LeafGossip, fleet, transport, leafBalancer.HandleObservation)
	leafBalancer.OnObserved(gossip.Enqueue)
	return gossip
}

func newLeafPool(cfg settings.Settings, budgets memoryBudgets, lifecycle fx.Lifecycle) *leafclient.Pool {
	pool := leafclient.New(cfg.LeafClient)
	pool.SetMemory(budgets.Requests)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newAllocator(cfg settings.Settings, fleet *registry.Fleet, self catalog.NodeRecord) *connshare.Allocator {
	return connshare.New(cfg.ConnectionShare, fleet, self)
}

type httpPoolDeps struct {
	fx.In

	Config    settings.Settings
	Names     httpnames.Names
	Memory    *leafmemory.Memory
	Warmup    *warmup.Limiter
	Canary    *canary.Splitter // nil if rollouts are disabled
	Metrics   *telemetry.Metrics
	Budgets   memoryBudgets
	Lifecycle fx.Lifecycle
}

func newHTTPPool(deps httpPoolDeps) *leafhttp.Pool {
	pool := leafhttp.New(deps.Config.LeafHTTP, deps.Names, deps.Metrics.LeafConnections.Inc)
	pool.SetMemory(deps.Budgets.Requests)
	pool.SetMaySend(func(incarnation string) bool {
		isAllowed := deps.Memory.MaySend(incarnation) && (deps.Canary == nil || deps.Canary.MaySend(incarnation))
		return isAllowed && deps.Warmup.Take(incarnation) // last, so that disallowed leafs don't use up this node's share
	})
	deps.Lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newWarmup(cfg settings.Settings, cat *catalog.Catalog, fleet *registry.Fleet, self catalog.NodeRecord, clock boottime.Clock) *warmup.Limiter {
	limiter := warmup.New(cfg.Warmup, cat, fleet, self)
	limiter.SetClock(clock)
	return limiter
}
