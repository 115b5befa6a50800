// Package machines defines the interface to the platform's list of machines. The list may be out of date. CatalogLister
// implements the interface from the registered nodes in the configuration, for platforms without such a list. The package
// owns no state; its errors are the errors of the platform's client.
package machines

import "context"

type State string

const (
	Live    State = "live"
	Leaving State = "leaving"
)

type Role string

const (
	RoleNode Role = "node"
	RoleLeaf Role = "leaf"
)

// Machine is one entry of the list.
type Machine struct {
	ID      string
	Address string
	Zone    string
	State   State
	Role    Role
}

// List is the requested part of the machine list, and the list's version.
type List struct {
	Machines []Machine
	Version  uint64
	// Unchanged is true, and Machines empty, if Query.KnownVersion is current.
	Unchanged bool
}

// Query selects a part of the list.
type Query struct {
	// Zone and Role restrict the list if they are not empty.
	Zone string
	Role Role
	// MaxPerZone bounds the number of machines per zone, which are chosen at random; 0 means all.
	MaxPerZone uint32
	// KnownVersion is the version that the caller has.
	KnownVersion uint64
}

// Lister reads the machine list. The whole list of a large fleet is too large to read often, so callers request the part
// that they need.
type Lister interface {
	ListMachines(ctx context.Context, query Query) (List, error)
}
