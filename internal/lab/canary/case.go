// Package canary plays the answers of two versions of a service in virtual time, as a model to weigh ways of
// telling a bad version from an unlucky one. It sends nothing and decides nothing but what each request is sent to.
package canary

import "time"

// Mishap is something that happens to a service through no fault of its new version. Cold leafs and pauses happen in
// all cases.
type Mishap string

// The mishaps. Those of one leaf happen to one of the version on trial.
const (
	None      Mishap = "none"
	DeadLeaf  Mishap = "dead leaf"
	SlowLeaf  Mishap = "slow leaf"
	GreyLeaf  Mishap = "grey leaf"
	Flapping  Mishap = "flapping leaf"
	ZoneCut   Mishap = "zone cut"
	Burst     Mishap = "burst"
	BothFail  Mishap = "both fail"
	OldGrey   Mishap = "old leaf grey"
	NoReports Mishap = "no reports"
)

// Mishaps gives all of them.
func Mishaps() []Mishap {
	return []Mishap{None, DeadLeaf, SlowLeaf, GreyLeaf, Flapping, ZoneCut, Burst, BothFail, OldGrey, NoReports}
}

// Fault is what a bad version does; the zero fault is that of a good one.
type Fault struct {
	// Failing is the share of answers that are failures.
	Failing float64
	// Slow is how many times longer a SlowShare of the answers takes.
	Slow      float64
	SlowShare float64
	// From is the part of the order from which the fault shows.
	From float64
	// LastRoute limits it to the last of the routes.
	LastRoute bool
	// UnderLoad limits it to leafs that get as many requests as in full service.
	UnderLoad bool
}

// IsBad reports whether there is a fault.
func (f Fault) IsBad() bool { return f.Failing > 0 || f.Slow > 1 }

// Case is a service with an order.
type Case struct {
	Name string
	// PerSecond is the requests of the service.
	PerSecond float64
	// Leafs is those of each version.
	Leafs    int
	Routes   int
	Duration time.Duration
	Fault    Fault
	Mishap   Mishap
}

// with gives the case with what a zero value leaves open.
func (c Case) withDefaults() Case {
	c.Routes = max(c.Routes, 1)
	if c.Leafs == 0 {
		c.Leafs = 3
	}
	if c.Duration == 0 {
		c.Duration = 12 * time.Second
	}
	if c.Mishap == "" {
		c.Mishap = None
	}
	return c
}
