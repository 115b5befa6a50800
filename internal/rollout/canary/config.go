// Package canary decides, for one node, which requests of a service go to the leafs of a canary version.
//
// Until a canary version has passed evaluation it receives a bounded share of the requests. Each node enforces the
// bound by counting its own requests, without messages. After the version has passed, each node moves all of its
// requests to it within a short ramp, and reports when it has no attempt in flight at the previous version.
//
// A Splitter owns the counts of the specs in force and the attempts in flight. It starts no goroutine. It depends on
// the catalog for rules and specs, on the registered nodes for this node's share of the slack, and on a clock that
// includes suspensions of the machine.
package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config sets the share of requests for a canary version.
type Config struct {
	// Share is the fraction of a service's requests, 0 to 1, that a canary version may receive before it has passed
	// evaluation.
	Share float64 `yaml:"share"`
	// Slack is the number of requests of a service that the canary version may receive beyond the share during one
	// rollout, over the whole fleet.
	Slack float64 `yaml:"slack"`
	// UsedFraction is the fraction of both bounds that the nodes use, 0 to 1. The rest is a margin for what a node
	// cannot count.
	UsedFraction float64 `yaml:"used"`
	// Ramp is how long a node takes to move its requests to a version that has passed evaluation. It is shorter for
	// rollouts of short duration.
	Ramp time.Duration `yaml:"ramp"`
	// ConfirmedWithin is the maximum time since the configuration was last confirmed as the newest. A node whose
	// configuration is older does not exceed the share.
	ConfirmedWithin time.Duration `yaml:"confirmed_within"`
}

// DefaultConfig sends a tenth of the requests to a canary version. ConfirmedWithin exceeds the age of the configuration
// at a healthy node, so that the ramp is not interrupted there.
func DefaultConfig() Config {
	return Config{Share: 0.1, UsedFraction: 0.8, Ramp: 2 * time.Second, ConfirmedWithin: 6 * time.Second}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(!(c.Share >= 0 && c.Share <= 1), "share", "must be between 0 and 1")
	checks.Refuse(!(c.Slack >= 0), "slack", "must not be negative")
	checks.Refuse(!(c.UsedFraction > 0 && c.UsedFraction <= 1), "used", "must be above 0 and at most 1")
	checks.Refuse(c.Ramp < 0, "ramp", "must not be negative")
	checks.Refuse(c.ConfirmedWithin <= 0, "confirmed_within", "must be positive")
	return checks.Err()
}
