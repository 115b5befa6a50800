package servingtree

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the connections between nodes.
type Config struct {
	// ConnectTimeout bounds the opening of a connection.
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
	// WriteTimeout bounds the writing of a line; a node that does not read for that long loses its connection.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// IdleTimeout is how long a connection is idle before it is closed.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// MaximumRequests bounds the requests in flight on one connection.
	MaximumRequests int `yaml:"maximum_requests"`
	// MaximumLineBytes bounds the size of a message.
	MaximumLineBytes int `yaml:"maximum_line_bytes"`
}

// DefaultConfig returns a configuration for nodes of one region.
func DefaultConfig() Config {
	return Config{
		ConnectTimeout:   500 * time.Millisecond,
		WriteTimeout:     200 * time.Millisecond,
		IdleTimeout:      time.Minute,
		MaximumRequests:  256,
		MaximumLineBytes: 4 << 20,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ConnectTimeout <= 0, "connect_timeout", "must be positive")
	checks.Refuse(c.WriteTimeout <= 0, "write_timeout", "must be positive")
	checks.Refuse(c.IdleTimeout <= 0, "idle_timeout", "must be positive")
	checks.Refuse(c.MaximumRequests < 1, "maximum_requests", "must be at least 1")
	checks.Refuse(c.MaximumLineBytes < 1024, "maximum_line_bytes", "must be at least 1024")
	return checks.Err()
}
