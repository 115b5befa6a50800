package leafhttp

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures connections to leafs and limits their answers.
type Config struct {
	// ConnectTimeout is the maximum time to open a connection.
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
	// SilenceTimeout is how long sent bytes may remain unacknowledged before the connection is closed.
	SilenceTimeout time.Duration `yaml:"silence_timeout"`
	// IdleTimeout is how long a connection may be idle if the leaf specifies no limit.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// IdleReserve is subtracted from the idle time that the leaf allows, so that the node closes first.
	IdleReserve time.Duration `yaml:"idle_reserve"`
	// LingerTimeout is how long a node waits for the answer to an attempt that is no longer needed, so that its
	// connection can be reused.
	LingerTimeout time.Duration `yaml:"linger_timeout"`
	// ExtraPause is how long no extra connections to a leaf are opened after the leaf reset a new one.
	ExtraPause time.Duration `yaml:"spare_pause"`
	// MaximumHeaderBytes is the maximum size of an answer's status line and header, together with the informational
	// answers before it.
	MaximumHeaderBytes int64 `yaml:"maximum_header_bytes"`
	// MaximumAnswerBytes is the maximum size of an answer's body.
	MaximumAnswerBytes int64 `yaml:"maximum_answer_bytes"`
}

// DefaultConfig returns settings for leafs in the same region.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout:     150 * time.Millisecond,
		SilenceTimeout:     3 * time.Second,
		IdleTimeout:        30 * time.Second,
		IdleReserve:        500 * time.Millisecond,
		LingerTimeout:      25 * time.Millisecond,
		ExtraPause:         5 * time.Second,
		MaximumHeaderBytes: 64 << 10,
		MaximumAnswerBytes: 16 << 20,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ConnectTimeout <= 0, "connect_timeout", "must be positive")
	checks.Refuse(c.SilenceTimeout <= 0, "silence_timeout", "must be positive")
	checks.Refuse(c.IdleTimeout <= 0, "idle_timeout", "must be positive")
	checks.Refuse(c.IdleReserve < 0, "idle_reserve", "must not be negative")
	checks.Refuse(c.LingerTimeout < 0, "linger_timeout", "must not be negative")
	checks.Refuse(c.ExtraPause < 0, "spare_pause", "must not be negative")
	checks.Refuse(c.MaximumHeaderBytes < readBufferBytes, "maximum_header_bytes", "must be at least %d", readBufferBytes)
	checks.Refuse(c.MaximumAnswerBytes < 1024, "maximum_answer_bytes", "must be at least 1024")
	return checks.Err()
}
