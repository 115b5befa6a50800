package retrybudget

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config is the limit for the whole fleet.
type Config struct {
	// Ratio is the number of hedges and retries per request that the fleet may send; nodes use only
	// UsedFraction of it.
	Ratio float64 `yaml:"ratio"`
	// Window is the time over which requests, hedges and retries are counted.
	Window time.Duration `yaml:"window"`
	// Allowance is the number of hedges and retries that the whole fleet may send per window in addition to the ratio;
	// nodes use only UsedFraction of it.
	Allowance float64 `yaml:"allowance"`
	// UsedFraction is the fraction of the limit that the nodes use; the rest covers what a node can't observe, such as
	// restarts of other nodes.
	UsedFraction float64 `yaml:"share"`
}

// DefaultConfig returns the default configuration. It allows 8.5 repeats per 100 requests (Ratio times UsedFraction),
// plus 17 per Window for the fleet (Allowance times UsedFraction).
func DefaultConfig() Config {
	return Config{Ratio: 0.1, Window: 10 * time.Second, Allowance: 20, UsedFraction: 0.85}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Ratio < 0 || c.Ratio > 1, "ratio", "must be between 0 and 1")
	checks.Refuse(c.Window < time.Second, "window", "must be at least 1s")
	checks.Refuse(c.Allowance < 0, "allowance", "must not be negative")
	checks.Refuse(c.UsedFraction <= 0 || c.UsedFraction > 1, "share", "must be above 0 and at most 1")
	return checks.Err()
}
