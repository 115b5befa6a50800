package leafgossip

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Config bounds what a node tells others of leafs.
type Config struct {
	// Fanout is how many random nodes are told of each batch; 0 turns telling off.
	Fanout int `yaml:"fanout"`
	// BatchDelay is how long an observation waits for others.
	BatchDelay time.Duration `yaml:"batch_delay"`
	// BytesPerSecond bounds what is sent, headers included. What is beyond is dropped: it would
	// be old by the time it could be sent.
	BytesPerSecond int `yaml:"bytes_per_second"`
	// BurstBytes may be sent at once after a quiet time.
	BurstBytes int `yaml:"burst_bytes"`
}

// DefaultConfig leaves membership and configuration three quarters of the 2 KB a second that a node
// may spend for control.
func DefaultConfig() Config {
	return Config{Fanout: 8, BatchDelay: 15 * time.Millisecond, BytesPerSecond: 500, BurstBytes: 16000}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Fanout < 0, "fanout", "must not be negative")
	checks.Refuse(c.BatchDelay < 0, "batch_delay", "must not be negative")
	checks.Refuse(c.BytesPerSecond < 1, "bytes_per_second", "must be positive")
	checks.Refuse(c.BurstBytes < peer.MaximumDatagram, "burst_bytes", "must be at least %d, a whole datagram", peer.MaximumDatagram)
	return checks.Err()
}
