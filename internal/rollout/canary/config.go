// Package canary decides for one node which requests of a service go to the leafs of a version on trial.
//
// A version that is not yet found good gets a bounded share of the requests. Each node keeps the bound by its own
// requests, without messages. When the version was found good, each node moves all of its requests there within a
// short while, and can tell when it has nothing more with the version that served before.
package canary

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes the share of a version on trial.
type Config struct {
	// Share is the part of a service's requests that a version not yet found good may get.
	Share float64 `yaml:"share"`
	// Slack is how many requests of a service it may get beyond that during one order, in the whole fleet.
	Slack float64 `yaml:"slack"`
	// Used is the part of both that is used; the rest covers what nodes can't see.
	Used float64 `yaml:"used"`
	// Ramp is how long a node takes to move its requests to a version that was found good; for short orders it is less.
	Ramp time.Duration `yaml:"ramp"`
	// ConfirmedWithin is how old the last word that the configuration is the newest may be for a node to go beyond
	// the share.
	ConfirmedWithin time.Duration `yaml:"confirmed_within"`
}

// DefaultConfig gives a version on trial a tenth of the requests. Of the ages of the configuration that 87 nodes
// logged on a calm day of one fleet 99 in 100 were below 3.7 s and the highest was 5.2 s, so that a node that is well
// does not lapse. The other figures are not measured yet.
func DefaultConfig() Config {
	return Config{Share: 0.1, Used: 0.8, Ramp: 2 * time.Second, ConfirmedWithin: 6 * time.Second}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(!(c.Share >= 0 && c.Share <= 1), "share", "must be between 0 and 1")
	checks.Refuse(!(c.Slack >= 0), "slack", "must not be negative")
	checks.Refuse(!(c.Used > 0 && c.Used <= 1), "used", "must be above 0 and at most 1")
	checks.Refuse(c.Ramp < 0, "ramp", "must not be negative")
	checks.Refuse(c.ConfirmedWithin <= 0, "confirmed_within", "must be positive")
	return checks.Err()
}
