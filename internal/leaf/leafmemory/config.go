package leafmemory

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes which lost leafs are used, and when the list is stored.
type Config struct {
	// Retention is how long a leaf that is lost or drains may still be asked if its service has no
	// other. It must be below the time after which such a leaf must get no requests.
	Retention time.Duration `yaml:"hold"`
	// TrustAfterStart is how long after its start a node uses the stored list.
	TrustAfterStart time.Duration `yaml:"trust_after_start"`
	// WriteDelay is how long the leafs must be unchanged before the list is stored.
	WriteDelay time.Duration `yaml:"write_delay"`
	// MaximumLeafs is the number of leafs up to which a list is stored.
	MaximumLeafs int `yaml:"maximum_leafs"`
}

// DefaultConfig keeps lost leafs usable for two seconds.
func DefaultConfig() Config {
	return Config{Retention: 2 * time.Second, TrustAfterStart: 2500 * time.Millisecond, WriteDelay: 2 * time.Second, MaximumLeafs: 2000}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Retention < 0, "hold", "must not be negative")
	checks.Refuse(c.TrustAfterStart < 0, "trust_after_start", "must not be negative")
	checks.Refuse(c.WriteDelay <= 0, "write_delay", "must be positive")
	checks.Refuse(c.MaximumLeafs < 0, "maximum_leafs", "must not be negative")
	return checks.Err()
}
