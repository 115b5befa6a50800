package leafmemory

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures which lost leafs are used and when the list of leafs is stored.
type Config struct {
	// Retention is how long a lost or draining leaf may still get requests if its service has no ready leaf. It must be
	// shorter than the time after which such a leaf must not get requests.
	Retention time.Duration `yaml:"hold"`
	// StoredListAfterStart is how long after its start a node uses the stored list of leafs.
	StoredListAfterStart time.Duration `yaml:"trust_after_start"`
	// WriteDelay is how long the leafs must remain unchanged before the list is stored.
	WriteDelay time.Duration `yaml:"write_delay"`
	// MaximumLeafs is the maximum number of leafs in a stored list. A longer list is not stored.
	MaximumLeafs int `yaml:"maximum_leafs"`
}

// DefaultConfig returns settings that keep lost leafs usable for two seconds.
func DefaultConfig() Config {
	return Config{Retention: 2 * time.Second, StoredListAfterStart: 2500 * time.Millisecond, WriteDelay: 2 * time.Second, MaximumLeafs: 2000}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Retention < 0, "hold", "must not be negative")
	checks.Refuse(c.StoredListAfterStart < 0, "trust_after_start", "must not be negative")
	checks.Refuse(c.WriteDelay <= 0, "write_delay", "must be positive")
	checks.Refuse(c.MaximumLeafs < 0, "maximum_leafs", "must not be negative")
	return checks.Err()
}
