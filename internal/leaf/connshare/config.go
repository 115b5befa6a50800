package connshare

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the allotments.
type Config struct {
	// Share is the fraction of a leaf's connection limit that all nodes together use.
	Share float64 `yaml:"share"`
	// ShareAfterStart replaces Share for a node that started less than StartSpan ago.
	ShareAfterStart float64 `yaml:"share_after_start"`
	// StartSpan is how long after its start a node uses ShareAfterStart.
	StartSpan time.Duration `yaml:"start_span"`
	// Unlimited is a node's maximum number of connections to a leaf for which operators set no limit.
	Unlimited int `yaml:"unlimited"`
	// Spare is the number of extra connections to a leaf that a node may open beyond its allotment.
	Spare int `yaml:"spare"`
}

// DefaultConfig returns settings that, after a start, reserve half of the used connections for those of crashed
// processes.
func DefaultConfig() Config {
	return Config{Share: 0.9, ShareAfterStart: 0.45, StartSpan: 10 * time.Second, Unlimited: 16, Spare: 1}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Share <= 0 || c.Share > 1, "share", "must be above 0 and at most 1")
	checks.Refuse(c.ShareAfterStart <= 0 || c.ShareAfterStart > c.Share, "share_after_start", "must be above 0 and at most share")
	checks.Refuse(c.StartSpan < 0, "start_span", "must not be negative")
	checks.Refuse(c.Unlimited < 1, "unlimited", "must be at least 1")
	checks.Refuse(c.Spare < 0, "spare", "must not be negative")
	return checks.Err()
}
