package reachability

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// maxNodes bounds the nodes that one check pings.
const maxNodes = 64

// Config configures how soon a zone counts as lost, and how soon it is reachable again.
type Config struct {
	// Enabled lets the node treat zones as lost.
	Enabled bool `yaml:"enabled"`
	// FirstWait is how long the first two nodes of a zone have to answer a check.
	FirstWait time.Duration `yaml:"first_wait"`
	// Wait is how long the other nodes of a check have to answer; a zone with longer round trips gets twice its
	// longest.
	Wait time.Duration `yaml:"wait"`
	// LeastNodes is how many different nodes of a zone must leave a check unanswered.
	LeastNodes int `yaml:"least_nodes"`
	// Pause is how long a zone is not checked again after a check.
	Pause time.Duration `yaml:"pause"`
	// ProbeInterval is how often one node of a lost zone is pinged.
	ProbeInterval time.Duration `yaml:"probe_interval"`
	// Fanout is how many nodes of the own zone are notified of a lost zone.
	Fanout int `yaml:"fanout"`
}

// DefaultConfig suits zones within a region or near each other, with round trips of a few milliseconds; longer
// ones are learnt.
func DefaultConfig() Config {
	return Config{
		Enabled:       true,
		FirstWait:     20 * time.Millisecond,
		Wait:          50 * time.Millisecond,
		LeastNodes:    4,
		Pause:         500 * time.Millisecond,
		ProbeInterval: 250 * time.Millisecond,
		Fanout:        4,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.FirstWait <= 0, "first_wait", "must be positive")
	checks.Refuse(c.Wait <= 0 || c.Wait > answerLimit, "wait", "must be positive and at most %s", answerLimit)
	checks.Refuse(c.LeastNodes < 2 || c.LeastNodes > maxNodes, "least_nodes", "must be at least 2 and at most %d", maxNodes)
	checks.Refuse(c.Pause < 0, "pause", "must not be negative")
	checks.Refuse(c.ProbeInterval <= 0, "probe_interval", "must be positive")
	checks.Refuse(c.Fanout < 0 || c.Fanout > maxNodes, "fanout", "must be at least 0 and at most %d", maxNodes)
	return checks.Err()
}
