package quarantine

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// CrashedProbesLimit is the number of leafs that may crash under probes of one execution before it is given up. The evidence
// decides about the next execution.
const CrashedProbesLimit = 1

// Config sets what puts a request under quarantine, and for how long.
type Config struct {
	// CrashedLeafs is the number of leafs that must have crashed under a request, Episodes the number of episodes of these
	// crashes, and EpisodesIfOthersGone the same if other leafs are gone without a known cause.
	CrashedLeafs         int `yaml:"ends"`
	Episodes             int `yaml:"episodes"`
	EpisodesIfOthersGone int `yaml:"herd_episodes"`
	// SuspectMemory is how long evidence counts that is not enough yet.
	SuspectMemory time.Duration `yaml:"suspect_memory"`
	// RetestAfter is how long a request is refused until it is tried again at one leaf. RetestBackoffFactor is the
	// factor by which each next delay is longer. MaximumRetests is the largest number of retests; after that only an
	// operator lifts the quarantine.
	RetestAfter         time.Duration `yaml:"term"`
	RetestBackoffFactor int           `yaml:"lengthening"`
	MaximumRetests      int           `yaml:"trials"`
	// Alert is how long after a request was put under quarantine further ones are expected: gathered requests go to
	// one leaf first then.
	Alert time.Duration `yaml:"alert"`
	// MaximumSuspects and MaximumRecords bound what is kept; the oldest is dropped first.
	MaximumSuspects int `yaml:"maximum_suspects"`
	MaximumRecords  int `yaml:"maximum_records"`
}

// DefaultConfig lets a request crash three leafs, and tries it again after 10 minutes, an hour and six hours.
func DefaultConfig() Config {
	return Config{
		CrashedLeafs: 3, Episodes: 2, EpisodesIfOthersGone: 4, SuspectMemory: time.Minute,
		RetestAfter: 10 * time.Minute, RetestBackoffFactor: 6, MaximumRetests: 3,
		Alert: time.Minute, MaximumSuspects: 1024, MaximumRecords: 256,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.CrashedLeafs < 1, "ends", "must be at least 1")
	checks.Refuse(c.Episodes < 1, "episodes", "must be at least 1")
	checks.Refuse(c.EpisodesIfOthersGone < c.Episodes, "herd_episodes", "must be at least episodes")
	checks.Refuse(c.SuspectMemory <= 0, "suspect_memory", "must be positive")
	checks.Refuse(c.RetestAfter <= 0, "term", "must be positive")
	checks.Refuse(c.RetestBackoffFactor < 1, "lengthening", "must be at least 1")
	checks.Refuse(c.MaximumRetests < 0, "trials", "must not be negative")
	checks.Refuse(c.Alert < 0, "alert", "must not be negative")
	checks.Refuse(c.MaximumSuspects < 1, "maximum_suspects", "must be at least 1")
	checks.Refuse(c.MaximumRecords < 1, "maximum_records", "must be at least 1")
	return checks.Err()
}
