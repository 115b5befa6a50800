// Package machines is the interface to the platform's list of machines, which lags behind reality. CatalogLister
// implements it from the registered nodes in the configuration, for platforms without such a list. The package
// owns no state; errors are those of the platform's client.
package machines

import "context"

// State is the state of a machine as the platform reports it.
type State string

// The states of a machine.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Role says what runs on a machine.
type Role string

// The roles of a machine.
const (
	RoleNode Role = "node"
	RoleLeaf Role = "leaf"
)

// Machine is one line of the list.
type Machine struct {
	ID      string
	Address string
	Zone    string
	State   State
	Role    Role
}

// List is the requested part of the machine list at a version.
type List struct {
	Machines []Machine
	Version  uint64
	// Unchanged is set, and Machines left out, when the caller's version is current.
	Unchanged bool
}

// Query selects a part of the list.
type Query struct {
	// Zone and Role narrow the list when set.
	Zone string
	Role Role
	// MostPerZone bounds the machines returned of each zone, picked at random; 0 means all.
	MostPerZone uint32
	// KnownVersion is the version the caller has.
	KnownVersion uint64
}

// Lister reads the machine list. At full size the whole list is too large to read often, so
// callers ask for the part they need.
type Lister interface {
	ListMachines(ctx context.Context, query Query) (List, error)
}
