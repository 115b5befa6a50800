package node

import (
	"context"
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
	"github.com/portgauge/portgauge/internal/operator/api"
	"github.com/portgauge/portgauge/internal/quarantine/quarantinesync"
	"github.com/portgauge/portgauge/internal/request/front"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/search"
	"github.com/portgauge/portgauge/internal/request/servingtree"
	"github.com/portgauge/portgauge/internal/wait"
)

// runLog writes the decision log from the start to the end of the stop.
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

// controlParts are what runs beside requests.
type controlParts struct {
	fx.In

	Config     settings.Settings
	Transport  *peer.SocketTransport
	Syncer     *configsync.Syncer
	Members    *membership.Membership
	Engine     *search.Engine
	Keeper     *leafKeeper
	Writer     *leafmemory.Writer
	Gossip     *leafgossip.Gossip
	Beliefs    *beliefJournal
	Reach      *reachability.Datagrams
	Zones      *reachability.Tracker
	Rollouts   *rollouts
	Self       catalog.NodeRecord
	Catalog    *catalog.Catalog
	Lessor     store.Lessor `optional:"true"`
	Logger     *zap.Logger
	Quarantine *quarantinesync.Sync
	Rewriter   *rewriter.Writer
	Clock      boottime.Clock
	Gateway    *gateway.Gateway
	Leafs      *leafhttp.Pool
}

// runControl runs membership and configuration from start to the end of the stop.
func runControl(lifecycle fx.Lifecycle, parts controlParts) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			parts.Transport.Serve(configsync.NewPeerHandler(parts.Syncer, configsync.Hearers{
				Leafs: parts.Gossip.Heard, Reach: parts.Reach.Heard, Rollouts: parts.Rollouts.hearer(),
				Quarantine: parts.Quarantine.Heard,
			}))
			go parts.Zones.Run(ctx)
			go parts.Syncer.Run(ctx)
			go parts.Members.Run(ctx)
			go parts.Keeper.run(ctx)
			go parts.Writer.Run(ctx)
			go parts.Gossip.Run(ctx)
			go parts.Beliefs.run(ctx)
			running.Go(func() { parts.Rollouts.run(ctx) })
			running.Go(func() { parts.Quarantine.Run(ctx) })
			running.Go(func() { parts.Rewriter.Run(ctx) })
			wakers := []func(time.Duration){parts.Gateway.Woke, parts.Leafs.Woke, func(time.Duration) { parts.Syncer.Woke() }}
			if parts.Lessor != nil {
				record := registry.New(parts.Config.Registry, parts.Lessor, parts.Self, parts.Logger)
				record.ResumeFrom(parts.Catalog, parts.Syncer.Ready())
				running.Go(func() { record.Run(ctx) })
				wakers = append(wakers, func(time.Duration) { record.Woke() })
			}
			go boottime.Watch(ctx, parts.Clock, func(slept time.Duration) {
				parts.Logger.Warn("the machine was suspended", zap.Duration("slept", slept))
				for _, wake := range wakers {
					wake(slept)
				}
			})
			go func() {
				select {
				case <-parts.Syncer.Ready():
					parts.Engine.SetReady()
				case <-ctx.Done():
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			running.Wait()
			return parts.Transport.Close()
		},
	})
}

func runOperators(lifecycle fx.Lifecycle, config settings.Settings, self catalog.NodeRecord, parts operatorParts) {
	handler := api.NewOperatorHandler(api.OperatorParts{
		Admin: parts.Admin, Catalog: parts.Catalog, Syncer: parts.Syncer, Engine: parts.Engine,
		Metrics: parts.Metrics, Level: parts.Level, NodeID: self.ID,
	})
	serve(lifecycle, config.Listen.Operators, api.NewServer(handler), parts.Logger)
}

// servingParts are what serves requests.
type servingParts struct {
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

// runServing serves searches and the front, and stops both together: requests that run are
// waited for in both at once.
func runServing(lifecycle fx.Lifecycle, parts servingParts) {
	config, logger := parts.Config, parts.Logger
	serve(lifecycle, config.Listen.Callers, api.NewServer(api.NewCallerHandler(api.CallerParts{Engine: parts.Engine})), logger)
	if config.Listen.Ready != "" {
		serve(lifecycle, config.Listen.Ready, api.NewServer(parts.Front.ReadinessHandler()), logger)
	}
	warming, stopWarming := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			if config.Listen.Tree != "" {
				listener, err := listen(ctx, config.Listen.Tree, logger)
				if err != nil {
					return err
				}
				go parts.Tree.Serve(listener)
			}
			if config.Listen.Front == "" {
				return nil
			}
			listener, err := listen(ctx, config.Listen.Front, logger)
			if err != nil {
				return err
			}
			go func() {
				awaitRoutes(parts.Syncer.Ready())
				go parts.Gateway.KeepWarm(warming)
				parts.Front.Serve(listener)
			}()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			stopWarming()
			parts.Members.Leave()
			parts.Tree.Announce()
			parts.Engine.Announce()
			parts.Front.Announce()
			logger.Info("stopping: announced")
			if !wait.For(ctx, config.Stop.AnnounceDelay) {
				return ctx.Err()
			}
			drain(ctx, parts)
			return nil
		},
	})
}

// acceptDelay is how long connections may wait in the listener's queue for the node's first
// configuration, which usually takes a few milliseconds; then requests are refused as not run.
const acceptDelay = 300 * time.Millisecond

// awaitRoutes waits for the first configuration, for a short while.
func awaitRoutes(ready <-chan struct{}) {
	select {
	case <-ready:
	case <-time.After(acceptDelay):
	}
}

// drain waits for what runs, within the time that the settings allow.
func drain(ctx context.Context, parts servingParts) {
	ctx, cancel := context.WithTimeout(ctx, parts.Config.Stop.DrainTimeout)
	defer cancel()
	var draining sync.WaitGroup
	draining.Go(func() {
		err := parts.Engine.Drain(ctx)
		parts.Logger.Info("stopping: searches drained", zap.Error(err))
	})
	draining.Go(func() {
		err := parts.Front.Shutdown(ctx)
		parts.Logger.Info("stopping: front drained", zap.Error(err))
	})
	draining.Go(func() {
		err := parts.Tree.Shutdown(ctx)
		parts.Logger.Info("stopping: requests of other nodes drained", zap.Error(err))
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

// serve runs a server between start and stop.
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
