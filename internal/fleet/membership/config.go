package membership

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures failure detection within a zone. All nodes of a zone should use the same values.
type Config struct {
	// ProbeInterval is how often a node probes one other member.
	ProbeInterval time.Duration `yaml:"probe_interval"`
	// ProbeTimeout is how long a node waits for the answer to a direct probe before it asks other members to probe.
	ProbeTimeout time.Duration `yaml:"probe_timeout"`
	// IndirectProbes is how many other members a node asks to probe a member that did not answer.
	IndirectProbes int `yaml:"indirect_probes"`
	// SuspicionIntervals times the decimal logarithm of the zone's size is the number of probe intervals in which a
	// suspect can refute the suspicion.
	SuspicionIntervals float64 `yaml:"suspicion_intervals"`
	// UpdatesPerMessage bounds the member updates in one datagram.
	UpdatesPerMessage int `yaml:"rumours_per_message"`
	// RetransmitFactor times the decimal logarithm of the zone's size is how many times a node sends an update.
	RetransmitFactor int `yaml:"rumour_factor"`
	// KeepDead is how long dead members are kept in the list, so that old updates do not revive them.
	KeepDead time.Duration `yaml:"keep_dead"`
}

// DefaultConfig returns settings that keep control traffic under 1 KB/s regardless of the zone's size.
func DefaultConfig() Config {
	return Config{
		ProbeInterval:      time.Second,
		ProbeTimeout:       300 * time.Millisecond,
		IndirectProbes:     3,
		SuspicionIntervals: 5,
		UpdatesPerMessage:  5,
		RetransmitFactor:   4,
		KeepDead:           2 * time.Minute,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ProbeInterval <= 0, "probe_interval", "must be positive")
	checks.Refuse(c.ProbeTimeout <= 0 || 2*c.ProbeTimeout > c.ProbeInterval, "probe_timeout", "must be positive and at most half of probe_interval")
	checks.Refuse(c.IndirectProbes < 0, "indirect_probes", "must not be negative")
	checks.Refuse(c.SuspicionIntervals <= 0, "suspicion_intervals", "must be positive")
	checks.Refuse(c.UpdatesPerMessage < 1 || c.UpdatesPerMessage > 6, "rumours_per_message", "must be between 1 and 6")
	checks.Refuse(c.RetransmitFactor < 1, "rumour_factor", "must be at least 1")
	checks.Refuse(c.KeepDead <= 0, "keep_dead", "must be positive")
	return checks.Err()
}
