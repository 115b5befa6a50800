package verdict

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Config says how sure a finding must be, and what is taken for the usual course of things.
type Config struct {
	// FalseAlarm is the chance of finding a good version bad that is accepted for the first hundred answers.
	FalseAlarm float64 `yaml:"false_alarm"`
	// FalseAlarmMoving is the same once a version was found good and its requests move: it gets all of them soon, and what
	// spoke for it was little where there are few.
	FalseAlarmMoving float64 `yaml:"false_alarm_moving"`
	// Miss is the chance of not having seen a version with LeastBadShare of failures, or LeastSlowShare of
	// late answers, at which a version is good.
	Miss float64 `yaml:"miss"`
	// BadShares are the shares of bad answers that are weighed against the serving version's usual share.
	BadShares []float64 `yaml:"bad_shares"`
	// LeastBadShare is the smallest share of failures that must be ruled out.
	LeastBadShare float64 `yaml:"least_bad_share"`
	// LeastSlowShare is the smallest share of late answers that must be ruled out.
	LeastSlowShare float64 `yaml:"least_slow_share"`
	// SlowFactors are the multiples of the serving version's median beyond which an answer is late. A low one
	// sees a version that is slower on the whole, a high one a part of answers that is much slower.
	SlowFactors []float64 `yaml:"slow_factors"`
	// Way is added to each limit: what an answer from another zone may take longer.
	Way time.Duration `yaml:"way"`
	// LeafPart is the part of the evidence for a bad version that one leaf may give; above 0.5 two bad leafs suffice.
	LeafPart float64 `yaml:"leaf_part"`
	// Alike is how far answers of one leaf within Moment are late together, 0 to 1.
	Alike float64 `yaml:"alike"`
	// Moment is how long a pause of a leaf may last.
	Moment time.Duration `yaml:"moment"`
	// ColdFor is how long a leaf may be cold, and ColdFactor how much its limits grow meanwhile.
	ColdFor    time.Duration `yaml:"cold_for"`
	ColdFactor float64       `yaml:"cold_factor"`
	// Recent is the half-life of what the serving version did at the same time.
	Recent time.Duration `yaml:"recent"`
	// Settle is how long a judge listens at least before it finds a version good.
	Settle time.Duration `yaml:"settle"`
	// GoodFrom and GoodByLittle are the parts of the order's duration from which a version is found good by
	// enough evidence, and by what there is.
	GoodFrom     float64 `yaml:"good_from"`
	GoodByLittle float64 `yaml:"good_by_little"`
	// LeastAnswers is the fewest answers that a version is found good by.
	LeastAnswers int `yaml:"least_answers"`
}

// DefaultConfig suits versions with 3 to 30 leafs that get a tenth of 1 to 500 requests a second. The figures are of
// `portgauge-lab experiment canary` with 32 seeds a case: good versions refused, good ones found bad, bad ones that
// served at the end, and bad answers on average until one was found bad. With these values 17.0%, 0.45%, 16.9% and
// 30.6.
func DefaultConfig() Config {
	return Config{
		// 1e-4: 17.1%, 0.55%, 16.3%, 28.0; 1e-6: 17.0%, 0.25%, 17.1%, 33.8.
		FalseAlarm: 1e-5,
		// As FalseAlarm, which it was before: 17.0%, 0.45%, 16.9%; 1e-4: 17.0%, 0.45%, 16.3%; 1e-3: 17.1%, 0.50%, 15.5%; 1e-2:
		// 17.3%, 0.74%, 14.7%.
		FalseAlarmMoving: 1e-3,
		// 0.2: 12.7% refused, 18.0% served; 0.01: 17.4%, 16.8%, but later.
		Miss: 0.05,
		// 0.3 alone serves more; see the table in docs/design/rollouts.md.
		BadShares: []float64{0.05, 0.1, 0.2, 0.4, 0.8},
		// 0.05: 19.5% refused, 16.8% served.
		LeastBadShare: 0.1,
		// 0.15: 20.6% refused, 15.6% served.
		LeastSlowShare: 0.3,
		// 2 alone: 11.2% refused, 28.5% served; 2 and 4: 13.7%, 28.0%.
		SlowFactors: []float64{1, 2, 4},
		// Round trip between zones of one region; not measured yet.
		Way: 2 * time.Millisecond,
		// 0.9: 0.69% found bad, 16.6% served; 0.55: 0.45%, 16.9%.
		LeafPart: 0.6,
		// 0: 0.50% found bad, 27.4 bad answers; 0.6: 0.45%, 32.2.
		Alike: 0.3,
		// The longest pause that is usual.
		Moment: 250 * time.Millisecond,
		// Leafs are cold for 3 s and take 1.6 times as long; with no allowance 52.6% refused, 32% found bad.
		ColdFor: 4 * time.Second, ColdFactor: 2,
		// 4s: 18.5% refused, 1.7% found bad; 0.3s: 16.7%, 0.60%, 19.1% served.
		Recent: time.Second,
		// Reports of all nodes come within about a second; not measured yet.
		Settle: 3 * time.Second,
		// 0.5: 17.1% served, 34.6 bad answers; 0.65: 17.1%, 29.0, with less time left to move the requests.
		GoodFrom: 0.6,
		// Leaves a quarter of the order to move the requests; not measured yet.
		GoodByLittle: 0.75,
		// 2: 14.2% refused, 18.5% served; 5: 22.9%, 11.8%.
		LeastAnswers: 3,
	}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(!isPart(c.FalseAlarm), "false_alarm", "must be between 0 and 1")
	checks.Refuse(!isPart(c.FalseAlarmMoving) || c.FalseAlarmMoving < c.FalseAlarm, "false_alarm_moving", "must be between false_alarm and 1")
	checks.Refuse(!isPart(c.Miss), "miss", "must be between 0 and 1")
	checks.Refuse(len(c.BadShares) == 0 || !areParts(c.BadShares), "bad_shares", "must be between 0 and 1, at least one")
	checks.Refuse(!isPart(c.LeastBadShare), "least_bad_share", "must be between 0 and 1")
	checks.Refuse(!isPart(c.LeastSlowShare), "least_slow_share", "must be between 0 and 1")
	checks.Refuse(!areAtLeastOne(c.SlowFactors), "slow_factors", "must be at least 1")
	checks.Refuse(c.Way < 0, "way", "must not be negative")
	checks.Refuse(!isPart(c.LeafPart), "leaf_part", "must be between 0 and 1")
	checks.Refuse(c.Alike < 0 || c.Alike > 1, "alike", "must be between 0 and 1")
	checks.Refuse(c.Moment <= 0, "moment", "must be positive")
	checks.Refuse(c.ColdFor < 0, "cold_for", "must not be negative")
	checks.Refuse(c.ColdFactor < 1, "cold_factor", "must be at least 1")
	checks.Refuse(c.Recent <= 0, "recent", "must be positive")
	checks.Refuse(c.Settle < 0, "settle", "must not be negative")
	checks.Refuse(!isPart(c.GoodFrom), "good_from", "must be between 0 and 1")
	checks.Refuse(!isPart(c.GoodByLittle) || c.GoodByLittle < c.GoodFrom, "good_by_little", "must be between good_from and 1")
	checks.Refuse(c.LeastAnswers < 1, "least_answers", "must be at least 1")
	return checks.Err()
}

func isPart(part float64) bool { return part > 0 && part < 1 }

func areParts(parts []float64) bool {
	for _, part := range parts {
		if !isPart(part) {
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
