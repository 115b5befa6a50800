package servingtree

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config configures the connections between nodes.
type Config struct {
	// ConnectTimeout is the maximum time to open a connection.
	ConnectTimeout time.Duration `yaml:"connect_timeout"`
	// WriteTimeout is the maximum time to write a message; a connection on which a write takes longer is closed.
	WriteTimeout time.Duration `yaml:"write_timeout"`
	// IdleTimeout is the time without a received message after which a connection is closed. The node that opened the
	// connection closes it after half of that time.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
	// MaximumRequests is the maximum number of requests in flight on one connection.
	MaximumRequests int `yaml:"maximum_requests"`
	// MaximumLineBytes is the maximum size of a message, in bytes.
	MaximumLineBytes int `yaml:"maximum_line_bytes"`
}

// DefaultConfig returns the default configuration, for nodes in one region.
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
