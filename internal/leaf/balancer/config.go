package balancer

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Method is how a replica is picked among the usable ones.
type Method string

// The methods.
const (
	// TwoChoices takes the better of two random replicas.
	TwoChoices Method = "two_choices"
	// Random takes any, whatever is known of them; the baseline of experiments.
	Random Method = "random"
)

// Config tunes replica choice.
type Config struct {
	// Method is how a replica is picked.
	Method Method `yaml:"method"`
	// EjectAfter is how many attempts in a row must fail before a leaf is ejected.
	EjectAfter int `yaml:"eject_after"`
	// EjectFor is how long an ejected leaf waits before its next trial.
	EjectFor time.Duration `yaml:"eject_for"`
	// SlowFactor ejects a leaf whose typical latency is this many times its peers'.
	SlowFactor float64 `yaml:"slow_factor"`
	// WarmUp is how long a new or returned leaf takes to reach its full share.
	WarmUp time.Duration `yaml:"warm_up"`
	// LoadAge is how long a load report counts.
	LoadAge time.Duration `yaml:"load_age"`
	// InFlightLimit is the most attempts one node has at one leaf at once.
	InFlightLimit int `yaml:"in_flight_limit"`
	// ForgetDrain is how long a leaf stays out of use after its own word that it drains,
	// unless it repeats it.
	ForgetDrain time.Duration `yaml:"forget_drain"`
}

// DefaultConfig suits leafs that answer within tens of milliseconds.
func DefaultConfig() Config {
	return Config{
		Method:        TwoChoices,
		EjectAfter:    5,
		EjectFor:      2 * time.Second,
		SlowFactor:    4,
		WarmUp:        3 * time.Second,
		LoadAge:       time.Second,
		InFlightLimit: 256,
		ForgetDrain:   30 * time.Second,
	}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Method != TwoChoices && c.Method != Random, "method", "%q; must be %q or %q", c.Method, TwoChoices, Random)
	checks.Refuse(c.EjectAfter < 1, "eject_after", "must be at least 1")
	checks.Refuse(c.EjectFor <= 0, "eject_for", "must be positive")
	checks.Refuse(c.SlowFactor <= 1, "slow_factor", "must be greater than 1")
	checks.Refuse(c.WarmUp < 0, "warm_up", "must not be negative")
	checks.Refuse(c.LoadAge <= 0, "load_age", "must be positive")
	checks.Refuse(c.InFlightLimit < 1, "in_flight_limit", "must be at least 1")
	checks.Refuse(c.ForgetDrain <= 0, "forget_drain", "must be positive")
	return checks.Err()
}
