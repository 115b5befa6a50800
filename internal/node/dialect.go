package node

import (
	"go.uber.org/fx"

	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/machines"
	"github.com/portgauge/portgauge/internal/fleet/ownplatform"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// PlatformStore is a connection to a platform's store.
type PlatformStore interface {
	store.Store
	Close() error
}

// Dialect is the protocol of one platform.
type Dialect struct {
	// Name is the value of the setting platform.dialect.
	Name string
	// HTTP has the header names and paths of callers and leafs.
	HTTP httpnames.Names
	// Connect connects to the store. The called function is called after each call of it.
	Connect func(config settings.Platform, called func(store.Answer)) PlatformStore
}

// dialects are the known protocols besides the product's own.
type dialects []Dialect

// platformDeps is the platform as the rest of the node sees it.
type platformDeps struct {
	fx.Out

	Store store.Store
	// Machines is nil if nodes find each other through their records in the store.
	Machines machines.Lister `name:"platform"`
	// Lessor is nil if the platform has no leases.
	Lessor store.Lessor
	// Guarded is nil if the platform has no writes under conditions on other keys.
	Guarded store.Guarded
	HTTP    httpnames.Names
}

// newPlatform connects to the platform by the dialect in the settings.
func newPlatform(config settings.Settings, known dialects, metrics *telemetry.Metrics, events *storeEvents, lifecycle fx.Lifecycle) (platformDeps, error) {
	if config.Platform.Dialect == settings.DefaultDialect {
		return newOwnPlatform(config, metrics, lifecycle)
	}
	for _, dialect := range known {
		if dialect.Name != config.Platform.Dialect {
			continue
		}
		connected := dialect.Connect(config.Platform, events.called)
		lifecycle.Append(fx.StopHook(connected.Close))
		lessor, _ := connected.(store.Lessor)
		guarded, _ := connected.(store.Guarded)
		return platformDeps{Store: connected, Lessor: lessor, Guarded: guarded, HTTP: dialect.HTTP}, nil
	}
	return platformDeps{}, failure.Invalid("platform.dialect", "%q is not known to this program", config.Platform.Dialect)
}

// newOwnPlatform connects by the product's own protocol.
func newOwnPlatform(config settings.Settings, metrics *telemetry.Metrics, lifecycle fx.Lifecycle) (platformDeps, error) {
	sentToPlatform := metrics.ControlBytes.WithLabelValues("platform")
	client, err := ownplatform.New(config.Platform.Address, func(sent, _ int) { sentToPlatform.Add(float64(sent)) })
	if err != nil {
		return platformDeps{}, err
	}
	lifecycle.Append(fx.StopHook(client.Close))
	return platformDeps{Store: client, Machines: client, Lessor: client, Guarded: client, HTTP: httpnames.Default()}, nil
}
