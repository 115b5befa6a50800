package node

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
)

type listerDeps struct {
	fx.In

	Platform machines.Lister `name:"platform" optional:"true"`
	Catalog  *catalog.Catalog
}

// newLister returns the machine list of the platform, or a list built from the nodes' records if the platform has none.
func newLister(deps listerDeps) machines.Lister {
	if deps.Platform != nil {
		return deps.Platform
	}
	return machines.NewCatalogLister(deps.Catalog)
}

func newTransport(cfg settings.Settings, metrics *telemetry.Metrics, budgets memoryBudgets) (*peer.SocketTransport, error) {
	transport, err := peer.Listen(cfg.Listen.Peers, cfg.Listen.AdvertisePeers, func(transport string, sent, _ int) {
		metrics.ControlBytes.WithLabelValues(transport).Add(float64(sent))
	})
	if err != nil {
		return nil, err
	}
	transport.SetMemory(budgets.Control)
	return transport, nil
}

// newSelf returns the node's own record. If no ID is configured, it is made from the zone and the peer address.
func newSelf(cfg settings.Settings, transport *peer.SocketTransport) catalog.NodeRecord {
	self := catalog.NodeRecord{
		ID: cfg.Node.ID, Zone: cfg.Node.Zone, Address: transport.Address(), Tree: cfg.Listen.Tree,
		Processors: cfg.Node.Processors * cfg.Node.ProcessorFraction,
	}
	if cfg.Listen.AdvertiseTree != "" {
		self.Tree = cfg.Listen.AdvertiseTree
	}
	if self.ID == "" {
		self.ID = fmt.Sprintf("%s/%s", self.Zone, self.Address)
	}
	return self
}

func newFleet(cfg settings.Settings, cat *catalog.Catalog, self catalog.NodeRecord, clock boottime.Clock) *registry.Fleet {
	fleet := registry.NewFleet(cat, self.ID, cfg.Registry.Retention)
	fleet.SetClock(clock)
	return fleet
}

func newMembership(cfg settings.Settings, record catalog.NodeRecord, transport *peer.SocketTransport, syncer *configsync.Syncer) *membership.Membership {
	self := peer.Member{
		ID: record.ID, Address: record.Address, Zone: record.Zone,
		// A restarted node must supersede the member with the same ID that the zone still lists.
		Incarnation: time.Now().UnixMilli(),
	}
	members := membership.New(cfg.Membership, self, transport, syncer, xxhash.Sum64String(self.ID))
	syncer.SetMembership(members)
	return members
}

func newReachDatagrams(transport *peer.SocketTransport) *reachability.Datagrams {
	return reachability.NewDatagrams(transport)
}

func newZones(cfg settings.Settings, cat *catalog.Catalog, self catalog.NodeRecord, pinger *reachability.Datagrams, events *stateEvents, clock boottime.Clock) *reachability.Tracker {
	zones := reachability.New(reachability.Deps{
		Config: cfg.Reachability, Self: self, Pinger: pinger, Changed: events.zoneChanged, Clock: clock,
		Nodes: func() []catalog.NodeRecord { return slices.Collect(maps.Values(cat.View().Nodes)) },
	})
	pinger.OnZoneLost(zones.SuspectAndRecheck)
	return zones
}
