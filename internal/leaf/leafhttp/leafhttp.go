// Package leafhttp sends requests to leafs over HTTP/1.1, on connections that it owns.
//
// Each connection carries one request at a time. An answer is accepted only whole and with the id of the request that
// it is for; a connection is used again only if nothing follows the answer. Nothing is ever sent twice from here: the
// caller learns from the typed errors what is known about the execution, and decides.
//
// A Pool owns the connections of a node, one goroutine per connection that reads it, and the checks of whether a leaf's
// process has exited. How many connections there may be is decided by package connshare and passed in each Target. Idle
// times are by the runtime's clock, which stands still while the machine is suspended; see Pool.Resumed.
package leafhttp

import (
	"cmp"
	"net/http"
)

// Target is the leaf that an attempt goes to.
type Target struct {
	// LeafID identifies one incarnation of the leaf.
	LeafID string
	// Name is what the leaf calls itself: it refuses requests meant for another. Empty if the id is its name.
	Name    string
	Address string
	// Connections is how many this node is allotted at the leaf.
	Connections int
	// ExtraConnections is how many more it may open while the leaf accepts them.
	ExtraConnections int
}

// expectedName returns the name that the leaf must have to accept a request.
func (t Target) expectedName() string { return cmp.Or(t.Name, t.LeafID) }

// Request is what a leaf is sent. It is shared by all attempts and never modified.
type Request struct {
	// ID is the caller's own id of the request.
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	// Header holds the caller's headers that are forwarded, see ForwardedHeaders.
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
}

// Response is a whole answer of the leaf that was asked.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotExecuted says that the leaf reports that it did not run the request.
	NotExecuted bool
	// Load is the load that the leaf reported; nil if it reported none.
	Load *Load
	// Leaving says that the leaf asked for its connection to be closed.
	Leaving bool
}

// Load is how busy a leaf is by its own report, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
