// Package leafhttp sends requests to leafs over HTTP/1.1, on connections that it owns.
//
// Each connection carries one request at a time, and the same request only once. An answer is accepted only if it is
// complete and carries the ID of the request. A connection is reused only if no bytes follow the answer. The package never
// retries: its typed errors tell the caller whether the leaf may have run the request.
//
// A Pool owns a node's connections, one reading goroutine per connection, and the checks that determine whether a
// leaf's process has exited. Package connshare determines the maximum number of connections, which is passed in each
// Target. Idle times are measured with the runtime's clock, which stops while the machine is suspended; see
// Pool.Resumed.
package leafhttp

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Target is the leaf to which an attempt is sent.
type Target struct {
	// LeafID identifies one incarnation of the leaf.
	LeafID string
	// Name is the leaf's own name; the leaf refuses requests for any other name. If empty, the name is LeafID.
	Name    string
	Address string
	// Connections is the number of connections to the leaf that this node is allotted.
	Connections int
	// ExtraConnections is the number of connections that the node may open beyond its allotment while the leaf accepts
	// them.
	ExtraConnections int
}

// expectedName returns the name under which the leaf accepts requests.
func (t Target) expectedName() string { return cmp.Or(t.Name, t.LeafID) }

// Request is a request to a leaf. It is shared by all attempts, through the same pointer, and must not be modified.
type Request struct {
	// ID is the request ID assigned by the caller.
	ID     string
	Method string
	// Target is the path and query, exactly as the caller sent them.
	Target string
	Host   string
	// Header holds the headers to forward; see ForwardedHeaders.
	Header http.Header
	Body   []byte
	// HasBody says that the caller sent a body, even an empty one.
	HasBody bool
	// AtMostOnce says that the request must not run twice.
	AtMostOnce bool
	// Memory keeps the memory of the answers until the request ends; if it is nil, an answer's memory is accounted for
	// only while the answer is read.
	Memory *memorybudget.Hold

	// carriers are the connections that were assigned to an attempt. It is guarded by the pool's mu.
	carriers []*connection
}

// wasCarriedBy reports whether a connection was assigned to an attempt of the request. The request isn't sent on such a
// connection again: a leaf may send an answer once more, late, and only the ID tells which request it answers. The pool's
// mu must be held.
func (r *Request) wasCarriedBy(c *connection) bool { return slices.Contains(r.carriers, c) }

// Response is a complete answer of a leaf.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// NotExecuted says that the leaf reported that it did not run the request.
	NotExecuted bool
	// Load is the load that the leaf reported; nil if it reported none.
	Load *Load
	// CloseConnection says that the leaf requested that the connection be closed.
	CloseConnection bool
}

// Load is the load that a leaf reports, in requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}
