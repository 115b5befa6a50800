package verdict

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config sets the required certainty of a finding, and which behavior is normal. Probabilities, shares and fractions
// are between 0 and 1.
type Config struct {
	// FalseAlarmRate is the accepted probability that a good version is found bad within the first hundred answers.
	FalseAlarmRate float64 `yaml:"false_alarm"`
	// FalseAlarmRateMoving replaces FalseAlarmRate after a version was found good, while the requests move to it. It is
	// higher, because the version is about to receive all requests and may have been found good on few answers.
	FalseAlarmRateMoving float64 `yaml:"false_alarm_moving"`
	// MissRate is the accepted probability that a version is found good although it has a share MinBadShare of failures
	// or MinSlowShare of late answers.
	MissRate float64 `yaml:"miss"`
	// BadShares are the shares of bad answers in excess of the serving version's share that the test detects.
	BadShares []float64 `yaml:"bad_shares"`
	// MinBadShare is the smallest share of failures that must be ruled out before a version is found good.
	MinBadShare float64 `yaml:"least_bad_share"`
	// MinSlowShare is the smallest share of late answers that must be ruled out before a version is found good.
	MinSlowShare float64 `yaml:"least_slow_share"`
	// SlowFactors are the multiples of the serving version's median latency above which an answer is late. A low factor
	// detects a version whose answers are all slower, a high factor a version that has some much slower answers.
	SlowFactors []float64 `yaml:"slow_factors"`
	// RoundTrip is the round-trip time between zones. It is added to each latency limit.
	RoundTrip time.Duration `yaml:"way"`
	// LeafFraction is the largest fraction of the threshold that one of two leafs may contribute. Above 0.5 two bad
	// leafs reach the threshold.
	LeafFraction float64 `yaml:"leaf_part"`
	// Correlation is the correlation, 0 to 1, of late answers of one leaf within the longest normal pause.
	Correlation float64 `yaml:"alike"`
	// LongestPause is the longest normal pause of a leaf.
	LongestPause time.Duration `yaml:"moment"`
	// ColdFor is how long new leafs may be slow. ColdFactor multiplies their limits during this time.
	ColdFor    time.Duration `yaml:"cold_for"`
	ColdFactor float64       `yaml:"cold_factor"`
	// Recent is the half-life of the weight of the serving version's answers, with which the canary is compared.
	Recent time.Duration `yaml:"recent"`
	// Settle is how long the counts of an evaluator node must have been complete before it finds a version good.
	Settle time.Duration `yaml:"settle"`
	// GoodFrom is the fraction of the spec's duration after which a version can be found good on full evidence.
	// GoodOnLittleEvidenceFrom is the fraction after which it can be found good on little evidence.
	GoodFrom                 float64 `yaml:"good_from"`
	GoodOnLittleEvidenceFrom float64 `yaml:"good_by_little"`
	// MinAnswers is the minimum number of answers of a version that is found good.
	MinAnswers int `yaml:"least_answers"`
}

// DefaultConfig suits canary versions with 3 to 30 leafs that receive a tenth of 1 to 500 requests per second, and
// specs of a few seconds to a few minutes.
func DefaultConfig() Config {
	return Config{
		FalseAlarmRate: 1e-5, FalseAlarmRateMoving: 1e-3, MissRate: 0.05,
		BadShares:   []float64{0.05, 0.1, 0.2, 0.4, 0.8},
		MinBadShare: 0.1, MinSlowShare: 0.3,
		// From versions whose answers are all slower to versions that have some much slower answers.
		SlowFactors: []float64{1, 2, 4},
		// Typical round trip between zones of one region.
		RoundTrip: 2 * time.Millisecond,
		// Above 0.5, so that two bad leafs reach the threshold, but one never does.
		LeafFraction: 0.6,
		Correlation:  0.3, LongestPause: 250 * time.Millisecond,
		ColdFor: 4 * time.Second, ColdFactor: 2,
		Recent: time.Second,
		// The reports of all nodes arrive within about a second.
		Settle: 3 * time.Second,
		// The rest of the spec's duration is required to move the requests.
		GoodFrom: 0.6, GoodOnLittleEvidenceFrom: 0.75,
		MinAnswers: 3,
	}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(!isFraction(c.FalseAlarmRate), "false_alarm", "must be between 0 and 1")
	checks.Refuse(!isFraction(c.FalseAlarmRateMoving) || c.FalseAlarmRateMoving < c.FalseAlarmRate, "false_alarm_moving", "must be between false_alarm and 1")
	checks.Refuse(!isFraction(c.MissRate), "miss", "must be between 0 and 1")
	checks.Refuse(len(c.BadShares) == 0 || !areFractions(c.BadShares), "bad_shares", "must be between 0 and 1, at least one")
	checks.Refuse(!isFraction(c.MinBadShare), "least_bad_share", "must be between 0 and 1")
	checks.Refuse(!isFraction(c.MinSlowShare), "least_slow_share", "must be between 0 and 1")
	checks.Refuse(!areAtLeastOne(c.SlowFactors), "slow_factors", "must be at least 1")
	checks.Refuse(c.RoundTrip < 0, "way", "must not be negative")
	checks.Refuse(!isFraction(c.LeafFraction), "leaf_part", "must be between 0 and 1")
	checks.Refuse(c.Correlation < 0 || c.Correlation > 1, "alike", "must be between 0 and 1")
	checks.Refuse(c.LongestPause <= 0, "moment", "must be positive")
	checks.Refuse(c.ColdFor < 0, "cold_for", "must not be negative")
	checks.Refuse(c.ColdFactor < 1, "cold_factor", "must be at least 1")
	checks.Refuse(c.Recent <= 0, "recent", "must be positive")
	checks.Refuse(c.Settle < 0, "settle", "must not be negative")
	checks.Refuse(!isFraction(c.GoodFrom), "good_from", "must be between 0 and 1")
	checks.Refuse(!isFraction(c.GoodOnLittleEvidenceFrom) || c.GoodOnLittleEvidenceFrom < c.GoodFrom, "good_by_little", "must be between good_from and 1")
	checks.Refuse(c.MinAnswers < 1, "least_answers", "must be at least 1")
	return checks.Err()
}

func isFraction(fraction float64) bool { return fraction > 0 && fraction < 1 }

func areFractions(fractions []float64) bool {
	for _, fraction := range fractions {
		if !isFraction(fraction) {
			return false
		}
	}
	return true
}

func areAtLeastOne(factors []float64) bool {
	for _, factor := range factors {
		if factor < 1 {
			return false
		}
	}
	return true
}
