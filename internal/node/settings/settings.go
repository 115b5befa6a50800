// Package settings reads and validates the settings of a node.
//
// Settings come from one YAML file. Each can be overridden by an environment variable
// (PORTGAUGE_SEARCH_MERGE_RESERVE for search.merge_reserve) or a flag (--set search.merge_reserve=2ms); a flag wins over
// the environment, the environment over the file. Unknown fields are refused, and all errors are reported at once, each
// a failure.InvalidField with its path and line.
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

// Node identifies the node and its machine.
type Node struct {
	// ID is unique in the fleet; empty means one is made from zone and peer address.
	ID string `yaml:"id"`
	// Zone is the failure domain that the node is in.
	Zone string `yaml:"zone"`
	// Processors is the number of processors of the machine and ProcessorShare the node's fraction of them. Their product
	// is compared between nodes of a zone to decide who gathers for others; 0 means unknown.
	Processors     float64 `yaml:"processors"`
	ProcessorShare float64 `yaml:"processor_share"`
}

// Listen has the node's listeners; each is an IP address and port.
type Listen struct {
	// Callers serves searches.
	Callers string `yaml:"callers"`
	// Front serves requests by the routing table; empty means off.
	Front string `yaml:"front"`
	// Ready serves the readiness of the front; empty means off.
	Ready string `yaml:"ready"`
	// Operators serves administration, metrics, health and profiles.
	Operators string `yaml:"operators"`
	// Peers serves other nodes, over UDP and TCP.
	Peers string `yaml:"peers"`
	// Tree serves groups of requests for other nodes; empty means off.
	Tree string `yaml:"tree"`
	// AdvertiseTree is the address of Tree announced to other nodes, if it differs.
	AdvertiseTree string `yaml:"advertise_tree"`
	// AdvertisePeers is the address of Peers announced to other nodes, if it differs.
	AdvertisePeers string `yaml:"advertise_peers"`
}

// Platform is the connection to the store and the machine list.
type Platform struct {
	// Address is the IP address and port of the store.
	Address string `yaml:"address"`
	// Dialect is the protocol of the platform, one of those the program was built with.
	Dialect string `yaml:"dialect"`
	// WatchWait is how long a watch call may wait before it returns without a change, in dialects with long polling.
	WatchWait time.Duration `yaml:"watch_wait"`
	// WatchPause is the pause after a watch call that returned changes, so that a burst arrives in few calls.
	WatchPause time.Duration `yaml:"watch_pause"`
	// StandbyWatchWait and StandbyWatchPause are the same for standby watchers. They are longer because each call of the
	// store has a price.
	StandbyWatchWait  time.Duration `yaml:"standby_watch_wait"`
	StandbyWatchPause time.Duration `yaml:"standby_watch_pause"`
}

// DefaultDialect is the product's own platform protocol.
const DefaultDialect = "grpc"

// Stop has the bounds of a planned stop.
type Stop struct {
	// DrainTimeout is how long requests in flight may take to finish.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// PrepareStopDelay is how long the node accepts new requests after it announced its stop.
	PrepareStopDelay time.Duration `yaml:"announce_delay"`
}

// Settings are all settings of a node.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Regions maps each zone to its region, for routes that are restricted to regions.
	Regions map[string]string `yaml:"regions"`
	// Seeds are peer addresses to join through, in addition to the machine list.
	Seeds []string `yaml:"seeds"`
	// LogLevel is debug, info, warn or error.
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
	DecisionLog     decisionlog.Config  `yaml:"decision_log"`

	// Quarantine decides which requests crash leafs.
	Quarantine quarantine.Config `yaml:"quarantine"`
	// QuarantineSync distributes quarantined requests to the other nodes and the store.
	QuarantineSync quarantinesync.Config `yaml:"quarantine_sync"`

	Rollouts rolloutcontrol.Config `yaml:"rollouts"`
	// Canary is the share of requests of a canary version.
	Canary canary.Config `yaml:"canary"`
	// RolloutVerdict decides whether a canary version is good.
	RolloutVerdict verdict.Config `yaml:"rollout_verdict"`
}

// Default returns the defaults.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:7400",
			Operators: "127.0.0.1:7401",
			Peers:     "127.0.0.1:7402",
		},
		Platform:        defaultPlatform(),
		LogLevel:        "info",
		Stop:            Stop{DrainTimeout: 30 * time.Second, PrepareStopDelay: 200 * time.Millisecond},
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
		DecisionLog:     decisionlog.DefaultConfig(),
		Quarantine:      quarantine.DefaultConfig(),
		QuarantineSync:  quarantinesync.DefaultConfig(),
		Rollouts:        rolloutcontrol.DefaultConfig(),
		Canary:          canary.DefaultConfig(),
		RolloutVerdict:  verdict.DefaultConfig(),
	}
}

// defaultPlatform bounds the delay of a change: a first watcher sees it within 0.3 s, a standby within 0.8 s, and pushes what
// has not been pushed half a second later. Together that is well within the 4 s in which a change must be in force.
func defaultPlatform() Platform {
	return Platform{
		Address: "127.0.0.1:7300", Dialect: DefaultDialect,
		WatchWait: 1500 * time.Millisecond, WatchPause: 300 * time.Millisecond,
		StandbyWatchWait: 3 * time.Second, StandbyWatchPause: 800 * time.Millisecond,
	}
}

// Validate returns all invalid fields.
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
	checks.Refuse(s.Node.ProcessorShare < 0, "node.processor_share", "must not be negative")
	requireAddress(&checks, "platform.address", s.Platform.Address)
	checks.Refuse(s.Platform.Dialect == "", "platform.dialect", "must not be empty")
	checks.Refuse(s.Platform.WatchWait <= 0, "platform.watch_wait", "must be positive")
	checks.Refuse(s.Platform.WatchPause < 0, "platform.watch_pause", "must not be negative")
	// Otherwise standby watchers would call the store although the first watcher of their zone is healthy.
	checks.Refuse(s.ConfigSync.LookAfter <= s.Platform.WatchWait, "config_sync.look_after", "must be longer than platform.watch_wait")
	checks.Refuse(s.Platform.StandbyWatchWait <= 0, "platform.standby_watch_wait", "must be positive")
	checks.Refuse(s.Platform.StandbyWatchPause < 0, "platform.standby_watch_pause", "must not be negative")
	for _, seed := range s.Seeds {
		requireAddress(&checks, "seeds", seed)
	}
	_, err := zapcore.ParseLevel(s.LogLevel)
	checks.Refuse(err != nil, "log_level", "%q; must be debug, info, warn or error", s.LogLevel)
	checks.Refuse(s.Stop.DrainTimeout <= 0, "stop.drain_timeout", "must be positive")
	checks.Refuse(s.Stop.PrepareStopDelay < 0, "stop.announce_delay", "must not be negative")
	checks.Add("search", s.Search.Validate())
	checks.Add("balancer", s.Balancer.Validate())
	checks.Add("hedging", s.Hedging.Validate())
	checks.Add("leaf_client", s.LeafClient.Validate())
	checks.Add("membership", s.Membership.Validate())
	checks.Add("config_sync", s.ConfigSync.Validate())
	checks.Add("config_writer", s.ConfigWriter.Validate())
	checks.Add("gateway", s.Gateway.Validate())
	checks.Add("serving_tree", s.ServingTree.Validate())
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

// requireAddress accepts only an IP address with a port; names are not resolved.
func requireAddress(checks *failure.Checks, field, address string) {
	_, err := netip.ParseAddrPort(address)
	checks.Refuse(err != nil, field, "%q; must be an IP address and port, such as 127.0.0.1:7400", address)
}

func requireAddressIfSet(checks *failure.Checks, field, address string) {
	if address != "" {
		requireAddress(checks, field, address)
	}
}
