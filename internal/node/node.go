// Package node wires the packages of a node together by fx and runs them as one process.
//
// At a start the peer listener opens first, then the node joins its zone and gets its configuration, then it serves
// operators and callers. A planned stop goes the other way: the node announces it to callers and peers, serves on for a
// moment, refuses new searches as not run, waits for requests in flight, and closes.
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

// closeReserve is the part of fx's stop timeout that is left for closing after the drain.
const closeReserve = 10 * time.Second

// Start is the input of New.
type Start struct {
	Settings settings.Settings
	// SettingsPath is the file that Load reads; empty if there is none.
	SettingsPath string
	// Load reads the settings again; nil if they can't change.
	Load reload.Loader
	// Reload receives the signals to reload the settings.
	Reload <-chan os.Signal
	// Logs receives log and decision log as JSON lines.
	Logs io.Writer
	// Dialects are the platform protocols that the node speaks besides the product's own.
	Dialects []Dialect
}

// New returns the application of one node; its Run and Stop are fx's.
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
		fx.StopTimeout(config.Stop.PrepareStopDelay+config.Stop.DrainTimeout+closeReserve),
	)
}

func newLevel(config settings.Settings) (zap.AtomicLevel, error) {
	return zap.ParseAtomicLevel(config.LogLevel)
}
