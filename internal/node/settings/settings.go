// Package settings reads and validates the settings of a node.
//
// Settings come from one YAML file. Each setting can be overridden by an environment variable
// (PORTGAUGE_SEARCH_MERGE_RESERVE for search.merge_reserve) or a flag (--set search.merge_reserve=2ms). Flags take
// precedence over the environment, and the environment over the file. Unknown settings are errors. All errors are
// reported at once, each as a failure.InvalidField with its path and line.
//
// The package owns the sections that belong to the process (node, listen, platform, stop). Every other section is the
// Config of the package that uses it, with its own defaults and validation. docs/SETTINGS.md is generated from the
// comments of all of them.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/config/configwriter"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/membership"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/connshare"
	"github.com/portgauge/portgauge/internal/leaf/leafclient"
	"github.com/portgauge/portgauge/internal/leaf/leafgossip"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafmemory"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/quarantinesync"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/hedging"
	"github.com/portgauge/portgauge/internal/request/retrybudget"
	"github.com/portgauge/portgauge/internal/request/search"
	"github.com/portgauge/portgauge/internal/request/servingtree"
	"github.com/portgauge/portgauge/internal/rollout/canary"
	"github.com/portgauge/portgauge/internal/rollout/rolloutcontrol"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Node describes the node and its machine.
type Node struct {
	// ID is the node's ID, unique in the fleet; if empty, it is made from the zone and the peer address.
	ID string `yaml:"id"`
	// Zone is the failure domain of the node.
	Zone string `yaml:"zone"`
	// Processors is the number of processors of the machine, and ProcessorFraction is the fraction of them that the
	// node may use. The nodes of a zone compare the products to decide which of them gather for others; 0 means unknown.
	Processors        float64 `yaml:"processors"`
	ProcessorFraction float64 `yaml:"processor_share"`
}

// Listen has the addresses of the node's listeners, each an IP address and port.
type Listen struct {
	// Callers is the address that serves searches.
	Callers string `yaml:"callers"`
	// Front is the address that serves requests by the routing table; if empty, the front is disabled.
	Front string `yaml:"front"`
	// Ready is the address that serves readiness checks of the front; if empty, they are disabled.
	Ready string `yaml:"ready"`
	// Operators is the address that serves administration, metrics, health checks and profiles.
	Operators string `yaml:"operators"`
	// Peers is the address that serves other nodes, over UDP and TCP.
	Peers string `yaml:"peers"`
	// Tree is the address that serves groups of parts for other nodes; if empty, the node gathers for no other node.
	Tree string `yaml:"tree"`
	// AdvertiseTree is the address under which other nodes reach Tree, if it differs from Tree.
	AdvertiseTree string `yaml:"advertise_tree"`
	// AdvertisePeers is the address under which other nodes reach Peers, if it differs from Peers.
	AdvertisePeers string `yaml:"advertise_peers"`
}

// Platform is the connection to the store and the machine list.
type Platform struct {
	// Address is the IP address and port of the store.
	Address string `yaml:"address"`
	// Dialect is the protocol of the platform; the program must have been built with it.
	Dialect string `yaml:"dialect"`
	// WatchWait is how long a watch call may wait for a change before it returns, in dialects with long polling.
	WatchWait time.Duration `yaml:"watch_wait"`
	// WatchPause is the pause after a watch call that returned changes, so that a burst of changes takes few calls.
	WatchPause time.Duration `yaml:"watch_pause"`
	// StandbyWatchWait and StandbyWatchPause are WatchWait and WatchPause for standby watchers. Longer values save
	// calls of the store.
	StandbyWatchWait  time.Duration `yaml:"standby_watch_wait"`
	StandbyWatchPause time.Duration `yaml:"standby_watch_pause"`
}

// DefaultDialect is the product's own platform protocol.
const DefaultDialect = "grpc"

// Stop has the time limits of a planned stop.
type Stop struct {
	// DrainTimeout is how long a stopping node waits for the requests in flight.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// AnnounceDelay is how long the node accepts new requests after it has announced its stop.
	AnnounceDelay time.Duration `yaml:"announce_delay"`
}

// Settings are all settings of a node.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Regions maps zones to regions, for routes that are restricted to regions.
	Regions map[string]string `yaml:"regions"`
	// Seeds are addresses of peers through which the node joins the fleet, in addition to the machine list.
	Seeds []string `yaml:"seeds"`
	// LogLevel is the lowest level that is logged: debug, info, warn or error.
	LogLevel string `yaml:"log_level"`
	Stop     Stop   `yaml:"stop"`

	Search          search.Config       `yaml:"search"`
	Balancer        balancer.Config     `yaml:"balancer"`
	Hedging         hedging.Config      `yaml:"hedging"`
	LeafClient      leafclient.Config   `yaml:"leaf_client"`
	Membership      membership.Config   `yaml:"membership"`
	ConfigSync      configsync.Config   `yaml:"config_sync"`
	ConfigWriter    configwriter.Config `yaml:"config_writer"`
	Gateway         gateway.Config      `yaml:"gateway"`
	LeafHTTP        leafhttp.Config     `yaml:"leaf_http"`
	LeafMemory      leafmemory.Config   `yaml:"leaf_memory"`
	ConnectionShare connshare.Config    `yaml:"connection_share"`
	RetryBudget     retrybudget.Config  `yaml:"retry_budget"`
	Registry        registry.Config     `yaml:"registry"`
	LeafGossip      leafgossip.Config   `yaml:"leaf_gossip"`
	Reachability    reachability.Config `yaml:"reachability"`
	Warmup          warmup.Config       `yaml:"warmup"`
	ServingTree     servingtree.Config  `yaml:"serving_tree"`
	Memory          memorybudget.Config `yaml:"memory"`
	DecisionLog     decisionlog.Config  `yaml:"decision_log"`

	// Quarantine has the limits for quarantining requests that crash leafs.
	Quarantine quarantine.Config `yaml:"quarantine"`
	// QuarantineSync has the limits for sending quarantined requests to the other nodes and the store.
	QuarantineSync quarantinesync.Config `yaml:"quarantine_sync"`

	Rollouts rolloutcontrol.Config `yaml:"rollouts"`
	// Canary bounds the requests that canary versions receive.
	Canary canary.Config `yaml:"canary"`
	// RolloutVerdict has the thresholds for deciding whether a canary version is good.
	RolloutVerdict verdict.Config `yaml:"rollout_verdict"`
}

// Default returns the default settings. They lack only the zone, which has no default.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:7400",
			Operators: "127.0.0.1:7401",
			Peers:     "127.0.0.1:7402",
		},
		Platform:        defaultPlatform(),
		LogLevel:        "info",
		Stop:            Stop{DrainTimeout: 30 * time.Second, AnnounceDelay: 200 * time.Millisecond},
		Search:          search.DefaultConfig(),
		Balancer:        balancer.DefaultConfig(),
		Hedging:         hedging.DefaultConfig(),
		LeafClient:      leafclient.DefaultConfig(),
		Membership:      membership.DefaultConfig(),
		ConfigSync:      configsync.DefaultConfig(),
		ConfigWriter:    configwriter.DefaultConfig(),
		Gateway:         gateway.DefaultConfig(),
		LeafHTTP:        leafhttp.DefaultConfig(),
		LeafMemory:      leafmemory.DefaultConfig(),
		ConnectionShare: connshare.DefaultConfig(),
		RetryBudget:     retrybudget.DefaultConfig(),
		Registry:        registry.DefaultConfig(),
		LeafGossip:      leafgossip.DefaultConfig(),
		Reachability:    reachability.DefaultConfig(),
		Warmup:          warmup.DefaultConfig(),
		ServingTree:     servingtree.DefaultConfig(),
		Memory:          memorybudget.DefaultConfig(),
		DecisionLog:     decisionlog.DefaultConfig(),
		Quarantine:      quarantine.DefaultConfig(),
		QuarantineSync:  quarantinesync.DefaultConfig(),
		Rollouts:        rolloutcontrol.DefaultConfig(),
		Canary:          canary.DefaultConfig(),
		RolloutVerdict:  verdict.DefaultConfig(),
	}
}

// defaultPlatform bounds the delay of a change: a first watcher receives it within 0.3 s, a standby watcher within
// 0.8 s, and the standby watcher pushes what has not been pushed 0.5 s later. A change must be in force within 4 s.
func defaultPlatform() Platform {
	return Platform{
		Address: "127.0.0.1:7300", Dialect: DefaultDialect,
		WatchWait: 1500 * time.Millisecond, WatchPause: 300 * time.Millisecond,
		StandbyWatchWait: 3 * time.Second, StandbyWatchPause: 800 * time.Millisecond,
	}
}

// Validate returns an error that names every invalid field.
func (s Settings) Validate() error {
	var checks failure.Checks
	checks.Refuse(s.Node.Zone == "", "node.zone", "must not be empty")
	requireAddress(&checks, "listen.callers", s.Listen.Callers)
	requireAddress(&checks, "listen.operators", s.Listen.Operators)
	requireAddress(&checks, "listen.peers", s.Listen.Peers)
	requireAddressIfSet(&checks, "listen.advertise_peers", s.Listen.AdvertisePeers)
	requireAddressIfSet(&checks, "listen.front", s.Listen.Front)
	requireAddressIfSet(&checks, "listen.ready", s.Listen.Ready)
	requireAddressIfSet(&checks, "listen.tree", s.Listen.Tree)
	requireAddressIfSet(&checks, "listen.advertise_tree", s.Listen.AdvertiseTree)
	checks.Refuse(s.Node.Processors < 0, "node.processors", "must not be negative")
	checks.Refuse(s.Node.ProcessorFraction < 0, "node.processor_share", "must not be negative")
	requireAddress(&checks, "platform.address", s.Platform.Address)
	checks.Refuse(s.Platform.Dialect == "", "platform.dialect", "must not be empty")
	checks.Refuse(s.Platform.WatchWait <= 0, "platform.watch_wait", "must be positive")
	checks.Refuse(s.Platform.WatchPause < 0, "platform.watch_pause", "must not be negative")
	// With a shorter look_after, standby watchers would call the store although the first watcher of their zone works.
	checks.Refuse(s.ConfigSync.CheckStoreAfter <= s.Platform.WatchWait, "config_sync.look_after", "must be longer than platform.watch_wait")
	checks.Refuse(s.Platform.StandbyWatchWait <= 0, "platform.standby_watch_wait", "must be positive")
	checks.Refuse(s.Platform.StandbyWatchPause < 0, "platform.standby_watch_pause", "must not be negative")
	for _, seed := range s.Seeds {
		requireAddress(&checks, "seeds", seed)
	}
	_, err := zapcore.ParseLevel(s.LogLevel)
	checks.Refuse(err != nil, "log_level", "%q is invalid; must be debug, info, warn or error", s.LogLevel)
	checks.Refuse(s.Stop.DrainTimeout <= 0, "stop.drain_timeout", "must be positive")
	checks.Refuse(s.Stop.AnnounceDelay < 0, "stop.announce_delay", "must not be negative")
	checks.Add("search", s.Search.Validate())
	checks.Add("balancer", s.Balancer.Validate())
	checks.Add("hedging", s.Hedging.Validate())
	checks.Add("leaf_client", s.LeafClient.Validate())
	checks.Add("membership", s.Membership.Validate())
	checks.Add("config_sync", s.ConfigSync.Validate())
	checks.Add("config_writer", s.ConfigWriter.Validate())
	checks.Add("gateway", s.Gateway.Validate())
	checks.Add("serving_tree", s.ServingTree.Validate())
	checks.Add("memory", s.Memory.Validate())
	checks.Add("leaf_http", s.LeafHTTP.Validate())
	checks.Add("leaf_memory", s.LeafMemory.Validate())
	checks.Add("connection_share", s.ConnectionShare.Validate())
	checks.Add("retry_budget", s.RetryBudget.Validate())
	checks.Add("registry", s.Registry.Validate())
	checks.Add("leaf_gossip", s.LeafGossip.Validate())
	checks.Add("reachability", s.Reachability.Validate())
	checks.Add("warmup", s.Warmup.Validate())
	checks.Add("decision_log", s.DecisionLog.Validate())
	checks.Add("quarantine", s.Quarantine.Validate())
	checks.Add("quarantine_sync", s.QuarantineSync.Validate())
	checks.Add("rollouts", s.Rollouts.Validate())
	checks.Add("canary", s.Canary.Validate())
	checks.Add("rollout_verdict", s.RolloutVerdict.Validate())
	return checks.Err()
}

// requireAddress accepts only an IP address with a port; host names are not resolved.
func requireAddress(checks *failure.Checks, field, address string) {
	_, err := netip.ParseAddrPort(address)
	checks.Refuse(err != nil, field, "%q is invalid; must be an IP address and port, such as 127.0.0.1:7400", address)
}

func requireAddressIfSet(checks *failure.Checks, field, address string) {
	if address != "" {
		requireAddress(checks, field, address)
	}
}
