package leafclient

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config limits connections to leafs and their replies.
type Config struct {
	// MaximumConnections is the maximum number of leafs to which a node keeps connections.
	MaximumConnections int `yaml:"maximum_connections"`
	// IdleTimeout is how long a connection may be idle before it is closed.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// MaximumReplyBytes is the maximum size of a leaf's reply.
	MaximumReplyBytes int `yaml:"maximum_reply_bytes"`
}

// DefaultConfig returns settings for a node with 128 MB of memory.
func DefaultConfig() Config {
	return Config{MaximumConnections: 512, IdleTimeout: 5 * time.Minute, MaximumReplyBytes: 8 << 20}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.MaximumConnections < 1, "maximum_connections", "must be at least 1")
	checks.Refuse(c.IdleTimeout <= 0, "idle_timeout", "must be positive")
	checks.Refuse(c.MaximumReplyBytes < 1024, "maximum_reply_bytes", "must be at least 1024")
	return checks.Err()
}
