// Package node wires the packages of a node together with fx and runs them as one process.
//
// On start, the node opens the peer listener, joins its zone, loads its configuration, and then serves operators and
// callers. On a planned stop, it announces the stop to callers and peers, keeps serving for the setting
// stop.announce_delay, refuses new searches as not run, waits for the requests in flight, and closes.
//
// The package owns the listeners, the background goroutines and their shutdown, and the events of the decision log
// (the *Events types). It makes no decisions of its own.
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

// closeReserve is the part of the fx stop timeout that is reserved for closing after the drain.
const closeReserve = 10 * time.Second

// Start is the input of New.
type Start struct {
	Settings settings.Settings
	// SettingsPath is the file that Load reads; empty means no file.
	SettingsPath string
	// Load reads the settings again; nil disables reloading.
	Load reload.Loader
	// Reload receives the signals to reload the settings.
	Reload <-chan os.Signal
	// Logs receives the log and the decision log as JSON lines.
	Logs io.Writer
	// Dialects are the supported platform protocols besides the product's own.
	Dialects []Dialect
}

// New returns the fx application that runs one node.
func New(start Start) *fx.App {
	cfg := start.Settings
	return fx.New(
		fx.Supply(start, cfg, dialects(start.Dialects), fx.Annotate(start.Logs, fx.As(new(io.Writer)))),
		fx.Provide(
			newLevel,
			func(level zap.AtomicLevel) *zap.Logger { return telemetry.NewLogger(start.Logs, level) },
			telemetry.NewMetrics,
			newMemoryBudgets,
			newStoreEvents,
			newPlatform,
			newLister,
			newTransport,
			newSelf,
			newCatalog,
			newFleet,
			newMemory,
			newLeafWriter,
			newBalancer,
			newLeafPool,
			newAllocator,
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
			newMaintainer,
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
		fx.Invoke(runLog, logLifetime, runControl, runOperators, runServing, runReload),
		fx.StopTimeout(cfg.Stop.AnnounceDelay+cfg.Stop.DrainTimeout+closeReserve),
	)
}

func newLevel(cfg settings.Settings) (zap.AtomicLevel, error) {
	return zap.ParseAtomicLevel(cfg.LogLevel)
}
