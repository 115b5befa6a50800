// Package quarantinesync carries the findings of package quarantine to the other nodes and to the store.
//
// Evidence that is not enough goes by datagram to three nodes, chosen by rendezvous hash for the request, which add
// up what all nodes saw: a request that must run only once crashes one leaf at each node that it arrives at. A
// request under quarantine is announced to all nodes by datagram at once, and written to the store, by which it
// reaches nodes that missed the datagram, were cut off, or start later. While the store does not accept it, the node
// that found it, or one of the three others, continues to write and to announce it.
//
// A Sync owns the goroutine of Run, the timers of reports and the calls of the store in flight. It relies on the
// catalog for registered nodes and stored records, and on package peer for datagrams.
package quarantinesync

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config sets how findings are carried.
type Config struct {
	// ReportDelay is how long evidence is kept back in case an answer withdraws it; RepeatDelay is when it is
	// reported again, since a datagram may be lost.
	ReportDelay time.Duration `yaml:"report_delay"`
	RepeatDelay time.Duration `yaml:"repeat_delay"`
	// SaveInterval is how often a record that the store does not have is written and, in small fleets, announced
	// again.
	SaveInterval time.Duration `yaml:"save_interval"`
	// TakeoverPause is how much longer each node waits than the one before it to write a record that the store does not
	// have.
	TakeoverPause time.Duration `yaml:"takeover_pause"`
	// CallTimeout bounds a call of the store.
	CallTimeout time.Duration `yaml:"call_timeout"`
}

// DefaultConfig has a request refused everywhere within two one-way delays, and stored within a second.
func DefaultConfig() Config {
	return Config{
		ReportDelay: 20 * time.Millisecond, RepeatDelay: 300 * time.Millisecond, SaveInterval: 500 * time.Millisecond,
		TakeoverPause: time.Second, CallTimeout: time.Second,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ReportDelay <= 0, "report_delay", "must be positive")
	checks.Refuse(c.RepeatDelay <= 0, "repeat_delay", "must be positive")
	checks.Refuse(c.SaveInterval <= 0, "save_interval", "must be positive")
	checks.Refuse(c.TakeoverPause <= 0, "takeover_pause", "must be positive")
	checks.Refuse(c.CallTimeout <= 0, "call_timeout", "must be positive")
	return checks.Err()
}
