// Package rollouts implements the good and bad versions that stand-in leafs run in rollouts over real nodes, and the
// records of leafs and operators against which the guarantees about a rollout are checked.
//
// A Version records the requests that its leafs receive. It depends on package httpleaf and starts no goroutines or processes.
package rollouts

import "time"

// Fault describes the fault of a version. The zero value is a good version.
type Fault struct {
	Name string
	// Failing is the fraction of answers that are failures, from 0 to 1.
	Failing float64
	// Slower multiplies the service time; 0 means 1.
	Slower float64
	// After is the time from the start of the rollout until the fault occurs.
	After time.Duration
	// AtOnce and PerSecond are the numbers of concurrent requests and of requests per second up to which a leaf has no fault;
	// 0 sets no threshold.
	AtOnce, PerSecond int
	// Prefix limits the fault to paths with this prefix; empty means all paths.
	Prefix string
}

func (f Fault) IsBad() bool { return f.Failing > 0 || f.Slower > 1 }

// String returns the fault's name, or "good" if there is none.
func (f Fault) String() string {
	if !f.IsBad() {
		return "good"
	}
	return f.Name
}

// Faults returns the faults of bad versions. One of them is limited to paths with the given prefix.
func Faults(prefix string) []Fault {
	return []Fault{
		{Name: "fails at once", Failing: 0.3},
		{Name: "fails later", Failing: 0.4, After: 4 * time.Second},
		{Name: "fails above some at once", Failing: 0.5, AtOnce: 1},
		{Name: "fails above some a second", Failing: 0.6, PerSecond: 4},
		{Name: "fails on one route", Failing: 0.5, Prefix: prefix},
		{Name: "several times slower", Slower: 6},
	}
}
