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

func newMemory(config settings.Settings, known *catalog.Catalog, clock boottime.Clock) *leafmemory.Memory {
	memory := leafmemory.New(config.LeafMemory, known)
	memory.SetClock(clock)
	return memory
}

func newLeafWriter(config settings.Settings, known *catalog.Catalog, kept store.Store, self catalog.NodeRecord, logger *zap.Logger) *leafmemory.Writer {
	return leafmemory.NewWriter(config.LeafMemory, known, kept, self.ID, logger)
}

func newBalancer(config settings.Settings, events *stateEvents) *balancer.Balancer {
	choice := balancer.New(config.Balancer, config.Node.Zone)
	choice.OnEjected(events.leafEjected)
	choice.OnAssessment(events.leafAssessed)
	return choice
}

func newLeafGossip(config settings.Settings, fleet *registry.Fleet, transport *peer.SocketTransport, choice *balancer.Balancer) *leafgossip.Gossip {
	gossip := leafgossip.New(config.LeafGossip, fleet, transport, choice.HandleObservation)
	choice.OnObserved(gossip.Enqueue)
	return gossip
}

func newLeafPool(config settings.Settings, lifecycle fx.Lifecycle) *leafclient.Pool {
	pool := leafclient.New(config.LeafClient)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newAllocator(config settings.Settings, fleet *registry.Fleet, self catalog.NodeRecord) *connshare.Allocator {
	return connshare.New(config.ConnectionShare, fleet, self)
}

type httpPoolDeps struct {
	fx.In

	Config    settings.Settings
	Names     httpnames.Names
	Memory    *leafmemory.Memory
	Warmup    *warmup.Limiter
	Canary    *canary.Splitter // nil without roll-outs
	Metrics   *telemetry.Metrics
	Lifecycle fx.Lifecycle
}

func newHTTPPool(deps httpPoolDeps) *leafhttp.Pool {
	pool := leafhttp.New(deps.Config.LeafHTTP, deps.Names, deps.Metrics.LeafConnections.Inc)
	pool.SetMaySend(func(incarnation string) bool {
		isAllowed := deps.Memory.MaySend(incarnation) && (deps.Canary == nil || deps.Canary.MaySend(incarnation))
		return isAllowed && deps.Warmup.Take(incarnation) // last, so that a leaf that may not be asked uses up none of this node's share
	})
	deps.Lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newWarmup(config settings.Settings, known *catalog.Catalog, fleet *registry.Fleet, self catalog.NodeRecord, clock boottime.Clock) *warmup.Limiter {
	limiter := warmup.New(config.Warmup, known, fleet, self)
	limiter.SetClock(clock)
	return limiter
}
