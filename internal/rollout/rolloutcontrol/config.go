package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Config sets how nodes execute rollouts.
type Config struct {
	// Enabled makes nodes execute rollouts. Without a rollout the requests of a service go only to leafs of its
	// serving version.
	Enabled bool `yaml:"enabled"`
	// EvaluatorNodes is the number of nodes that evaluate the rollout of a service.
	EvaluatorNodes int `yaml:"judges"`
	// ReportInterval is the interval at which a node reports changed counts to the evaluator nodes, and at which these
	// evaluate them.
	ReportInterval time.Duration `yaml:"report_interval"`
	// ResendInterval is the interval at which a node reports all its counts, to replace lost reports.
	ResendInterval time.Duration `yaml:"resend_interval"`
	// BytesPerSecond is the maximum rate at which a node sends reports, headers included. Reports beyond it wait, and
	// are replaced by newer counts.
	BytesPerSecond int `yaml:"bytes_per_second"`
	// BurstBytes is the maximum size of a burst of reports, in bytes.
	BurstBytes int `yaml:"burst_bytes"`
	// TakeoverPause is the additional time that each evaluator node waits, compared with the preceding rank, before it
	// writes a state that is still missing. It is shorter for rollouts of short duration.
	TakeoverPause time.Duration `yaml:"takeover_pause"`
	// RollbackMargin is how long before the end of a spec a version that has not passed evaluation is rolled back. It
	// is shorter for rollouts of short duration.
	RollbackMargin time.Duration `yaml:"rollback_margin"`
	// SettleInterval is the interval at which an evaluator node checks whether all nodes send requests only to the new
	// version. The checks begin after the ramp.
	SettleInterval time.Duration `yaml:"settle_interval"`
	// SettleWait is the maximum wait for nodes that don't answer, and, after the end of the spec, for nodes that still
	// send requests to the old version.
	SettleWait time.Duration `yaml:"settle_wait"`
	// WriteTimeout is the timeout of one write of a state, including reading it back.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// RetryPause is the initial backoff after a failed write. It doubles with each failure, up to MaxRetryPause.
	RetryPause time.Duration `yaml:"retry_pause"`
	// MaxRetryPause is the maximum backoff between attempts of a write.
	MaxRetryPause time.Duration `yaml:"maximum_retry_pause"`
	// VersionsDelay is how long the serving versions must stay unchanged before they are written to the store, and the
	// minimum interval between two writes.
	VersionsDelay time.Duration `yaml:"versions_delay"`
}

// DefaultConfig suits specs of a few seconds to an hour, and about ninety simultaneous specs within BytesPerSecond.
func DefaultConfig() Config {
	return Config{
		EvaluatorNodes: 3, ReportInterval: 400 * time.Millisecond, ResendInterval: 4 * time.Second,
		BytesPerSecond: 3000, BurstBytes: 48000,
		TakeoverPause: 700 * time.Millisecond, RollbackMargin: time.Second,
		SettleInterval: 400 * time.Millisecond, SettleWait: 3 * time.Second,
		WriteTimeout: 2 * time.Second, RetryPause: 200 * time.Millisecond, MaxRetryPause: 2 * time.Second,
		VersionsDelay: 2 * time.Second,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.EvaluatorNodes < 1, "judges", "must be at least 1")
	checks.Refuse(c.BytesPerSecond < 1, "bytes_per_second", "must be positive")
	checks.Refuse(c.BurstBytes < peer.MaxDatagram, "burst_bytes", "must be at least %d, the maximum size of a datagram", peer.MaxDatagram)
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
	checks.Refuse(c.MaxRetryPause < c.RetryPause, "maximum_retry_pause", "must be at least retry_pause")
	return checks.Err()
}
