// Package node assembles a node from its parts and runs it.
//
// Starting opens the peer address first, joins the zone and brings configuration in, then
// serves operators and callers. A planned stop goes the other way: it announces itself to
// callers and peers, still serves for a moment, refuses new searches as not run, waits for
// those in flight, and then closes.
package node

import (
	"io"
	"time"

	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/settings"
	"github.com/portgauge/portgauge/internal/telemetry"
)

// closeReserve is the time kept for closing after the drain.
const closeReserve = 10 * time.Second

// New makes the application of one node. Logs go to the output as JSON lines. Besides the
// product's own protocol to a platform, the node speaks the given ones.
func New(config settings.Settings, logs io.Writer, spoken ...Dialect) *fx.App {
	return fx.New(
		fx.Supply(config, dialects(spoken), fx.Annotate(logs, fx.As(new(io.Writer)))),
		fx.Provide(
			newLevel,
			func(level zap.AtomicLevel) *zap.Logger { return telemetry.NewLogger(logs, level) },
			telemetry.NewMetrics,
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
			newDecisionLog,
			newJournal,
			newGateway,
			newFront,
			newEngine,
			newSyncer,
			newMembership,
			newAdmin,
			newLeafKeeper,
		),
		fx.WithLogger(func(logger *zap.Logger) fxevent.Logger {
			events := &fxevent.ZapLogger{Logger: logger}
			events.UseLogLevel(zap.DebugLevel)
			return events
		}),
		fx.Invoke(runLog, runControl, runOperators, runServing),
		fx.StopTimeout(config.Stop.AnnounceDelay+config.Stop.DrainTimeout+closeReserve),
	)
}
