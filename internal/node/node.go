// Package node assembles a node from its parts and runs it.
//
// Starting opens the peer address first, joins the zone and brings configuration in, then
// serves operators and callers. A planned stop goes the other way: it announces itself to
// callers and peers, still serves for a moment, refuses new searches as not run, waits for
// those in flight, and then closes.
package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/admin"
	"github.com/portgauge/portgauge/internal/api"
	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/catalog"
	"github.com/portgauge/portgauge/internal/configsync"
	"github.com/portgauge/portgauge/internal/configwriter"
	"github.com/portgauge/portgauge/internal/leafclient"
	"github.com/portgauge/portgauge/internal/membership"
	"github.com/portgauge/portgauge/internal/peer"
	"github.com/portgauge/portgauge/internal/platformclient"
	"github.com/portgauge/portgauge/internal/search"
	"github.com/portgauge/portgauge/internal/settings"
	"github.com/portgauge/portgauge/internal/telemetry"
	"github.com/portgauge/portgauge/internal/wait"
)

// closeReserve is the time kept for closing after the drain.
const closeReserve = 10 * time.Second

// New makes the application of one node. Logs go to the output as JSON lines.
func New(config settings.Settings, logs io.Writer) *fx.App {
	return fx.New(
		fx.Supply(config),
		fx.Provide(
			newLevel,
			func(level zap.AtomicLevel) *zap.Logger { return telemetry.NewLogger(logs, level) },
			telemetry.NewMetrics,
			newPlatform,
			newTransport,
			newCatalog,
			newBalancer,
			newLeafPool,
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
		fx.Invoke(runControl, runOperators, runCallers),
		fx.StopTimeout(config.Stop.AnnounceDelay+config.Stop.DrainTimeout+closeReserve),
	)
}

func newLevel(config settings.Settings) (zap.AtomicLevel, error) {
	return zap.ParseAtomicLevel(config.LogLevel)
}

func newPlatform(config settings.Settings, metrics *telemetry.Metrics, lifecycle fx.Lifecycle) (*platformclient.Client, error) {
	sentToPlatform := metrics.ControlBytes.WithLabelValues("platform")
	client, err := platformclient.New(config.Platform.Address, func(sent, _ int) { sentToPlatform.Add(float64(sent)) })
	if err != nil {
		return nil, err
	}
	lifecycle.Append(fx.StopHook(client.Close))
	return client, nil
}

func newTransport(config settings.Settings, metrics *telemetry.Metrics) (*peer.SocketTransport, error) {
	return peer.Listen(config.Listen.Peers, config.Listen.AdvertisePeers, func(transport string, sent, _ int) {
		metrics.ControlBytes.WithLabelValues(transport).Add(float64(sent))
	})
}

func newCatalog(metrics *telemetry.Metrics, logger *zap.Logger) *catalog.Catalog {
	return catalog.New(func(key string, err error) {
		metrics.ConfigRejected.Inc()
		logger.Error("stored value can't be put into force", zap.String("key", key), zap.Error(err))
	})
}

func newBalancer(config settings.Settings) *balancer.Balancer {
	return balancer.New(config.Balancer, config.Node.Zone)
}

func newLeafPool(config settings.Settings, lifecycle fx.Lifecycle) *leafclient.Pool {
	pool := leafclient.New(config.LeafClient)
	lifecycle.Append(fx.StopHook(pool.Close))
	return pool
}

func newEngine(config settings.Settings, known *catalog.Catalog, choice *balancer.Balancer, pool *leafclient.Pool, metrics *telemetry.Metrics, logger *zap.Logger) *search.Engine {
	return search.New(search.Parts{
		Config: config.Search, Hedging: config.Hedging, Catalog: known, Balancer: choice, Leafs: pool, Metrics: metrics, Logger: logger,
	})
}

func newSyncer(config settings.Settings, known *catalog.Catalog, platform *platformclient.Client, transport *peer.SocketTransport, choice *balancer.Balancer, metrics *telemetry.Metrics, logger *zap.Logger) *configsync.Syncer {
	syncer := configsync.New(configsync.Parts{
		Config: config.ConfigSync, Catalog: known, Store: platform, Machines: platform, Transport: transport,
		Leafs: choice, Logger: logger, Seeds: config.Seeds,
		Relayed: func(kind string) { metrics.ConfigRelayed.WithLabelValues(kind).Inc() },
	})
	choice.OnDraining(syncer.LeafDraining)
	return syncer
}

// nodeID gives the configured id, or one made from zone and peer address.
func nodeID(config settings.Settings, transport *peer.SocketTransport) string {
	if config.Node.ID != "" {
		return config.Node.ID
	}
	return fmt.Sprintf("%s/%s", config.Node.Zone, transport.Address())
}

func newMembership(config settings.Settings, transport *peer.SocketTransport, syncer *configsync.Syncer) *membership.Membership {
	self := peer.Member{
		ID: nodeID(config, transport), Address: transport.Address(), Zone: config.Node.Zone,
		// A new process on an old id must supersede what is known of its predecessor.
		Incarnation: time.Now().UnixMilli(),
	}
	members := membership.New(config.Membership, self, transport, syncer, xxhash.Sum64String(self.ID))
	syncer.SetMembership(members)
	return members
}

func newAdmin(config settings.Settings, known *catalog.Catalog, platform *platformclient.Client) *admin.Admin {
	return admin.New(known, platform, configwriter.New(config.ConfigWriter, platform))
}

// runControl runs membership and configuration from start to the end of the stop.
func runControl(lifecycle fx.Lifecycle, transport *peer.SocketTransport, syncer *configsync.Syncer, members *membership.Membership, engine *search.Engine, keeper *leafKeeper) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			transport.Serve(configsync.NewPeerHandler(syncer))
			go syncer.Run(ctx)
			go members.Run(ctx)
			go keeper.run(ctx)
			go func() {
				select {
				case <-syncer.Ready():
					engine.SetReady()
				case <-ctx.Done():
				}
			}()
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return transport.Close()
		},
	})
}

func runOperators(lifecycle fx.Lifecycle, config settings.Settings, transport *peer.SocketTransport, parts operatorParts) {
	handler := api.NewOperatorHandler(api.OperatorParts{
		Admin: parts.Admin, Catalog: parts.Catalog, Syncer: parts.Syncer, Engine: parts.Engine,
		Metrics: parts.Metrics, Level: parts.Level, NodeID: nodeID(config, transport),
	})
	serve(lifecycle, config.Listen.Operators, handler, parts.Logger, nil)
}

func runCallers(lifecycle fx.Lifecycle, config settings.Settings, engine *search.Engine, members *membership.Membership, logger *zap.Logger) {
	announceAndDrain := func(ctx context.Context) error {
		members.Leave()
		engine.Announce()
		logger.Info("stopping: announced")
		if !wait.For(ctx, config.Stop.AnnounceDelay) {
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(ctx, config.Stop.DrainTimeout)
		defer cancel()
		err := engine.Drain(ctx)
		logger.Info("stopping: drained", zap.Error(err))
		return nil
	}
	serve(lifecycle, config.Listen.Callers, api.NewCallerHandler(api.CallerParts{Engine: engine}), logger, announceAndDrain)
}

// serve runs a server between start and stop; beforeClose runs first in the stop.
func serve(lifecycle fx.Lifecycle, address string, handler http.Handler, logger *zap.Logger, beforeClose func(context.Context) error) {
	server := api.NewServer(handler)
	lifecycle.Append(fx.Hook{
		OnStart: func(ctx context.Context) error {
			var listenConfig net.ListenConfig
			listener, err := listenConfig.Listen(ctx, "tcp", address)
			if err != nil {
				return merry.Prepend(err, "listen on "+address)
			}
			logger.Info("listening", zap.String("address", listener.Addr().String()))
			go api.Serve(server, listener, logger)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			if beforeClose != nil {
				if err := beforeClose(ctx); err != nil {
					return err
				}
			}
			if err := server.Shutdown(ctx); err != nil {
				return server.Close()
			}
			return nil
		},
	})
}
