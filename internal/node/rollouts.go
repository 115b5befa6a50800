package node

import (
	"context"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/rolloutcontrol"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

type rolloutDeps struct {
	fx.In

	Config      settings.Settings
	Catalog     *catalog.Catalog
	Self        catalog.NodeRecord
	Counts      *evidence.Collector
	Splitter    *canary.Splitter
	Store       store.Store
	Guarded     store.Guarded `optional:"true"`
	Syncer      *configsync.Syncer
	Transport   *peer.SocketTransport
	StateEvents *stateEvents
	Metrics     *telemetry.Metrics
	Clock       boottime.Clock
}

// rollouts are the rollout loops of a node. In the zero value rollouts are disabled.
type rollouts struct {
	controller *rolloutcontrol.Controller
	versions   *rolloutcontrol.VersionsWriter
}

// newRollouts returns the rollout loops, or the zero value if the settings disable rollouts. It returns an InvalidField
// failure if rollouts are enabled and the store has no guarded writes.
func newRollouts(deps rolloutDeps) (*rollouts, error) {
	cfg := deps.Config.Rollouts
	if !cfg.Enabled {
		return &rollouts{}, nil
	}
	if deps.Guarded == nil {
		return nil, failure.Invalid("rollouts.enabled", "rollouts need guarded writes, which the store of dialect %q does not have", deps.Config.Platform.Dialect)
	}
	events := rolloutEvents{log: deps.StateEvents.log}
	controller := rolloutcontrol.New(rolloutcontrol.Deps{
		Config: cfg, Catalog: deps.Catalog, Self: deps.Self, Counts: deps.Counts, Splitter: deps.Splitter,
		NewEvaluator: newEvaluator(deps.Config.RolloutVerdict),
		States:       rolloutcontrol.GuardedStateWriter{Store: deps.Store, Guarded: deps.Guarded, RetryPause: cfg.RetryPause},
		Fleet:        fleetStatus{deps.Syncer}, Sender: deps.Transport, Events: events, Clock: deps.Clock,
	})
	if err := deps.Metrics.RegisterRollouts(controller.Statuses); err != nil {
		return nil, err
	}
	return &rollouts{
		controller: controller,
		versions:   rolloutcontrol.NewVersionsWriter(cfg, deps.Catalog, deps.Store, deps.Self.ID, events),
	}, nil
}

// handler returns the handler of rollout messages, or nil if rollouts are disabled.
func (r *rollouts) handler() configsync.RolloutHandler {
	if r.controller == nil {
		return nil
	}
	return r.controller
}

// run blocks until the context is done, or returns at once if rollouts are disabled.
func (r *rollouts) run(ctx context.Context) {
	if r.controller == nil {
		return
	}
	var running sync.WaitGroup
	running.Go(func() { r.versions.Run(ctx) })
	running.Go(func() { r.controller.Run(ctx) })
	running.Wait()
}

// fleetStatus collects the settled revisions of all nodes with the status call.
type fleetStatus struct{ syncer *configsync.Syncer }

var _ rolloutcontrol.Fleet = fleetStatus{}

func (f fleetStatus) Settled(ctx context.Context, revision int64) rolloutcontrol.FleetStatus {
	var status rolloutcontrol.FleetStatus
	for index, zone := range f.syncer.Status(ctx, revision) {
		status.Answered += int(zone.Nodes)
		status.Registered += zone.Registered
		if index == 0 || zone.LowestSettled < status.LowestSettled {
			status.LowestSettled = zone.LowestSettled
		}
	}
	return status
}

// newSplitter returns nil if rollouts are disabled.
func newSplitter(cfg settings.Settings, cat *catalog.Catalog, fleet *registry.Fleet, clock boottime.Clock) *canary.Splitter {
	if !cfg.Rollouts.Enabled {
		return nil
	}
	splitter := canary.New(cfg.Canary, cat, fleet)
	splitter.SetClock(clock)
	return splitter
}

// newCollector returns nil if rollouts are disabled.
func newCollector(cfg settings.Settings, cat *catalog.Catalog) *evidence.Collector {
	if !cfg.Rollouts.Enabled {
		return nil
	}
	return evidence.NewCollector(cat)
}

// newEvaluator returns the factory of the evaluators that decide whether the target version of a spec is good.
func newEvaluator(cfg verdict.Config) rolloutcontrol.EvaluatorFactory {
	return func(serving, canaryVersion string, duration time.Duration) rolloutcontrol.Evaluator {
		return verdict.New(cfg, serving, canaryVersion, duration)
	}
}
