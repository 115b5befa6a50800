package hedging

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the hedges and retries of searches.
type Config struct {
	// Quantile is the quantile of recent attempt latencies, in percent, after which a hedge is sent.
	Quantile float64 `yaml:"quantile"`
	// Window is the minimum time for which a latency sample counts; the maximum is twice that.
	Window time.Duration `yaml:"window"`
	// MinimumDelay is the minimum delay of a hedge.
	MinimumDelay time.Duration `yaml:"minimum_delay"`
	// MaximumStages is the maximum number of hedges per shard of a search.
	MaximumStages int `yaml:"maximum_stages"`
	// RetryPerMille is the maximum number of retries after failures per 1,000 first attempts.
	RetryPerMille uint32 `yaml:"retry_per_mille"`
	// Burst is the maximum number of unused hedges, and of unused retries, that a service accumulates.
	Burst int `yaml:"burst"`
	// ShedPause is the time without hedges after a leaf of the service shed load.
	ShedPause time.Duration `yaml:"shed_pause"`
}

// DefaultHedgePerMille is the hedge budget, per 1,000 first attempts, of a service that sets none.
const DefaultHedgePerMille = 20

// DefaultConfig returns the default configuration. With it and DefaultHedgePerMille, hedges add about 2% of load.
func DefaultConfig() Config {
	return Config{
		Quantile:      98.3,
		Window:        5 * time.Second,
		MinimumDelay:  time.Millisecond,
		MaximumStages: 2,
		RetryPerMille: 100,
		Burst:         64,
		ShedPause:     time.Second,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Quantile < 50 || c.Quantile >= 100, "quantile", "must be at least 50 and below 100")
	checks.Refuse(c.Window <= 0, "window", "must be positive")
	checks.Refuse(c.MinimumDelay < 0, "minimum_delay", "must not be negative")
	checks.Refuse(c.MaximumStages < 0 || c.MaximumStages > 4, "maximum_stages", "must be between 0 and 4")
	checks.Refuse(c.RetryPerMille > 1000, "retry_per_mille", "must be at most 1000")
	checks.Refuse(c.Burst < 1, "burst", "must be at least 1")
	checks.Refuse(c.ShedPause < 0, "shed_pause", "must not be negative")
	return checks.Err()
}
