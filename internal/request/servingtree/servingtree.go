// Package servingtree carries groups of shards between nodes. The root, the node that a caller asked, sends a group of
// shards of a gathered request to an intermediate; that asks their leafs, merges their parts and replies with one answer.
// The tree has one level: an intermediate does not pass the group on. Package gateway decides who asks whom, and when to
// give up on a node.
//
// Messages are lines of JSON on persistent TCP connections, with many requests in flight on each. A Client owns one
// connection to each intermediate, with a goroutine that reads it; a Server owns the connections of roots, with a
// goroutine for each connection and each request. The package relies on package roundtrip for the round-trip times of
// connections. A call ends with a reply, a *NeverSentError, which guarantees that nothing has run, or a *BrokenError.
package servingtree

import (
	"net/http"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Request asks an intermediate for a group of shards of a gathered request.
type Request struct {
	// ID is the caller's id of the request.
	ID     string `json:"id"`
	Method string `json:"method"`
	// Target is the path and query as the caller sent them.
	Target  string      `json:"target"`
	Host    string      `json:"host"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	HasBody bool        `json:"has_body,omitempty"`
	// Caller is the network address that the request came from at the root.
	Caller string `json:"caller,omitempty"`
	// Root is the id of the node that sends the group.
	Root string `json:"root"`
	// GatherKey is that of the route at the root; see routing.Entry.
	GatherKey uint64 `json:"gather_key"`
	// Shards are indices into the route's services; Required is the least number of parts that the answer must have.
	Shards   []int `json:"shards"`
	Required int   `json:"required"`
	// Spent is how many of the route's attempts at each shard may have been made by another intermediate, which
	// returned no answer.
	Spent int `json:"spent,omitempty"`
	// ObjectiveMicros is the time left until the answer must be sent back to have its full worth; DeadlineMicros, until
	// the request is given up. Both are microseconds.
	ObjectiveMicros int64 `json:"objective_micros"`
	DeadlineMicros  int64 `json:"deadline_micros"`
	// RoundTrip is what the root has taken off the objective for the round trip to the intermediate.
	RoundTrip time.Duration `json:"-"`
}

// excessDivisor bounds what is taken off the objective for a round trip that is longer than expected: a quarter of it.
const excessDivisor = 4

// sentAfter returns the request as it is sent after it has waited for its connection, whose round trip is measured. It
// is reduced by the wait, and the objective by the part of the round trip that RoundTrip does not cover.
func (r Request) sentAfter(waited, roundTrip time.Duration) Request {
	r.ObjectiveMicros -= waited.Microseconds()
	excess := max(0, roundTrip-r.RoundTrip).Microseconds()
	r.ObjectiveMicros -= min(excess, max(0, r.ObjectiveMicros/excessDivisor))
	r.DeadlineMicros -= waited.Microseconds()
	return r
}

// Answer has the merged parts of a group.
type Answer struct {
	// Stamps are the signatures of the parts, by shard of the group; empty for missing parts.
	Stamps []string `json:"stamps"`
	// Records are the greatest records of all parts.
	Records []byte `json:"records,omitempty"`
}

// Failure says why there is no answer.
type Failure struct {
	Code             failure.Code           `json:"code"`
	Execution        failure.ExecutionState `json:"execution"`
	Message          string                 `json:"message"`
	RetryAfterMicros int64                  `json:"retry_after_micros,omitempty"`
	// CrashedLeafs are the leafs that crashed during the request.
	CrashedLeafs []string `json:"ended_leafs,omitempty"`
}

// Err returns the failure as a *failure.Failure.
func (f *Failure) Err() error {
	failed := failure.New(f.Code, f.Execution, "%s", f.Message)
	if f.RetryAfterMicros > 0 {
		failed = failed.WithRetryAfter(time.Duration(f.RetryAfterMicros) * time.Microsecond)
	}
	return failed
}

// NewFailure converts an error.
func NewFailure(err error) *Failure {
	failed := failure.From(err)
	return &Failure{Code: failed.Code, Execution: failed.Execution, Message: failed.Message, RetryAfterMicros: failed.RetryAfter.Microseconds()}
}

// Decline says why an intermediate did not begin with a request.
type Decline string

// The reasons to decline a request. Nothing of it has run.
const (
	// Leaving means that the node is stopping.
	Leaving Decline = "LEAVING"
	// Busy means that the node has as many requests in flight as it may.
	Busy Decline = "BUSY"
	// OtherRoute means that the node would gather the route differently from the root, since it has another routing table
	// in force.
	OtherRoute Decline = "OTHER_ROUTE"
)

// Reply is the reply of an intermediate; exactly one of Answer, Failure and Decline is set.
type Reply struct {
	Answer  *Answer  `json:"answer,omitempty"`
	Failure *Failure `json:"failure,omitempty"`
	Decline Decline  `json:"decline,omitempty"`
	// Partial means that the answer has the parts that have arrived so far, and that another reply with the rest follows.
	Partial bool `json:"partial,omitempty"`
	// TookMicros is how long the intermediate took to answer the request, in microseconds.
	TookMicros int64 `json:"took_micros,omitempty"`
}

// version is the version of the line format; a node that uses another one ends the connection.
const version = 1

// line is one message. A root sends Request, Probe or Cancel; an intermediate sends Accepted or Reply.
type line struct {
	Version int `json:"v"`
	// Number identifies a request on its connection.
	Number uint64 `json:"n"`

	Request *Request `json:"ask,omitempty"`
	Probe   bool     `json:"probe,omitempty"`
	Cancel  bool     `json:"cancel,omitempty"`

	// Accepted acknowledges a Request or a Probe: the node is gathering the group.
	Accepted bool   `json:"accepted,omitempty"`
	Reply    *Reply `json:"reply,omitempty"`
}
