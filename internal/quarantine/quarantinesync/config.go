// Package quarantinesync carries what package quarantine finds out to the other nodes and to the store.
//
// Evidence that is not enough goes by datagram to three nodes, picked by rendezvous hash for the request, which add up what
// all nodes saw: a request that must run only once ends one leaf at each node that it comes to. A request under quarantine
// is told of to all nodes by datagram, at once, and written to the store, by which it reaches those that the datagram did
// not, that were cut off or start later. While the store does not take it, the node that found it, or one of three others,
// goes on writing and telling.
package quarantinesync

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config tunes how findings are carried.
type Config struct {
	// ReportDelay is how long evidence waits for an answer that takes it back; RepeatDelay is when it is told again, since
	// a datagram may be lost.
	ReportDelay time.Duration `yaml:"report_delay"`
	RepeatDelay time.Duration `yaml:"repeat_delay"`
	// SaveInterval is how often a record that the store does not have is written and, in fleets of up to 45 nodes, told of
	// again.
	SaveInterval time.Duration `yaml:"save_interval"`
	// TakeoverPause is how long after the node that found a record each of the others writes it.
	TakeoverPause time.Duration `yaml:"takeover_pause"`
	// CallTimeout bounds a call of the store.
	CallTimeout time.Duration `yaml:"call_timeout"`
}

// DefaultConfig has a request refused everywhere within two ways of a datagram, and kept by the store within a second.
func DefaultConfig() Config {
	return Config{
		ReportDelay: 20 * time.Millisecond, RepeatDelay: 300 * time.Millisecond, SaveInterval: 500 * time.Millisecond,
		TakeoverPause: time.Second, CallTimeout: time.Second,
	}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ReportDelay <= 0, "report_delay", "must be positive")
	checks.Refuse(c.RepeatDelay <= 0, "repeat_delay", "must be positive")
	checks.Refuse(c.SaveInterval <= 0, "save_interval", "must be positive")
	checks.Refuse(c.TakeoverPause <= 0, "takeover_pause", "must be positive")
	checks.Refuse(c.CallTimeout <= 0, "call_timeout", "must be positive")
	return checks.Err()
}
