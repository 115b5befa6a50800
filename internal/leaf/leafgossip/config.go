package leafgossip

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Config limits what a node sends to others about leafs.
type Config struct {
	// Fanout is how many random nodes get each batch; 0 disables sending.
	Fanout int `yaml:"fanout"`
	// BatchDelay is how long an observation waits for others to be sent with it.
	BatchDelay time.Duration `yaml:"batch_delay"`
	// BytesPerSecond is the maximum rate of sending, including headers. Anything beyond is dropped: it would
	// be outdated by the time it could be sent.
	BytesPerSecond int `yaml:"bytes_per_second"`
	// BurstBytes is how much may be sent at once after an idle time.
	BurstBytes int `yaml:"burst_bytes"`
}

// DefaultConfig leaves three quarters of the 2 KB a second that a node may use for control messages to membership and
// configuration.
func DefaultConfig() Config {
	return Config{Fanout: 8, BatchDelay: 15 * time.Millisecond, BytesPerSecond: 500, BurstBytes: 16000}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Fanout < 0, "fanout", "must not be negative")
	checks.Refuse(c.BatchDelay < 0, "batch_delay", "must not be negative")
	checks.Refuse(c.BytesPerSecond < 1, "bytes_per_second", "must be positive")
	checks.Refuse(c.BurstBytes < peer.MaximumDatagram, "burst_bytes", "must be at least %d, a whole datagram", peer.MaximumDatagram)
	return checks.Err()
}
