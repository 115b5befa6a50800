// Package settings reads and checks the settings of a node.
//
// Settings come from one YAML file. Any of them can be overridden by an environment variable
// (PORTGAUGE_SEARCH_MERGE_RESERVE for search.merge_reserve) or a flag (--set
// search.merge_reserve=2ms), the flag winning. Unknown fields are refused, and all faults are
// named at once.
package settings

import (
	"net/netip"
	"time"

	"go.uber.org/zap/zapcore"

	"github.com/portgauge/portgauge/internal/balancer"
	"github.com/portgauge/portgauge/internal/configsync"
	"github.com/portgauge/portgauge/internal/configwriter"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/hedging"
	"github.com/portgauge/portgauge/internal/leafclient"
	"github.com/portgauge/portgauge/internal/membership"
	"github.com/portgauge/portgauge/internal/search"
)

// Node is who the node is.
type Node struct {
	// ID is unique in the fleet; empty means one is made from zone and peer address.
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
}

// Listen is where the node listens; each is an IP number and port.
type Listen struct {
	// Callers serves searches.
	Callers string `yaml:"callers"`
	// Operators serves administration, metrics, health and profiles.
	Operators string `yaml:"operators"`
	// Peers serves other nodes, over UDP and TCP.
	Peers string `yaml:"peers"`
	// AdvertisePeers is the peer address told to others, where it differs.
	AdvertisePeers string `yaml:"advertise_peers"`
}

// Platform is where the store and machine list are.
type Platform struct {
	Address string `yaml:"address"`
}

// Stop bounds a planned stop.
type Stop struct {
	// DrainTimeout is how long searches in flight may take to end.
	DrainTimeout time.Duration `yaml:"drain_timeout"`
	// AnnounceDelay is how long the node still takes searches after it announced its stop.
	AnnounceDelay time.Duration `yaml:"announce_delay"`
}

// Settings is everything a node is told at its start.
type Settings struct {
	Node     Node     `yaml:"node"`
	Listen   Listen   `yaml:"listen"`
	Platform Platform `yaml:"platform"`
	// Seeds are peer addresses to join through, besides the machine list.
	Seeds    []string `yaml:"seeds"`
	LogLevel string   `yaml:"log_level"`
	Stop     Stop     `yaml:"stop"`

	Search       search.Config       `yaml:"search"`
	Balancer     balancer.Config     `yaml:"balancer"`
	Hedging      hedging.Config      `yaml:"hedging"`
	LeafClient   leafclient.Config   `yaml:"leaf_client"`
	Membership   membership.Config   `yaml:"membership"`
	ConfigSync   configsync.Config   `yaml:"config_sync"`
	ConfigWriter configwriter.Config `yaml:"config_writer"`
}

// Default gives the settings that hold where none are given.
func Default() Settings {
	return Settings{
		Listen: Listen{
			Callers:   "127.0.0.1:7400",
			Operators: "127.0.0.1:7401",
			Peers:     "127.0.0.1:7402",
		},
		Platform:     Platform{Address: "127.0.0.1:7300"},
		LogLevel:     "info",
		Stop:         Stop{DrainTimeout: 30 * time.Second, AnnounceDelay: 200 * time.Millisecond},
		Search:       search.DefaultConfig(),
		Balancer:     balancer.DefaultConfig(),
		Hedging:      hedging.DefaultConfig(),
		LeafClient:   leafclient.DefaultConfig(),
		Membership:   membership.DefaultConfig(),
		ConfigSync:   configsync.DefaultConfig(),
		ConfigWriter: configwriter.DefaultConfig(),
	}
}

// Validate names every field at fault.
func (s Settings) Validate() error {
	var checks failure.Checks
	checks.Refuse(s.Node.Zone == "", "node.zone", "must not be empty")
	requireAddress(&checks, "listen.callers", s.Listen.Callers)
	requireAddress(&checks, "listen.operators", s.Listen.Operators)
	requireAddress(&checks, "listen.peers", s.Listen.Peers)
	if s.Listen.AdvertisePeers != "" {
		requireAddress(&checks, "listen.advertise_peers", s.Listen.AdvertisePeers)
	}
	requireAddress(&checks, "platform.address", s.Platform.Address)
	for _, seed := range s.Seeds {
		requireAddress(&checks, "seeds", seed)
	}
	_, err := zapcore.ParseLevel(s.LogLevel)
	checks.Refuse(err != nil, "log_level", "%q; must be debug, info, warn or error", s.LogLevel)
	checks.Refuse(s.Stop.DrainTimeout <= 0, "stop.drain_timeout", "must be positive")
	checks.Refuse(s.Stop.AnnounceDelay < 0, "stop.announce_delay", "must not be negative")
	checks.Add("search", s.Search.Validate())
	checks.Add("balancer", s.Balancer.Validate())
	checks.Add("hedging", s.Hedging.Validate())
	checks.Add("leaf_client", s.LeafClient.Validate())
	checks.Add("membership", s.Membership.Validate())
	checks.Add("config_sync", s.ConfigSync.Validate())
	checks.Add("config_writer", s.ConfigWriter.Validate())
	return checks.Err()
}

// requireAddress refuses anything but an IP number with a port; names are not resolved.
func requireAddress(checks *failure.Checks, field, address string) {
	_, err := netip.ParseAddrPort(address)
	checks.Refuse(err != nil, field, "%q; must be an IP number and port, such as 127.0.0.1:7400", address)
}
