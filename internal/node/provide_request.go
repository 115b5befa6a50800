package node

import (
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafclient"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/front"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/request/search"
	"github.com/portgauge/portgauge/internal/request/servingtree"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"go.uber.org/fx"
	"go.uber.org/zap"
)

func newBudgets(cfg settings.Settings, cat *catalog.Catalog, fleet *registry.Fleet, clock boottime.Clock) *retrybudget.Budgets {
	budgets := retrybudget.New(cfg.RetryBudget, func(service string) float64 {
		routes := cat.View().Routes
		return fleet.Share(routes != nil && routes.IsGathered(service))
	})
	budgets.SetClock(clock)
	return budgets
}

type gatewayDeps struct {
	fx.In

	Config        settings.Settings
	Names         httpnames.Names
	Catalog       *catalog.Catalog
	Memory        *leafmemory.Memory
	Allocator     *connshare.Allocator
	Balancer      *balancer.Balancer
	Budgets       *retrybudget.Budgets
	Leafs         *leafhttp.Pool
	Warmup        *warmup.Limiter
	Canary        *canary.Splitter
	Evidence      *evidence.Collector
	Events        gateway.EventLog
	Self          catalog.NodeRecord
	Fleet         *registry.Fleet
	Intermediates *servingtree.Client
	Zones         *reachability.Tracker
	Quarantine    *quarantine.Register
}

func newGateway(deps gatewayDeps) *gateway.Gateway {
	return gateway.New(gateway.Deps{
		Config: deps.Config.Gateway, Names: deps.Names, Catalog: deps.Catalog, Memory: deps.Memory, Allocator: deps.Allocator,
		Balancer: deps.Balancer, Budgets: deps.Budgets, Leafs: deps.Leafs, Warmup: deps.Warmup,
		Canary: deps.Canary, Evidence: deps.Evidence, Events: deps.Events,
		Self: deps.Self, Regions: deps.Config.Regions, Fleet: deps.Fleet, Intermediates: deps.Intermediates, Zones: deps.Zones,
		Quarantine: deps.Quarantine,
	})
}

func newIntermediates(cfg settings.Settings, budgets memoryBudgets, lifecycle fx.Lifecycle) *servingtree.Client {
	client := servingtree.NewClient(cfg.ServingTree)
	client.SetMemory(budgets.Requests)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

func newTree(cfg settings.Settings, budgets memoryBudgets, handler *gateway.Gateway) *servingtree.Server {
	server := servingtree.NewServer(cfg.ServingTree, handler)
	server.SetMemory(budgets.Requests)
	return server
}

func newFront(backend *gateway.Gateway, names httpnames.Names, budgets memoryBudgets, logger *zap.Logger) *front.Server {
	server := front.NewServer(backend, names, logger)
	server.SetMemory(budgets.Requests)
	return server
}

type engineDeps struct {
	fx.In

	Config     settings.Settings
	Catalog    *catalog.Catalog
	Balancer   *balancer.Balancer
	Leafs      *leafclient.Pool
	Quarantine *quarantine.Register
	Metrics    *telemetry.Metrics
	Logger     *zap.Logger
}

func newEngine(deps engineDeps) *search.Engine {
	return search.New(search.Deps{
		Config: deps.Config.Search, Hedging: deps.Config.Hedging, Catalog: deps.Catalog, Balancer: deps.Balancer, Leafs: deps.Leafs,
		Metrics: deps.Metrics, Logger: deps.Logger, Quarantine: deps.Quarantine,
	})
}
