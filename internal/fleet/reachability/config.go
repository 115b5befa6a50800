package reachability

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes how soon a zone is held for out of reach, and how soon for back.
type Config struct {
	// Enabled lets the node hold zones for out of reach.
	Enabled bool `yaml:"enabled"`
	// FirstWait is how long the first two nodes of a zone have to answer once one of it was silent.
	FirstWait time.Duration `yaml:"first_wait"`
	// Wait is how long the other nodes of a look have then; a zone whose nodes were seen to take longer
	// gets twice what they took.
	Wait time.Duration `yaml:"wait"`
	// LeastNodes is how many distinct nodes of a zone must leave a look unanswered.
	LeastNodes int `yaml:"least_nodes"`
	// Pause is how long a zone that was found in reach is not looked at again.
	Pause time.Duration `yaml:"pause"`
	// ProbeInterval is how often one node of a lost zone is asked whether it is back.
	ProbeInterval time.Duration `yaml:"probe_interval"`
	// Fanout is how many nodes of the own zone are told of a lost one.
	Fanout int `yaml:"fanout"`
}

// DefaultConfig suits zones of one region or near ones: answers of small nodes take a few milliseconds
// there, and longer ways are learnt. None of the figures is tuned.
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

// mostNodes bounds the nodes that one look asks.
const mostNodes = 64

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.FirstWait <= 0, "first_wait", "must be positive")
	checks.Refuse(c.Wait <= 0 || c.Wait > answerLimit, "wait", "must be positive and at most %s", answerLimit)
	checks.Refuse(c.LeastNodes < 2 || c.LeastNodes > mostNodes, "least_nodes", "must be at least 2 and at most %d", mostNodes)
	checks.Refuse(c.Pause < 0, "pause", "must not be negative")
	checks.Refuse(c.ProbeInterval <= 0, "probe_interval", "must be positive")
	checks.Refuse(c.Fanout < 0 || c.Fanout > mostNodes, "fanout", "must be at least 0 and at most %d", mostNodes)
	return checks.Err()
}
