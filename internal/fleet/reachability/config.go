package reachability

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// maxNodes bounds the nodes that one check pings.
const maxNodes = 64

// Config configures how soon a zone counts as lost, and how soon it counts as reachable again.
type Config struct {
	// Enabled enables the detection of lost zones.
	Enabled bool `yaml:"enabled"`
	// FirstWait is how long a check waits for an answer from the first two nodes of a zone.
	FirstWait time.Duration `yaml:"first_wait"`
	// Wait is how long a check then waits for an answer from the other nodes. Both waits are extended to twice the
	// zone's longest round trip.
	Wait time.Duration `yaml:"wait"`
	// MinNodes is how many different nodes of a zone must not answer before the zone counts as lost.
	MinNodes int `yaml:"least_nodes"`
	// Pause is the minimum time between two checks of a zone.
	Pause time.Duration `yaml:"pause"`
	// PingInterval is the interval between pings to a lost zone.
	PingInterval time.Duration `yaml:"probe_interval"`
	// FanOut is how many nodes of its own zone a node notifies of a lost zone.
	FanOut int `yaml:"fanout"`
}

// DefaultConfig returns settings for zones within a region or near each other, with round trips of a few milliseconds.
// Checks adapt to longer round trips.
func DefaultConfig() Config {
	return Config{
		Enabled:      true,
		FirstWait:    20 * time.Millisecond,
		Wait:         50 * time.Millisecond,
		MinNodes:     4,
		Pause:        500 * time.Millisecond,
		PingInterval: 250 * time.Millisecond,
		FanOut:       4,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.FirstWait <= 0, "first_wait", "must be positive")
	checks.Refuse(c.Wait <= 0 || c.Wait > answerLimit, "wait", "must be positive and at most %s", answerLimit)
	checks.Refuse(c.MinNodes < 2 || c.MinNodes > maxNodes, "least_nodes", "must be at least 2 and at most %d", maxNodes)
	checks.Refuse(c.Pause < 0, "pause", "must not be negative")
	checks.Refuse(c.PingInterval <= 0, "probe_interval", "must be positive")
	checks.Refuse(c.FanOut < 0 || c.FanOut > maxNodes, "fanout", "must be at least 0 and at most %d", maxNodes)
	return checks.Err()
}
