// Package machines is the interface to the platform's list of machines, which lags.
package machines

import "context"

// State is the platform's word on a machine.
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

// List is the content of the machine list at a version.
type List struct {
	Machines []Machine
	Version  int64
	// Unchanged is set, and Machines left out, when the caller's version is current.
	Unchanged bool
}

// Lister reads the machine list; an empty zone means all zones.
type Lister interface {
	ListMachines(ctx context.Context, zone string, knownVersion int64) (List, error)
}
