package balancer

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Method selects how a replica is chosen among the usable ones.
type Method string

// Replica choice methods.
const (
	// TwoChoices compares replicas by expected delay or cost; see Balancer.Choose.
	TwoChoices Method = "two_choices"
	// Random chooses a usable replica at random, as a baseline for comparisons.
	Random Method = "random"
)

// Config tunes replica choice.
type Config struct {
	// Method is how a replica is chosen.
	Method Method `yaml:"method"`
	// EjectAfter is the number of consecutive failed attempts after which a leaf is ejected.
	EjectAfter int `yaml:"eject_after"`
	// EjectFor is how long an ejected leaf waits before its next probe.
	EjectFor time.Duration `yaml:"eject_for"`
	// SlowFactor is the maximum latency at which a replica is chosen, as a multiple of the fastest replica's latency.
	SlowFactor float64 `yaml:"slow_factor"`
	// WarmUp is the time over which the load of a new or readmitted leaf is raised to its full share.
	WarmUp time.Duration `yaml:"warm_up"`
	// LoadAge is how long a load report is used after it was received.
	LoadAge time.Duration `yaml:"load_age"`
	// InFlightLimit is the maximum number of attempts that one node may have in flight at one leaf.
	InFlightLimit int `yaml:"in_flight_limit"`
	// ForgetDrain is how long a leaf stays out of use after it last reported that it is draining.
	ForgetDrain time.Duration `yaml:"forget_drain"`
}

// DefaultConfig returns settings for leafs that answer within tens of milliseconds.
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

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Method != TwoChoices && c.Method != Random, "method", "%q is invalid; must be %q or %q", c.Method, TwoChoices, Random)
	checks.Refuse(c.EjectAfter < 1, "eject_after", "must be at least 1")
	checks.Refuse(c.EjectFor <= 0, "eject_for", "must be positive")
	checks.Refuse(c.SlowFactor <= 1, "slow_factor", "must be greater than 1")
	checks.Refuse(c.WarmUp < 0, "warm_up", "must not be negative")
	checks.Refuse(c.LoadAge <= 0, "load_age", "must be positive")
	checks.Refuse(c.InFlightLimit < 1, "in_flight_limit", "must be at least 1")
	checks.Refuse(c.ForgetDrain <= 0, "forget_drain", "must be positive")
	return checks.Err()
}
