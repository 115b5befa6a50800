// Package rollouts has the versions, good and bad, that stand-in leafs run in roll-outs over real nodes, and the view that
// leafs and operators had of a roll-out order, on which its promises are checked.
//
// A Version records the requests that its leafs received. It relies on package httpleaf and starts nothing.
package rollouts

import "time"

// Fault is what is wrong with a version; a good version has the zero value.
type Fault struct {
	Name string
	// Failing is the share of answers that are failures, from 0 to 1.
	Failing float64
	// Slower multiplies the service time; 0 means 1.
	Slower float64
	// After is the time from the order until the fault shows.
	After time.Duration
	// AtOnce and PerSecond are the requests at a time, and a second, up to which a leaf shows no fault; 0 means that it
	// always does.
	AtOnce, PerSecond int
	// Prefix limits the fault to paths with this prefix; empty means all paths.
	Prefix string
}

// IsBad reports whether there is a fault.
func (f Fault) IsBad() bool { return f.Failing > 0 || f.Slower > 1 }

// String returns the fault's name.
func (f Fault) String() string {
	if !f.IsBad() {
		return "good"
	}
	return f.Name
}

// Faults returns the faults that are played. One of them shows only on paths with a prefix.
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
