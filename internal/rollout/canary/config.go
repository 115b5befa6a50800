// Package canary decides, for one node, which requests of a service go to the leafs of a canary version.
//
// A version that is not yet found good gets a bounded share of the requests. Each node keeps the bound by counting
// its own requests, without messages. Once the version was found good, each node moves all of its requests to it
// within a short ramp, and reports when it has nothing in flight at the version that served before.
//
// A Splitter owns the counts of the specs in force and the attempts in flight; it starts no goroutine. It relies on
// the catalog for rules and specs, on the list of the fleet's nodes for its share of the slack, and on a clock that counts
// suspended time.
package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config sets the share of requests for a canary version.
type Config struct {
	// Share is the part of a service's requests, 0 to 1, that a version not yet found good may get.
	Share float64 `yaml:"share"`
	// Slack is the number of requests of a service that it may get beyond the share during one spec, over the whole
	// fleet.
	Slack float64 `yaml:"slack"`
	// Used is the part of both bounds that is used, 0 to 1; the rest covers what nodes cannot see.
	Used float64 `yaml:"used"`
	// Ramp is how long a node takes to move its requests to a version that was found good; shorter for short specs.
	Ramp time.Duration `yaml:"ramp"`
	// ConfirmedWithin is the longest time since the configuration was last confirmed as the newest for which a node
	// goes beyond the share.
	ConfirmedWithin time.Duration `yaml:"confirmed_within"`
}

// DefaultConfig gives a canary version a tenth of the requests. ConfirmedWithin lies above the age of the
// configuration at a healthy node, so that the move of the requests does not lapse there.
func DefaultConfig() Config {
	return Config{Share: 0.1, Used: 0.8, Ramp: 2 * time.Second, ConfirmedWithin: 6 * time.Second}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(!(c.Share >= 0 && c.Share <= 1), "share", "must be between 0 and 1")
	checks.Refuse(!(c.Slack >= 0), "slack", "must not be negative")
	checks.Refuse(!(c.Used > 0 && c.Used <= 1), "used", "must be above 0 and at most 1")
	checks.Refuse(c.Ramp < 0, "ramp", "must not be negative")
	checks.Refuse(c.ConfirmedWithin <= 0, "confirmed_within", "must be positive")
	return checks.Err()
}
