// Package quarantinesync sends the findings of package quarantine to the other nodes and to the store.
//
// A node sends insufficient evidence by datagram to three nodes, the aggregators, which are selected by rendezvous hash
// of the request and sum the evidence of all nodes: an at-most-once request crashes only one leaf at each node that it
// arrives at. The record of a request under quarantine is sent to all nodes by datagram at once, and written to the
// store. Nodes that missed the datagram, were partitioned, or start later get it from there. While the store does not
// accept the record, the node that found it retries the write and repeats the broadcast, and the aggregators retry the
// write, too.
//
// A Sync owns the goroutine of Run, the timers of reports and the store calls in flight. It uses the catalog for
// registered nodes and stored records, and package peer for datagrams.
package quarantinesync

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config sets when findings are sent to other nodes and to the store.
type Config struct {
	// ReportDelay is the time before evidence is reported; an answer within this time drops the evidence. RepeatDelay
	// is the time after which it is reported again, in case the datagram was lost.
	ReportDelay time.Duration `yaml:"report_delay"`
	RepeatDelay time.Duration `yaml:"repeat_delay"`
	// SaveInterval is the interval at which the write of an unsaved record is retried and, in small fleets, its
	// broadcast repeated.
	SaveInterval time.Duration `yaml:"save_interval"`
	// TakeoverPause is the additional time that each aggregator waits, compared with the preceding rank, before it
	// writes an unsaved record.
	TakeoverPause time.Duration `yaml:"takeover_pause"`
	// CallTimeout is the timeout of a store call.
	CallTimeout time.Duration `yaml:"call_timeout"`
}

// DefaultConfig makes all nodes refuse a request within two one-way delays, and stores its record within a second.
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
