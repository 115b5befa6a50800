package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Config sets how the fleet carries out roll-outs.
type Config struct {
	// Enabled makes nodes follow specs, and send the requests of a service to leafs of one version only.
	Enabled bool `yaml:"enabled"`
	// EvaluatorNodes is the number of nodes that evaluate the roll-out of a service.
	EvaluatorNodes int `yaml:"judges"`
	// ReportInterval is how often a node reports changed counts to the evaluator nodes, and an evaluator node evaluates them.
	ReportInterval time.Duration `yaml:"report_interval"`
	// ResendInterval is how often a node reports all its counts, in case reports were lost.
	ResendInterval time.Duration `yaml:"resend_interval"`
	// BytesPerSecond bounds the reports that a node sends, headers included. Reports beyond it wait, and newer counts
	// replace them.
	BytesPerSecond int `yaml:"bytes_per_second"`
	// BurstBytes is what may be sent at once after a quiet time.
	BurstBytes int `yaml:"burst_bytes"`
	// TakeoverPause is how much longer each evaluator node waits than the one before it by rank to write a state that the
	// others should have written; shorter for short specs.
	TakeoverPause time.Duration `yaml:"takeover_pause"`
	// RollbackMargin is how long before a spec's end a version that was not found good is rolled back; shorter for
	// short specs.
	RollbackMargin time.Duration `yaml:"rollback_margin"`
	// SettleInterval is how often an evaluator node asks whether all nodes send to the new version only, once they can.
	SettleInterval time.Duration `yaml:"settle_interval"`
	// SettleWait is how long nodes that don't answer are waited for and, after the spec's end, nodes that still send
	// to the old version.
	SettleWait time.Duration `yaml:"settle_wait"`
	// WriteTimeout bounds one write of a state including reading it back.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// RetryPause is the first pause before a failed write is tried again; it doubles up to MaximumRetryPause.
	RetryPause time.Duration `yaml:"retry_pause"`
	// MaximumRetryPause is the longest pause between tries of a write.
	MaximumRetryPause time.Duration `yaml:"maximum_retry_pause"`
	// VersionsDelay is how long the serving versions must stay the same before they are written, and the shortest
	// time between two writes.
	VersionsDelay time.Duration `yaml:"versions_delay"`
}

// DefaultConfig suits specs of some seconds to an hour, and some ninety specs at once within the bound of bytes.
func DefaultConfig() Config {
	return Config{
		EvaluatorNodes: 3, ReportInterval: 400 * time.Millisecond, ResendInterval: 4 * time.Second,
		BytesPerSecond: 3000, BurstBytes: 48000,
		TakeoverPause: 700 * time.Millisecond, RollbackMargin: time.Second,
		SettleInterval: 400 * time.Millisecond, SettleWait: 3 * time.Second,
		WriteTimeout: 2 * time.Second, RetryPause: 200 * time.Millisecond, MaximumRetryPause: 2 * time.Second,
		VersionsDelay: 2 * time.Second,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.EvaluatorNodes < 1, "judges", "must be at least 1")
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
