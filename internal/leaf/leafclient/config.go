package leafclient

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config bounds connections and replies.
type Config struct {
	// MaximumConnections is how many leafs a node is connected to at most.
	MaximumConnections int `yaml:"maximum_connections"`
	// IdleTimeout closes a connection that carries no attempt.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// MaximumReplyBytes bounds one leaf's reply.
	MaximumReplyBytes int `yaml:"maximum_reply_bytes"`
}

// DefaultConfig suits a node of 128 MB.
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
