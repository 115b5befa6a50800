package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Config tunes how the fleet carries roll-outs out.
type Config struct {
	// Enabled has orders to move services to other versions active, and services served by the leafs of one
	// version only.
	Enabled bool `yaml:"enabled"`
	// Judges is how many nodes judge the roll-out of a service.
	Judges int `yaml:"judges"`
	// ReportInterval is how often a node tells the judges of counts that changed, and a judge looks at them.
	ReportInterval time.Duration `yaml:"report_interval"`
	// ResendInterval is how often a node tells the judges all its counts, for reports that were lost.
	ResendInterval time.Duration `yaml:"resend_interval"`
	// BytesPerSecond bounds the reports that a node sends, headers included. What is beyond waits, and newer counts
	// take its place meanwhile.
	BytesPerSecond int `yaml:"bytes_per_second"`
	// BurstBytes may be sent at once after a quiet time.
	BurstBytes int `yaml:"burst_bytes"`
	// TakeoverPause is how much longer each judge waits than the one before it by rank until it writes what the
	// others should have written; for short orders it is less.
	TakeoverPause time.Duration `yaml:"takeover_pause"`
	// RollbackMargin is how long before the end of the time a version that was not found good is rolled back; for
	// short orders it is less.
	RollbackMargin time.Duration `yaml:"rollback_margin"`
	// SettleInterval is how often a judge asks whether all nodes send to the new version only, from when they can.
	SettleInterval time.Duration `yaml:"settle_interval"`
	// SettleWait is how long nodes that don't answer are waited for, and, from the end of the time on, those that
	// still send to the old version.
	SettleWait time.Duration `yaml:"settle_wait"`
	// WriteTimeout bounds one write of a state with its read-backs.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// RetryPause is the least pause before a write that failed is tried again; it doubles up to MaximumRetryPause.
	RetryPause time.Duration `yaml:"retry_pause"`
	// MaximumRetryPause is the most.
	MaximumRetryPause time.Duration `yaml:"maximum_retry_pause"`
	// VersionsDelay is how long what is to be written of services' versions must stay the same before it is
	// written, and the least time between two writes.
	VersionsDelay time.Duration `yaml:"versions_delay"`
}

// DefaultConfig suits orders of some seconds to an hour. Of the bytes that it allows in 14 s,
// 93 KB, five nodes with 90 orders at once used 73 KB each (virtual time, two rows an order that change ten times a
// second; a row after the first of a datagram is 21 bytes before base64). In a fleet at work it was not measured yet.
func DefaultConfig() Config {
	return Config{
		Judges: 3, ReportInterval: 400 * time.Millisecond, ResendInterval: 4 * time.Second,
		BytesPerSecond: 3000, BurstBytes: 48000,
		TakeoverPause: 700 * time.Millisecond, RollbackMargin: time.Second,
		SettleInterval: 400 * time.Millisecond, SettleWait: 3 * time.Second,
		WriteTimeout: 2 * time.Second, RetryPause: 200 * time.Millisecond, MaximumRetryPause: 2 * time.Second,
		VersionsDelay: 2 * time.Second,
	}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Judges < 1, "judges", "must be at least 1")
	checks.Refuse(c.BytesPerSecond < 1, "bytes_per_second", "must be positive")
	checks.Refuse(c.BurstBytes < peer.MaximumDatagram, "burst_bytes", "must be at least %d, a whole datagram", peer.MaximumDatagram)
	durations := []struct {
		field string
		value time.Duration
	}{
		{"report_interval", c.ReportInterval},
		{"resend_interval", c.ResendInterval},
		{"takeover_pause", c.TakeoverPause},
		{"rollback_margin", c.RollbackMargin},
		{"settle_interval", c.SettleInterval},
		{"settle_wait", c.SettleWait},
		{"write_timeout", c.WriteTimeout},
		{"retry_pause", c.RetryPause},
		{"versions_delay", c.VersionsDelay},
	}
	for _, duration := range durations {
		checks.Refuse(duration.value <= 0, duration.field, "must be positive")
	}
	checks.Refuse(c.MaximumRetryPause < c.RetryPause, "maximum_retry_pause", "must be at least retry_pause")
	return checks.Err()
}

// The margin before an order's end and the pause between its judges take at most one in so many parts of its time,
// so that an order of a second is not over before its judges did anything. Nothing waits for the first state.
const (
	marginDivisor     = 10
	takeoverDivisor   = 20
	firstStateDivisor = 4
)

// How long a version that was found good is looked at with all requests: a part of the order's time, as long as the move to
// it takes, and so many reports at least.
const (
	finalWatchDivisor = 10
	finalWatchReports = 3
)

// finalWatch gives how long a version has all requests before an order of a duration has succeeded.
func (c Config) finalWatch(duration time.Duration) time.Duration {
	return max(duration/finalWatchDivisor, finalWatchReports*c.ReportInterval)
}

// rollbackMargin gives how long before the end of an order's time a version not found good is rolled back.
func (c Config) rollbackMargin(duration time.Duration) time.Duration {
	return min(c.RollbackMargin, duration/marginDivisor)
}

// takeoverPause gives how much longer each judge of an order waits than the one before it to write a phase.
func (c Config) takeoverPause(phase rollout.Phase, duration time.Duration) time.Duration {
	if phase == rollout.Canary {
		return min(c.TakeoverPause, duration/firstStateDivisor)
	}
	return min(c.TakeoverPause, duration/takeoverDivisor)
}
