// Package rollouts has what the lab needs to play roll-outs over real nodes: the versions that stand-in leafs run,
// good and bad ones, and what an order looked like from the leafs and the store.
package rollouts

import "time"

// Fault is how a version is bad; the zero value is a good version.
type Fault struct {
	Name string
	// Failing is the part of the answers that fail, from 0 to 1.
	Failing float64
	// Slower is how many times longer a leaf works on a request; 0 means as long as the others.
	Slower float64
	// After is how long after the order the version turns bad.
	After time.Duration
	// AtOnce and PerSecond are how many requests a leaf bears; 0 means any number.
	AtOnce, PerSecond int
	// Prefix is that of the only paths on which the version is bad; empty means all.
	Prefix string
}

// IsBad reports whether there is any fault.
func (f Fault) IsBad() bool { return f.Failing > 0 || f.Slower > 1 }

// String gives the fault's name.
func (f Fault) String() string {
	if !f.IsBad() {
		return "good"
	}
	return f.Name
}

// Faults are the sorts of bad versions that are played; a path begins with prefix on the route that one fails on.
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
