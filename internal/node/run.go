package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/config/rewriter"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/leafgossip"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/quarantine/quarantinesync"
	"github.com/portgauge/portgauge/internal/request/front"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/search"
	"github.com/portgauge/portgauge/internal/request/servingtree"
	"github.com/portgauge/portgauge/internal/wait"
)

// runLog writes the decision log from the start until everything else has stopped.
func runLog(lifecycle fx.Lifecycle, log *decisionlog.Log) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() {
				log.Run(ctx)
				close(ended)
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			<-ended
			return nil
		},
	})
}

// controlDeps are the loops that run beside requests.
type controlDeps struct {
	fx.In

	Config      settings.Settings
	Transport   *peer.SocketTransport
	Syncer      *configsync.Syncer
	Members     *membership.Membership
	Engine      *search.Engine
	Maintainer  *maintainer
	Writer      *leafmemory.Writer
	Gossip      *leafgossip.Gossip
	StateEvents *stateEvents
	Reach       *reachability.Datagrams
	Zones       *reachability.Tracker
	Rollouts    *rollouts
	Self        catalog.NodeRecord
	Catalog     *catalog.Catalog
	Lessor      store.Lessor `optional:"true"`
	Logger      *zap.Logger
	Quarantine  *quarantinesync.Sync
	Rewriter    *rewriter.Writer
	Clock       boottime.Clock
	Gateway     *gateway.Gateway
	Leafs       *leafhttp.Pool
}

// runControl runs membership, configuration and the other background loops until the serving side has stopped.
func runControl(lifecycle fx.Lifecycle, deps controlDeps) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			deps.Transport.Serve(configsync.NewPeerHandler(deps.Syncer, configsync.Handlers{
				Leafs: deps.Gossip.Handle, Reach: deps.Reach.Handle, Rollouts: deps.Rollouts.handler(),
				Quarantine: deps.Quarantine.Handle,
			}))
			go deps.Zones.Run(ctx)
			go deps.Syncer.Run(ctx)
			go deps.Members.Run(ctx)
			go deps.Maintainer.run(ctx)
			go deps.Writer.Run(ctx)
			go deps.Gossip.Run(ctx)
			go deps.StateEvents.run(ctx)
			running.Go(func() { deps.Rollouts.run(ctx) })
			running.Go(func() { deps.Quarantine.Run(ctx) })
			running.Go(func() { deps.Rewriter.Run(ctx) })
			onResume := []func(time.Duration){deps.Gateway.Resumed, deps.Leafs.Resumed, func(time.Duration) { deps.Syncer.Resumed() }}
			if deps.Lessor != nil {
				record := registry.New(deps.Config.Registry, deps.Lessor, deps.Self, deps.Logger)
				record.ResumeFrom(deps.Catalog, deps.Syncer.Ready())
				running.Go(func() { record.Run(ctx) })
				onResume = append(onResume, func(time.Duration) { record.Resumed() })
			}
			go boottime.Watch(ctx, deps.Clock, func(suspended time.Duration) {
				deps.Logger.Warn("the machine was suspended", zap.Duration("slept", suspended))
				for _, resumed := range onResume {
					resumed(suspended)
				}
			})
			go func() {
				select {
				case <-deps.Syncer.Ready():
					deps.Engine.SetReady()
				case <-ctx.Done():
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return deps.Transport.Close()
		},
	})
}

func runOperators(lifecycle fx.Lifecycle, config settings.Settings, self catalog.NodeRecord, deps operatorDeps) {
	handler := api.NewOperatorHandler(api.OperatorDeps{
		Admin: deps.Admin, Catalog: deps.Catalog, Syncer: deps.Syncer, Engine: deps.Engine,
		Metrics: deps.Metrics, Level: deps.Level, NodeID: self.ID,
	})
	serve(lifecycle, config.Listen.Operators, api.NewServer(handler), deps.Logger)
}

// servingDeps are the servers of requests, and what a planned stop announces itself to.
type servingDeps struct {
	fx.In

	Config  settings.Settings
	Engine  *search.Engine
	Gateway *gateway.Gateway
	Front   *front.Server
	Tree    *servingtree.Server
	Syncer  *configsync.Syncer
	Members *membership.Membership
	Logger  *zap.Logger
}

// runServing serves searches, the front and other nodes' groups. A planned stop announces itself, keeps serving for the
// announcement delay, and then drains all three at the same time.
func runServing(lifecycle fx.Lifecycle, deps servingDeps) {
	config, logger := deps.Config, deps.Logger
	serve(lifecycle, config.Listen.Callers, api.NewServer(api.NewCallerHandler(api.CallerDeps{Engine: deps.Engine})), logger)
	if config.Listen.Ready != "" {
		serve(lifecycle, config.Listen.Ready, api.NewServer(deps.Front.ReadinessHandler()), logger)
	}
	warming, stopWarming := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if config.Listen.Tree != "" {
				listener, err := listen(ctx, config.Listen.Tree, logger)
				if err != nil {
					return err
				}
				go deps.Tree.Serve(listener)
			}
			if config.Listen.Front == "" {
				return nil
			}
			listener, err := listen(ctx, config.Listen.Front, logger)
			if err != nil {
				return err
			}
			go func() {
				awaitRoutes(deps.Syncer.Ready())
				go deps.Gateway.KeepWarm(warming)
				deps.Front.Serve(listener)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			stopWarming()
			deps.Members.Leave()
			deps.Tree.PrepareStop()
			deps.Engine.PrepareStop()
			deps.Front.PrepareStop()
			logger.Info("stopping: announced")
			if !wait.For(ctx, config.Stop.PrepareStopDelay) {
				return ctx.Err()
			}
			drain(ctx, deps)
			return nil
		},
	})
}

// acceptDelay is how long connections wait in the listener's backlog for the node's first configuration, which usually
// takes a few milliseconds. After that they are accepted and their requests refused as not run.
const acceptDelay = 300 * time.Millisecond

// awaitRoutes waits for the first configuration, for acceptDelay at most.
func awaitRoutes(ready <-chan struct{}) {
	select {
	case <-ready:
	case <-time.After(acceptDelay):
	}
}

// drain waits for the requests in flight, for stop.drain_timeout at most.
func drain(ctx context.Context, deps servingDeps) {
	ctx, cancel := context.WithTimeout(ctx, deps.Config.Stop.DrainTimeout)
	defer cancel()
	var draining sync.WaitGroup
	draining.Go(func() {
		err := deps.Engine.Drain(ctx)
		deps.Logger.Info("stopping: searches drained", zap.Error(err))
	})
	draining.Go(func() {
		err := deps.Front.Shutdown(ctx)
		deps.Logger.Info("stopping: front drained", zap.Error(err))
	})
	draining.Go(func() {
		err := deps.Tree.Shutdown(ctx)
		deps.Logger.Info("stopping: requests of other nodes drained", zap.Error(err))
	})
	draining.Wait()
}

func listen(ctx context.Context, address string, logger *zap.Logger) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen on "+address)
	}
	logger.Info("listening", zap.String("address", listener.Addr().String()))
	return listener, nil
}

// serve runs a server from the node's start to its stop.
func serve(lifecycle fx.Lifecycle, address string, server *http.Server, logger *zap.Logger) {
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			listener, err := listen(ctx, address, logger)
			if err != nil {
				return err
			}
			go api.Serve(server, listener, logger)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		},
	})
}

func newDecisionLog(config settings.Settings, output io.Writer, metrics *telemetry.Metrics) *decisionlog.Log {
	return decisionlog.New(config.DecisionLog, output, metrics.LogLinesLeftOut.Inc)
}
