// Package verdicttest simulates rollouts in virtual time for tests of package verdict. It generates arrivals and
// latencies from a seed, splits the requests between the two versions like the nodes do, injects faults of the canary
// and incidents that it does not cause, and passes the counts to an Evaluator. It starts no goroutine and reads no
// clock.
package verdicttest

import "time"

// Incident is a disturbance that is not caused by the canary version. Cold leafs and pauses occur in all cases.
type Incident string

// The incidents. Those of a single leaf affect a canary leaf; OldGrayLeaf affects a serving leaf.
const (
	None        Incident = "none"
	DeadLeaf    Incident = "dead leaf"
	SlowLeaf    Incident = "slow leaf"
	GrayLeaf    Incident = "gray leaf"
	Flapping    Incident = "flapping leaf"
	ZoneCut     Incident = "zone cut"
	Burst       Incident = "burst"
	BothFail    Incident = "both fail"
	OldGrayLeaf Incident = "old leaf gray"
	NoReports   Incident = "no reports"
)

// Incidents returns all incidents.
func Incidents() []Incident {
	return []Incident{None, DeadLeaf, SlowLeaf, GrayLeaf, Flapping, ZoneCut, Burst, BothFail, OldGrayLeaf, NoReports}
}

// Fault is a fault of the canary version. The zero value is a good version.
type Fault struct {
	// Failing is the share of answers that are failures.
	Failing float64
	// Slow multiplies the latency of a SlowShare of the answers.
	Slow      float64
	SlowShare float64
	// From is the fraction of the spec's duration after which the fault shows.
	From float64
	// LastRoute limits the fault to the last route.
	LastRoute bool
	// UnderLoad limits the fault to leafs under full load.
	UnderLoad bool
}

// IsBad reports whether there is a fault.
func (f Fault) IsBad() bool { return f.Failing > 0 || f.Slow > 1 }

// Case is a simulated rollout of a service.
type Case struct {
	Name string
	// PerSecond is the rate of requests to the service, per second.
	PerSecond float64
	// Leafs is the number of leafs of each version.
	Leafs    int
	Routes   int
	Duration time.Duration
	Fault    Fault
	Incident Incident
}

// withDefaults returns the case with defaults in place of zero values.
func (c Case) withDefaults() Case {
	c.Routes = max(c.Routes, 1)
	if c.Leafs == 0 {
		c.Leafs = 3
	}
	if c.Duration == 0 {
		c.Duration = 12 * time.Second
	}
	if c.Incident == "" {
		c.Incident = None
	}
	return c
}
