package node

import (
	"context"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/admin"
	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/configsync"
	"github.com/portgauge/portgauge/internal/membership"
	"github.com/portgauge/portgauge/internal/peer"
	"github.com/portgauge/portgauge/internal/search"
	"github.com/portgauge/portgauge/internal/telemetry"
	"github.com/portgauge/portgauge/internal/wait"
)

// operatorParts are what the operators' server needs.
type operatorParts struct {
	fx.In

	Admin   *admin.Admin
	Catalog *catalog.Catalog
	Syncer  *configsync.Syncer
	Engine  *search.Engine
	Metrics *telemetry.Metrics
	Level   zap.AtomicLevel
	Logger  *zap.Logger
}

// keepInterval is how often gauges are set and forgotten leafs dropped.
const keepInterval = 5 * time.Second

// leafKeeper drops what is known of leafs that no service has any more, and sets the gauges
// of configuration and membership.
type leafKeeper struct {
	catalog  *catalog.Catalog
	balancer *balancer.Balancer
	members  *membership.Membership
	metrics  *telemetry.Metrics
}

func newLeafKeeper(known *catalog.Catalog, choice *balancer.Balancer, members *membership.Membership, metrics *telemetry.Metrics) *leafKeeper {
	return &leafKeeper{catalog: known, balancer: choice, members: members, metrics: metrics}
}

func (k *leafKeeper) run(ctx context.Context) {
	for wait.For(ctx, keepInterval) {
		k.keep()
	}
}

func (k *leafKeeper) keep() {
	known := map[string]bool{}
	view := k.catalog.View()
	for _, service := range view.Services {
		for leafID := range service.Leafs {
			known[leafID] = true
		}
	}
	k.balancer.Forget(known)
	k.metrics.ConfigRevision.Set(float64(view.Revision))
	k.metrics.ConfigAge.Set(time.Since(k.catalog.ConfirmedAt()).Seconds())
	counts := k.members.Counts()
	for _, state := range []peer.MemberState{peer.Alive, peer.Suspect, peer.Left, peer.Dead} {
		k.metrics.Members.WithLabelValues(string(state)).Set(float64(counts[state]))
	}
}
