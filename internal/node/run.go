package node

import (
	"context"
	"io"
	"net"
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
	"github.com/portgauge/portgauge/internal/httpdrain"
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

// runLog writes the decision log from the start of the node until all other parts have stopped.
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

// controlDeps are the dependencies of the background loops.
type controlDeps struct {
	fx.In

	Config       settings.Settings
	Transport    *peer.SocketTransport
	Syncer       *configsync.Syncer
	Members      *membership.Membership
	Engine       *search.Engine
	Maintainer   *maintainer
	Writer       *leafmemory.Writer
	Gossip       *leafgossip.Gossip
	StateEvents  *stateEvents
	Reachability *reachability.Datagrams
	Zones        *reachability.Tracker
	Rollouts     *rollouts
	Self         catalog.NodeRecord
	Catalog      *catalog.Catalog
	Lessor       store.Lessor `optional:"true"`
	Logger       *zap.Logger
	Quarantine   *quarantinesync.Sync
	Rewriter     *rewriter.Rewriter
	Clock        boottime.Clock
	Gateway      *gateway.Gateway
	Leafs        *leafhttp.Pool
}

// runControl runs membership, configuration and the other background loops until the servers have stopped.
func runControl(lifecycle fx.Lifecycle, deps controlDeps) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			deps.Transport.Serve(configsync.NewPeerHandler(deps.Syncer, configsync.Handlers{
				Leafs: deps.Gossip.Handle, Reachability: deps.Reachability.Handle, Rollouts: deps.Rollouts.handler(),
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
				registration := registry.New(deps.Config.Registry, deps.Lessor, deps.Self, deps.Logger)
				registration.ResumeFrom(deps.Catalog, deps.Syncer.Ready())
				running.Go(func() { registration.Run(ctx) })
				onResume = append(onResume, func(time.Duration) { registration.Resumed() })
			}
			go boottime.Watch(ctx, deps.Clock, func(suspended time.Duration) {
				deps.Logger.Warn("the machine was suspended; the suspension counts against deadlines and idle times, and the configuration is refreshed", zap.Duration("slept", suspended))
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

func runOperators(lifecycle fx.Lifecycle, cfg settings.Settings, self catalog.NodeRecord, deps operatorDeps) {
	handler := api.NewOperatorHandler(api.OperatorDeps{
		Admin: deps.Admin, Catalog: deps.Catalog, Syncer: deps.Syncer, Engine: deps.Engine,
		Metrics: deps.Metrics, Level: deps.Level, NodeID: self.ID, Memory: deps.Budgets.Control,
	})
	serve(lifecycle, cfg.Listen.Operators, api.NewServer(handler), deps.Logger)
}

// servingDeps are the servers of requests and the parts that announce a planned stop.
type servingDeps struct {
	fx.In

	Config  settings.Settings
	Engine  *search.Engine
	Gateway *gateway.Gateway
	Front   *front.Server
	Tree    *servingtree.Server
	Syncer  *configsync.Syncer
	Members *membership.Membership
	Budgets memoryBudgets
	Logger  *zap.Logger
}

// runServing serves searches, the front and the groups of other nodes. On a planned stop it announces the stop, keeps
// serving for stop.announce_delay, and then drains all three servers at the same time.
func runServing(lifecycle fx.Lifecycle, deps servingDeps) {
	cfg, logger := deps.Config, deps.Logger
	serve(lifecycle, cfg.Listen.Callers, api.NewServer(api.NewCallerHandler(api.CallerDeps{Engine: deps.Engine, Memory: deps.Budgets.Requests})), logger)
	if cfg.Listen.Ready != "" {
		serve(lifecycle, cfg.Listen.Ready, api.NewServer(deps.Front.ReadinessHandler()), logger)
	}
	warming, stopWarming := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if cfg.Listen.Tree != "" {
				listener, err := listen(ctx, cfg.Listen.Tree, logger)
				if err != nil {
					return err
				}
				go deps.Tree.Serve(listener)
			}
			if cfg.Listen.Front == "" {
				return nil
			}
			listener, err := listen(ctx, cfg.Listen.Front, logger)
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
			deps.Tree.DeclineNew()
			deps.Engine.PrepareStop()
			deps.Front.PrepareStop()
			logger.Info("stopping: the stop was announced to callers and peers")
			if !wait.For(ctx, cfg.Stop.AnnounceDelay) {
				return ctx.Err()
			}
			drain(ctx, deps)
			return nil
		},
	})
}

// acceptDelay is how long connections wait in the listener's backlog for the node's first configuration, which usually
// arrives within a few milliseconds. After that they are accepted, and their requests are refused as not run.
const acceptDelay = 300 * time.Millisecond

// awaitRoutes waits for the first configuration, but at most for acceptDelay.
func awaitRoutes(ready <-chan struct{}) {
	select {
	case <-ready:
	case <-time.After(acceptDelay):
	}
}

// drain waits for the requests in flight, but at most for the setting stop.drain_timeout.
func drain(ctx context.Context, deps servingDeps) {
	ctx, cancel := context.WithTimeout(ctx, deps.Config.Stop.DrainTimeout)
	defer cancel()
	var draining sync.WaitGroup
	draining.Go(func() {
		err := deps.Engine.Drain(ctx)
		deps.Logger.Info("stopping: the drain of searches has ended", zap.Error(err))
	})
	draining.Go(func() {
		err := deps.Front.Shutdown(ctx)
		deps.Logger.Info("stopping: the drain of the front has ended", zap.Error(err))
	})
	draining.Go(func() {
		err := deps.Tree.Shutdown(ctx)
		deps.Logger.Info("stopping: the drain of requests from other nodes has ended", zap.Error(err))
	})
	draining.Wait()
}

func listen(ctx context.Context, address string, logger *zap.Logger) (net.Listener, error) {
	var cfg net.ListenConfig
	listener, err := cfg.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, merry.Prepend(err, "listen on "+address)
	}
	logger.Info("listening", zap.String("address", listener.Addr().String()))
	return listener, nil
}

// serve runs a server from the start of the node to its stop.
func serve(lifecycle fx.Lifecycle, address string, server *httpdrain.Server, logger *zap.Logger) {
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

func newDecisionLog(cfg settings.Settings, output io.Writer, metrics *telemetry.Metrics) *decisionlog.Log {
	return decisionlog.New(cfg.DecisionLog, output, metrics.LogLinesDropped.Inc)
}
