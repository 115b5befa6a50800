package search

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config limits searches.
type Config struct {
	// MinimumDeadline is the minimum deadline that a search may have.
	MinimumDeadline time.Duration `yaml:"minimum_deadline"`
	// MergeReserve is the time before the deadline that is reserved for merging and sending the answer.
	MergeReserve time.Duration `yaml:"merge_reserve"`
	// MaximumAttempts is the maximum number of attempts per shard and search.
	MaximumAttempts int `yaml:"maximum_attempts"`
	// MaximumAnswerBytes is the maximum size of the rows in one answer.
	MaximumAnswerBytes int `yaml:"maximum_answer_bytes"`
	// ReplanLimit is the maximum number of times that a search is replanned on a newer snapshot.
	ReplanLimit int `yaml:"replan_limit"`
}

// DefaultConfig suits deadlines of tens of milliseconds or more.
func DefaultConfig() Config {
	return Config{
		MinimumDeadline:    2 * time.Millisecond,
		MergeReserve:       time.Millisecond,
		MaximumAttempts:    4,
		MaximumAnswerBytes: 32 << 20,
		ReplanLimit:        2,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.MinimumDeadline <= c.MergeReserve, "minimum_deadline", "must be greater than merge_reserve")
	checks.Refuse(c.MergeReserve < 0, "merge_reserve", "must not be negative")
	checks.Refuse(c.MaximumAttempts < 1, "maximum_attempts", "must be at least 1")
	checks.Refuse(c.MaximumAnswerBytes < 1024, "maximum_answer_bytes", "must be at least 1024")
	checks.Refuse(c.ReplanLimit < 0, "replan_limit", "must not be negative")
	return checks.Err()
}
