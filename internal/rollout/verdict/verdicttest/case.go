// Package verdicttest plays a spec that moves a service to a new version in virtual time, for tests of package
// verdict: it draws arrivals and latencies from a seed, divides the requests between the two versions as nodes do,
// injects faults of the version and incidents that are not its fault, and passes the counts to an Evaluator. It
// starts no goroutine, reads no clock and sends nothing.
package verdicttest

import "time"

// Incident is a disturbance that is not the new version's fault. Cold leafs and pauses occur in all cases.
type Incident string

// The incidents. Those of one leaf affect a leaf of the canary version, except OldGrayLeaf.
const (
	None        Incident = "none"
	DeadLeaf    Incident = "dead leaf"
	SlowLeaf    Incident = "slow leaf"
	GrayLeaf    Incident = "grey leaf"
	Flapping    Incident = "flapping leaf"
	ZoneCut     Incident = "zone cut"
	Burst       Incident = "burst"
	BothFail    Incident = "both fail"
	OldGrayLeaf Incident = "old leaf grey"
	NoReports   Incident = "no reports"
)

// Incidents returns all incidents.
func Incidents() []Incident {
	return []Incident{None, DeadLeaf, SlowLeaf, GrayLeaf, Flapping, ZoneCut, Burst, BothFail, OldGrayLeaf, NoReports}
}

// Fault is what is wrong with a version; a good version has the zero value.
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
	// UnderLoad limits the fault to leafs that receive as many requests as in full service.
	UnderLoad bool
}

// IsBad reports whether there is a fault.
func (f Fault) IsBad() bool { return f.Failing > 0 || f.Slow > 1 }

// Case is a service with a spec.
type Case struct {
	Name string
	// PerSecond is the rate of requests to the service.
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
