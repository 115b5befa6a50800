package node

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/config/configwriter"
	"github.com/portgauge/portgauge/internal/config/rewriter"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafclient"
	"github.com/portgauge/portgauge/internal/leaf/leafgossip"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/operator/admin"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/request/front"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/httpnames"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/request/search"
	"github.com/portgauge/portgauge/internal/request/servingtree"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

func newLevel(config settings.Settings) (zap.AtomicLevel, error) {
	return zap.ParseAtomicLevel(config.LogLevel)
}

type listerDeps struct {
	fx.In

	Platform machines.Lister `name:"platform" optional:"true"`
	Catalog  *catalog.Catalog
}

// newLister returns the platform's list of machines, or one made from the nodes' records where the platform has none.
func newLister(deps listerDeps) machines.Lister {
	if deps.Platform != nil {
		return deps.Platform
	}
	return machines.NewCatalogLister(deps.Catalog)
}

func newTransport(config settings.Settings, metrics *telemetry.Metrics) (*peer.SocketTransport, error) {
	return peer.Listen(config.Listen.Peers, config.Listen.AdvertisePeers, func(transport string, sent, _ int) {
		metrics.ControlBytes.WithLabelValues(transport).Add(float64(sent))
	})
}

// newSelf returns the node's own record. Without a configured id, zone and peer address make one.
func newSelf(config settings.Settings, transport *peer.SocketTransport) catalog.NodeRecord {
	self := catalog.NodeRecord{
		ID: config.Node.ID, Zone: config.Node.Zone, Address: transport.Address(), Tree: config.Listen.Tree,
		Processors: config.Node.Processors * config.Node.ProcessorShare,
	}
	if config.Listen.AdvertiseTree != "" {
		self.Tree = config.Listen.AdvertiseTree
	}
	if self.ID == "" {
		self.ID = fmt.Sprintf("%s/%s", self.Zone, self.Address)
	}
	return self
}

func newCatalog(config settings.Settings, clock boottime.Clock, metrics *telemetry.Metrics, logger *zap.Logger) *catalog.Catalog {
	rejected := &rejectedValues{metrics: metrics, logger: logger}
	known := catalog.New(rejected.reject)
	known.SetClock(clock)
	if config.Rollouts.Enabled {
		known.EnableRollouts()
	}
	return known
}

func newCensus(config settings.Settings, known *catalog.Catalog, self catalog.NodeRecord, clock boottime.Clock) *registry.Census {
	census := registry.NewCensus(known, self.ID, config.Registry.Memory)
	census.SetClock(clock)
	return census
}

func newMemory(config settings.Settings, known *catalog.Catalog, clock boottime.Clock) *leafmemory.Memory {
	memory := leafmemory.New(config.LeafMemory, known)
	memory.SetClock(clock)
	return memory
}

func newLeafWriter(config settings.Settings, known *catalog.Catalog, kept store.Store, self catalog.NodeRecord, logger *zap.Logger) *leafmemory.Writer {
	return leafmemory.NewWriter(config.LeafMemory, known, kept, self.ID, logger)
}

func newRewriter(known *catalog.Catalog, kept store.Store, self catalog.NodeRecord, events *storeEvents) *rewriter.Writer {
	return rewriter.New(known, kept, self.ID, events)
}

func newBalancer(config settings.Settings, events *stateEvents) *balancer.Balancer {
	choice := balancer.New(config.Balancer, config.Node.Zone)
	choice.OnEjected(events.leafEjected)
	choice.OnAssessment(events.leafJudged)
	return choice
}

func newLeafGossip(config settings.Settings, census *registry.Census, transport *peer.SocketTransport, choice *balancer.Balancer) *leafgossip.Gossip {
	gossip := leafgossip.New(config.LeafGossip, census, transport, choice.HandleObservation)
	choice.OnObserved(gossip.Announce)
	return gossip
}

func newStateEvents(log *decisionlog.Log, known *catalog.Catalog) *stateEvents {
	return &stateEvents{log: log, catalog: known}
}

func newLeafPool(config settings.Settings, lifecycle fx.Lifecycle) *leafclient.Pool {
	pool := leafclient.New(config.LeafClient)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newAllocator(config settings.Settings, census *registry.Census, self catalog.NodeRecord) *connshare.Allocator {
	return connshare.New(config.ConnectionShare, census, self)
}

func newHTTPPool(config settings.Settings, dialect httpnames.Names, memory *leafmemory.Memory, cold *warmup.Limiter, splitter *canary.Splitter, metrics *telemetry.Metrics, lifecycle fx.Lifecycle) *leafhttp.Pool {
	pool := leafhttp.New(config.LeafHTTP, dialect, metrics.LeafConnections.Inc)
	pool.SetMaySend(func(incarnation string) bool {
		mayAsk := memory.MaySend(incarnation) && (splitter == nil || splitter.MayAsk(incarnation))
		return mayAsk && cold.Take(incarnation) // last, so that a leaf that may not be asked uses up none of this node's share
	})
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newWarmup(config settings.Settings, known *catalog.Catalog, census *registry.Census, self catalog.NodeRecord, clock boottime.Clock) *warmup.Limiter {
	limiter := warmup.New(config.Warmup, known, census, self)
	limiter.SetClock(clock)
	return limiter
}

func newBudgets(config settings.Settings, known *catalog.Catalog, census *registry.Census, clock boottime.Clock) *retrybudget.Budgets {
	budgets := retrybudget.New(config.RetryBudget, func(service string) float64 {
		routes := known.View().Routes
		return census.Part(routes != nil && routes.IsGathered(service))
	})
	budgets.SetClock(clock)
	return budgets
}

func newDecisionLog(config settings.Settings, output io.Writer, metrics *telemetry.Metrics) *decisionlog.Log {
	return decisionlog.New(config.DecisionLog, output, metrics.LogLinesLeftOut.Inc)
}

func newGatewayEvents(config settings.Settings, log *decisionlog.Log, metrics *telemetry.Metrics) gateway.EventLog {
	return newRequestEvents(log, metrics, config.DecisionLog.EveryAttempt)
}

type gatewayDeps struct {
	fx.In

	Config        settings.Settings
	Dialect       httpnames.Names
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
	Fleet         *registry.Census
	Intermediates *servingtree.Client
	Zones         *reachability.Tracker
	Quarantine    *quarantine.Register
}

func newGateway(deps gatewayDeps) *gateway.Gateway {
	return gateway.New(gateway.Deps{
		Config: deps.Config.Gateway, Names: deps.Dialect, Catalog: deps.Catalog, Memory: deps.Memory, Allocator: deps.Allocator,
		Balancer: deps.Balancer, Budgets: deps.Budgets, Leafs: deps.Leafs, Warmup: deps.Warmup,
		Canary: deps.Canary, Evidence: deps.Evidence, Events: deps.Events,
		Self: deps.Self, Regions: deps.Config.Regions, Fleet: deps.Fleet, Intermediates: deps.Intermediates, Zones: deps.Zones,
		Quarantine: deps.Quarantine,
	})
}

func newReachDatagrams(transport *peer.SocketTransport) *reachability.Datagrams {
	return reachability.NewDatagrams(transport)
}

func newZones(config settings.Settings, known *catalog.Catalog, self catalog.NodeRecord, prober *reachability.Datagrams, events *stateEvents, clock boottime.Clock) *reachability.Tracker {
	zones := reachability.New(reachability.Deps{
		Config: config.Reachability, Self: self, Prober: prober, Changed: events.zoneChanged, Clock: clock,
		Nodes: func() []catalog.NodeRecord { return slices.Collect(maps.Values(known.View().Nodes)) },
	})
	prober.OnZoneLost(zones.SuspectAndRecheck)
	return zones
}

func newIntermediates(config settings.Settings, lifecycle fx.Lifecycle) *servingtree.Client {
	client := servingtree.NewClient(config.ServingTree)
	lifecycle.Append(fx.StopHook(client.Close))
	return client
}

func newTree(config settings.Settings, handler *gateway.Gateway) *servingtree.Server {
	return servingtree.NewServer(config.ServingTree, handler)
}

func newFront(backend *gateway.Gateway, dialect httpnames.Names, logger *zap.Logger) *front.Server {
	return front.NewServer(backend, dialect, logger)
}

func newEngine(config settings.Settings, known *catalog.Catalog, choice *balancer.Balancer, pool *leafclient.Pool, register *quarantine.Register, metrics *telemetry.Metrics, logger *zap.Logger) *search.Engine {
	return search.New(search.Deps{
		Config: config.Search, Hedging: config.Hedging, Catalog: known, Balancer: choice, Leafs: pool, Metrics: metrics, Logger: logger,
		Quarantine: register,
	})
}

func newSyncer(config settings.Settings, known *catalog.Catalog, kept store.Store, lister machines.Lister, transport *peer.SocketTransport, choice *balancer.Balancer, splitter *canary.Splitter, metrics *telemetry.Metrics, logger *zap.Logger) *configsync.Syncer {
	var settled func() int64 // nil without roll-outs: the syncer then reports the revision in force
	if splitter != nil {
		settled = splitter.SettledRevision
	}
	syncer := configsync.New(configsync.Deps{
		Config: config.ConfigSync, Catalog: known, Store: kept, Machines: lister, Transport: transport,
		Leafs: choice, Logger: logger, Seeds: config.Seeds,
		Relayed:      func(kind string) { metrics.ConfigRelayed.WithLabelValues(kind).Inc() },
		StateDropped: metrics.StatesDropped.Inc,
		Settled:      settled,
	})
	choice.OnDraining(syncer.LeafDraining)
	return syncer
}

func newMembership(config settings.Settings, record catalog.NodeRecord, transport *peer.SocketTransport, syncer *configsync.Syncer) *membership.Membership {
	self := peer.Member{
		ID: record.ID, Address: record.Address, Zone: record.Zone,
		// A new process under a known id must supersede what the zone knows of its predecessor.
		Incarnation: time.Now().UnixMilli(),
	}
	members := membership.New(config.Membership, self, transport, syncer, xxhash.Sum64String(self.ID))
	syncer.SetMembership(members)
	return members
}

func newAdmin(config settings.Settings, known *catalog.Catalog, kept store.Store) *admin.Admin {
	return admin.New(known, kept, configwriter.New(config.ConfigWriter, kept))
}
