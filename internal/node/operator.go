package node

import (
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/operator/admin"
	"github.com/portgauge/portgauge/internal/request/search"
)

type operatorDeps struct {
	fx.In

	Admin   *admin.Admin
	Catalog *catalog.Catalog
	Syncer  *configsync.Syncer
	Engine  *search.Engine
	Metrics *telemetry.Metrics
	Budgets memoryBudgets
	Level   zap.AtomicLevel
	Logger  *zap.Logger
}
