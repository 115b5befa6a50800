package node

import (
	"runtime/debug"

	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
)

// memoryBudgets bound what the node's peers make it hold.
type memoryBudgets struct {
	// Requests is for callers and leafs, Control for other nodes, the store and operators.
	Requests, Control *memorybudget.Budget
}

// newMemoryBudgets returns the budgets of the node, and sets the runtime's soft memory limit, so that garbage is collected
// in time while the budgets are used up.
func newMemoryBudgets(cfg settings.Settings, metrics *telemetry.Metrics) (memoryBudgets, error) {
	if limit := cfg.Memory.SoftLimit(); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	refused := func(kind memorybudget.Kind) { metrics.MemoryRefused.WithLabelValues(string(kind)).Inc() }
	budgets := memoryBudgets{Requests: cfg.Memory.NewRequests(refused), Control: cfg.Memory.NewControl(refused)}
	return budgets, metrics.RegisterMemory(budgets.Requests.Held, budgets.Control.Held)
}
