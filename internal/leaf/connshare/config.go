package connshare

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the allotments.
type Config struct {
	// Fraction is the fraction of a leaf's connection limit that all nodes together use.
	Fraction float64 `yaml:"share"`
	// FractionAfterStart replaces Fraction for a node that started less than StartSpan ago.
	FractionAfterStart float64 `yaml:"share_after_start"`
	// StartSpan is how long after its start a node uses FractionAfterStart.
	StartSpan time.Duration `yaml:"start_span"`
	// Unlimited is a node's maximum number of connections to a leaf for which operators set no limit.
	Unlimited int `yaml:"unlimited"`
	// Extra is the number of extra connections to a leaf that a node may open beyond its allotment.
	Extra int `yaml:"spare"`
}

// DefaultConfig returns settings with which a node that started recently uses half of its later share, because the
// connections of its crashed predecessor may still be open.
func DefaultConfig() Config {
	return Config{Fraction: 0.9, FractionAfterStart: 0.45, StartSpan: 10 * time.Second, Unlimited: 16, Extra: 1}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Fraction <= 0 || c.Fraction > 1, "share", "must be above 0 and at most 1")
	checks.Refuse(c.FractionAfterStart <= 0 || c.FractionAfterStart > c.Fraction, "share_after_start", "must be above 0 and at most share")
	checks.Refuse(c.StartSpan < 0, "start_span", "must not be negative")
	checks.Refuse(c.Unlimited < 1, "unlimited", "must be at least 1")
	checks.Refuse(c.Extra < 0, "spare", "must not be negative")
	return checks.Err()
}
