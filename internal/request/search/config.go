package search

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config bounds searches.
type Config struct {
	// MinimumDeadline is the least time a query may ask for.
	MinimumDeadline time.Duration `yaml:"minimum_deadline"`
	// MergeReserve is kept back from the deadline for merging and sending the answer.
	MergeReserve time.Duration `yaml:"merge_reserve"`
	// MaximumAttempts is how many times one shard is asked for one query.
	MaximumAttempts int `yaml:"maximum_attempts"`
	// MaximumAnswerBytes bounds the rows merged into one answer.
	MaximumAnswerBytes int `yaml:"maximum_answer_bytes"`
	// ReplanLimit is how many times a query is planned again on a newer snapshot.
	ReplanLimit int `yaml:"replan_limit"`
}

// DefaultConfig suits deadlines of tens of milliseconds and more.
func DefaultConfig() Config {
	return Config{
		MinimumDeadline:    2 * time.Millisecond,
		MergeReserve:       time.Millisecond,
		MaximumAttempts:    4,
		MaximumAnswerBytes: 32 << 20,
		ReplanLimit:        2,
	}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.MinimumDeadline <= c.MergeReserve, "minimum_deadline", "must be greater than merge_reserve")
	checks.Refuse(c.MergeReserve < 0, "merge_reserve", "must not be negative")
	checks.Refuse(c.MaximumAttempts < 1, "maximum_attempts", "must be at least 1")
	checks.Refuse(c.MaximumAnswerBytes < 1024, "maximum_answer_bytes", "must be at least 1024")
	checks.Refuse(c.ReplanLimit < 0, "replan_limit", "must not be negative")
	return checks.Err()
}
