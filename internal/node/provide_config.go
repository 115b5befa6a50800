package node

import (
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/config/configwriter"
	"github.com/portgauge/portgauge/internal/config/rewriter"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/operator/admin"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"go.uber.org/fx"
	"go.uber.org/zap"
)

func newCatalog(cfg settings.Settings, clock boottime.Clock, metrics *telemetry.Metrics, logger *zap.Logger) *catalog.Catalog {
	rejected := &rejectedValues{metrics: metrics, logger: logger}
	cat := catalog.New(rejected.reject)
	cat.SetClock(clock)
	if cfg.Rollouts.Enabled {
		cat.EnableRollouts()
	}
	return cat
}

type syncerDeps struct {
	fx.In

	Config    settings.Settings
	Catalog   *catalog.Catalog
	Store     store.Store
	Machines  machines.Lister
	Transport *peer.SocketTransport
	Balancer  *balancer.Balancer
	Canary    *canary.Splitter // nil if rollouts are disabled
	Metrics   *telemetry.Metrics
	Events    *stateEvents
	Budgets   memoryBudgets
	Logger    *zap.Logger
}

func newSyncer(deps syncerDeps) *configsync.Syncer {
	var settled func() int64 // nil if rollouts are disabled: the syncer then reports the revision in force
	if deps.Canary != nil {
		settled = deps.Canary.SettledRevision
	}
	syncer := configsync.New(configsync.Deps{
		Config: deps.Config.ConfigSync, Catalog: deps.Catalog, Store: deps.Store, Machines: deps.Machines, Transport: deps.Transport,
		Leafs: deps.Balancer, Logger: deps.Logger, Seeds: deps.Config.Seeds, Memory: deps.Budgets.Control,
		MessageSent:  func(kind string) { deps.Metrics.ConfigRelayed.WithLabelValues(kind).Inc() },
		StateDropped: deps.Metrics.StatesDropped.Inc,
		LeafLeaving:  deps.Events.leafLeaving,
		Settled:      settled,
	})
	deps.Balancer.OnDraining(syncer.LeafAnnouncedLeaving)
	return syncer
}

func newRewriter(cat *catalog.Catalog, configStore store.Store, self catalog.NodeRecord, events *storeEvents) *rewriter.Rewriter {
	return rewriter.New(cat, configStore, self.ID, events)
}

func newAdmin(cfg settings.Settings, cat *catalog.Catalog, configStore store.Store) *admin.Admin {
	return admin.New(cat, configStore, configwriter.New(cfg.ConfigWriter, configStore))
}
