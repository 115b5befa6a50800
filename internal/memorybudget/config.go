package memorybudget

import (
	"golang.org/x/sys/unix"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config limits the memory of a process.
type Config struct {
	// LimitBytes is the memory that the process may use. If it is 0, it is the memory of the machine.
	LimitBytes int64 `yaml:"limit_bytes"`
	// RequestBytes is what callers and leafs together may make the node hold for requests and answers, at most a third
	// of LimitBytes.
	RequestBytes int64 `yaml:"request_bytes"`
	// ControlBytes is what other nodes, the store and operators together may make the node hold for their messages, at
	// most a quarter of LimitBytes.
	ControlBytes int64 `yaml:"control_bytes"`
}

// Fractions of LimitBytes, and the minimum of a budget.
const (
	requestDivisor = 3
	controlDivisor = 4
	minimumBytes   = 1 << 20
)

// softLimitPercent is the part of LimitBytes above which the runtime collects garbage more often.
const softLimitPercent = 90

// DefaultConfig returns budgets in which the largest answer of a leaf, 16 MiB, still fits beside those of a leaf that holds
// all that it may.
func DefaultConfig() Config {
	return Config{RequestBytes: 64 << 20, ControlBytes: 48 << 20}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.LimitBytes < 0, "limit_bytes", "must not be negative")
	checks.Refuse(c.RequestBytes < minimumBytes, "request_bytes", "must be at least %d", minimumBytes)
	checks.Refuse(c.ControlBytes < minimumBytes, "control_bytes", "must be at least %d", minimumBytes)
	return checks.Err()
}

// Limit returns the memory that the process may use, in bytes; 0 if it is unknown.
func (c Config) Limit() int64 {
	if c.LimitBytes > 0 {
		return c.LimitBytes
	}
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// SoftLimit returns the soft memory limit for the runtime, in bytes; 0 if there is none.
func (c Config) SoftLimit() int64 { return c.Limit() / 100 * softLimitPercent }

// NewRequests returns the budget of callers and leafs. No peer can use it up against the others.
func (c Config) NewRequests(onRefused OnRefused) *Budget {
	return &Budget{limit: c.part(c.RequestBytes, requestDivisor), isFair: true, onRefused: onRefused}
}

// NewControl returns the budget of other nodes, the store and operators. One message may take all of it: a configuration
// that is as large must arrive.
func (c Config) NewControl(onRefused OnRefused) *Budget {
	return &Budget{limit: c.part(c.ControlBytes, controlDivisor), onRefused: onRefused}
}

// part returns the given number of bytes, or the given part of the limit if that is less.
func (c Config) part(bytes, divisor int64) int64 {
	if limit := c.Limit(); limit > 0 {
		return max(minimumBytes, min(bytes, limit/divisor))
	}
	return bytes
}
