package quarantine

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// CrashedProbesLimit is the number of leafs that may crash under the probes of one execution before the execution ends.
// Whether the request is executed again depends on the evidence.
const CrashedProbesLimit = 1

// Config sets when a request is put under quarantine, and for how long.
type Config struct {
	// A request is put under quarantine after crashes of CrashedLeafs leafs in Episodes episodes, or in
	// EpisodesIfOthersNotListening episodes if other leafs have stopped listening for an unknown reason.
	CrashedLeafs                 int `yaml:"ends"`
	Episodes                     int `yaml:"episodes"`
	EpisodesIfOthersNotListening int `yaml:"herd_episodes"`
	// SuspectMemory is the time after the last crash for which insufficient evidence is kept.
	SuspectMemory time.Duration `yaml:"suspect_memory"`
	// RetestAfter is the time for which a request is refused before it is retested at one leaf. Each further delay is
	// RetestBackoffFactor times the previous one. After MaxRetests retests only an operator can lift the
	// quarantine.
	RetestAfter         time.Duration `yaml:"term"`
	RetestBackoffFactor int           `yaml:"lengthening"`
	MaxRetests          int           `yaml:"trials"`
	// Alert is the time after a request was put under quarantine during which gathered requests are sent to one leaf
	// first, because more crashing requests are expected.
	Alert time.Duration `yaml:"alert"`
	// MaxSuspects and MaxRecords bound the number of suspects and records; the oldest is dropped first.
	MaxSuspects int `yaml:"maximum_suspects"`
	MaxRecords  int `yaml:"maximum_records"`
}

// DefaultConfig quarantines a request that crashed three leafs in at least two episodes, and retests it after 10
// minutes, an hour and six hours.
func DefaultConfig() Config {
	return Config{
		CrashedLeafs: 3, Episodes: 2, EpisodesIfOthersNotListening: 4, SuspectMemory: time.Minute,
		RetestAfter: 10 * time.Minute, RetestBackoffFactor: 6, MaxRetests: 3,
		Alert: time.Minute, MaxSuspects: 1024, MaxRecords: 256,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.CrashedLeafs < 1, "ends", "must be at least 1")
	checks.Refuse(c.Episodes < 1, "episodes", "must be at least 1")
	checks.Refuse(c.EpisodesIfOthersNotListening < c.Episodes, "herd_episodes", "must be at least episodes")
	checks.Refuse(c.SuspectMemory <= 0, "suspect_memory", "must be positive")
	checks.Refuse(c.RetestAfter <= 0, "term", "must be positive")
	checks.Refuse(c.RetestBackoffFactor < 1, "lengthening", "must be at least 1")
	checks.Refuse(c.MaxRetests < 0, "trials", "must not be negative")
	checks.Refuse(c.Alert < 0, "alert", "must not be negative")
	checks.Refuse(c.MaxSuspects < 1, "maximum_suspects", "must be at least 1")
	checks.Refuse(c.MaxRecords < 1, "maximum_records", "must be at least 1")
	return checks.Err()
}
