package node

import (
	"go.uber.org/fx"

	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/ownplatform"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// PlatformStore is a connection to the store of a platform.
type PlatformStore interface {
	store.Store
	Close() error
}

// Dialect is the protocol of one platform.
type Dialect struct {
	// Name is the value of the setting platform.dialect.
	Name string
	// HTTP holds the header names and paths that callers and leafs use.
	HTTP httpnames.Names
	// Connect connects to the store. It must call called after each call of the store, and take the memory of answers from
	// the budget.
	Connect func(cfg settings.Platform, called func(store.CallOutcome), memory *memorybudget.Budget) PlatformStore
}

// dialects are the supported platform protocols besides the product's own.
type dialects []Dialect

// platformDeps provides the platform to the rest of the node.
type platformDeps struct {
	fx.Out

	Store store.Store
	// Machines is nil if nodes discover each other through their records in the store.
	Machines machines.Lister `name:"platform"`
	// Lessor is nil if the platform has no leases.
	Lessor store.Lessor
	// Guarded is nil if the platform has no writes that are conditional on other keys.
	Guarded store.Guarded
	HTTP    httpnames.Names
}

// newPlatform connects to the platform with the protocol that the setting platform.dialect names.
func newPlatform(cfg settings.Settings, supported dialects, metrics *telemetry.Metrics, events *storeEvents, budgets memoryBudgets, lifecycle fx.Lifecycle) (platformDeps, error) {
	if cfg.Platform.Dialect == settings.DefaultDialect {
		return newOwnPlatform(cfg, metrics, lifecycle)
	}
	for _, dialect := range supported {
		if dialect.Name != cfg.Platform.Dialect {
			continue
		}
		platformStore := dialect.Connect(cfg.Platform, events.called, budgets.Control)
		lifecycle.Append(fx.StopHook(platformStore.Close))
		lessor, _ := platformStore.(store.Lessor)
		guarded, _ := platformStore.(store.Guarded)
		return platformDeps{Store: platformStore, Lessor: lessor, Guarded: guarded, HTTP: dialect.HTTP}, nil
	}
	return platformDeps{}, failure.Invalid("platform.dialect", "this program does not support the dialect %q", cfg.Platform.Dialect)
}

// newOwnPlatform connects with the product's own protocol.
func newOwnPlatform(cfg settings.Settings, metrics *telemetry.Metrics, lifecycle fx.Lifecycle) (platformDeps, error) {
	sentToPlatform := metrics.ControlBytes.WithLabelValues("platform")
	client, err := ownplatform.New(cfg.Platform.Address, func(sent, _ int) { sentToPlatform.Add(float64(sent)) })
	if err != nil {
		return platformDeps{}, err
	}
	lifecycle.Append(fx.StopHook(client.Close))
	return platformDeps{Store: client, Machines: client, Lessor: client, Guarded: client, HTTP: httpnames.Default()}, nil
}
