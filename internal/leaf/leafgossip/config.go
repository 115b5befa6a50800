package leafgossip

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Config limits the observations of leafs that a node sends to other nodes.
type Config struct {
	// FanOut is the number of random nodes to which each batch is sent; 0 disables sending.
	FanOut int `yaml:"fanout"`
	// BatchDelay is how long an observation waits for other observations to be sent in the same batch.
	BatchDelay time.Duration `yaml:"batch_delay"`
	// BytesPerSecond is the maximum rate of sending, including headers. Batches beyond it are dropped, since they would
	// be outdated by the time they could be sent.
	BytesPerSecond int `yaml:"bytes_per_second"`
	// BurstBytes is the maximum amount that may be sent at once after an idle period.
	BurstBytes int `yaml:"burst_bytes"`
}

// DefaultConfig returns settings that use a quarter of the 2 KB per second that a node may send as control messages.
// The rest is left for membership and configuration.
func DefaultConfig() Config {
	return Config{FanOut: 8, BatchDelay: 15 * time.Millisecond, BytesPerSecond: 500, BurstBytes: 16000}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.FanOut < 0, "fanout", "must not be negative")
	checks.Refuse(c.BatchDelay < 0, "batch_delay", "must not be negative")
	checks.Refuse(c.BytesPerSecond < 1, "bytes_per_second", "must be positive")
	checks.Refuse(c.BurstBytes < peer.MaxDatagram, "burst_bytes", "must be at least %d, the maximum size of a datagram", peer.MaxDatagram)
	return checks.Err()
}
