// Package node assembles a node from its parts and runs it.
//
// Starting opens the peer address first, joins the zone and brings configuration in, then
// serves operators and callers. A planned stop goes the other way: it announces itself to
// callers and peers, still serves for a moment, refuses new searches as not run, waits for
// those in flight, and then closes.
package node

import (
	"io"
	"os"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/node/reload"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
)

// closeReserve is the time kept for closing after the drain.
const closeReserve = 10 * time.Second

// Start is what a node is started with.
type Start struct {
	Settings settings.Settings
	// SettingsPath is the file that Load reads; empty when there is none.
	SettingsPath string
	// Load reads the settings again; nil means that they can't change.
	Load reload.Loader
	// Reload tells the node to read the settings again.
	Reload <-chan os.Signal
	// Logs takes JSON lines.
	Logs io.Writer
	// Dialects are the protocols to a platform that the node speaks besides the product's own.
	Dialects []Dialect
}

// New makes the application of one node.
func New(start Start) *fx.App {
	config := start.Settings
	return fx.New(
		fx.Supply(start, config, dialects(start.Dialects), fx.Annotate(start.Logs, fx.As(new(io.Writer)))),
		fx.Provide(
			newLevel,
			func(level zap.AtomicLevel) *zap.Logger { return telemetry.NewLogger(start.Logs, level) },
			telemetry.NewMetrics,
			newStoreEvents,
			newPlatform,
			newLister,
			newTransport,
			newSelf,
			newCatalog,
			newCensus,
			newMemory,
			newLeafWriter,
			newBalancer,
			newLeafPool,
			newDealer,
			newHTTPPool,
			newBudgets,
			newWarmup,
			newDecisionLog,
			newGatewayEvents,
			newStateEvents,
			newGateway,
			newIntermediates,
			newTree,
			newFront,
			newEngine,
			newSyncer,
			newMembership,
			newAdmin,
			newLeafKeeper,
			newLeafGossip,
			newReachDatagrams,
			newZones,
			newSplitter,
			newCollector,
			newRollouts,
			newClock,
			newRegister,
			newQuarantineSync,
			newRewriter,
		),
		fx.WithLogger(func(logger *zap.Logger) fxevent.Logger {
			events := &fxevent.ZapLogger{Logger: logger}
			events.UseLogLevel(zap.DebugLevel)
			return events
		}),
		fx.Invoke(runLog, tellLife, runControl, runOperators, runServing, runReload),
		fx.StopTimeout(config.Stop.AnnounceDelay+config.Stop.DrainTimeout+closeReserve),
	)
}
