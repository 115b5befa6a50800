// Package servingtree sends groups of shards from one node to another. The root, the node that received the caller's
// request, sends a group of shards of a gathered request to an intermediate node. The intermediate queries the leafs of
// the group, merges their parts and replies with one answer. The tree has one level: an intermediate does not forward the
// group. Package gateway selects the intermediates and decides when a call times out.
//
// Messages are lines of JSON on persistent TCP connections, with many requests in flight on each. A Client owns one
// connection to each intermediate, with a goroutine that reads it. A Server owns the connections of the roots, with a
// goroutine for each connection and each request. Package roundtrip supplies the round-trip times of the connections. A
// call ends with a reply, a *NeverSentError, which guarantees that nothing has run, or a *BrokenError.
package servingtree

import (
	"net/http"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Request is the request to an intermediate for a group of shards of a gathered request.
type Request struct {
	// ID is the caller's ID of the request.
	ID     string `json:"id"`
	Method string `json:"method"`
	// Target is the path and the query string as the caller sent them.
	Target  string      `json:"target"`
	Host    string      `json:"host"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	HasBody bool        `json:"has_body,omitempty"`
	// Caller is the network address from which the root received the request.
	Caller string `json:"caller,omitempty"`
	// Root is the ID of the node that sends the group.
	Root string `json:"root"`
	// GatherKey is the gather key of the route at the root; see routing.Entry.
	GatherKey uint64 `json:"gather_key"`
	// Shards are indices into the route's services; Required is the minimum number of parts in the answer.
	Shards   []int `json:"shards"`
	Required int   `json:"required"`
	// Spent is the number of the route's attempts per shard that another intermediate, which returned no answer, may
	// have made.
	Spent int `json:"spent,omitempty"`
	// ObjectiveMicros is the time left to send the answer within the latency objective, DeadlineMicros the time left
	// until the request times out. Both are in microseconds.
	ObjectiveMicros int64 `json:"objective_micros"`
	DeadlineMicros  int64 `json:"deadline_micros"`
	// RoundTrip is the time by which the root has reduced the objective for the round trip to the intermediate.
	RoundTrip time.Duration `json:"-"`
	// Memory keeps the memory of the replies until the request ends at the root; it may be nil.
	Memory *memorybudget.Hold `json:"-"`
}

// excessDivisor limits the reduction of the objective for an unexpectedly long round trip to a quarter of the time
// left.
const excessDivisor = 4

// adjustTimes returns the request with its times reduced by the wait for the connection, and the objective also by the
// excess of the measured round trip over RoundTrip.
func (r Request) adjustTimes(waited, roundTrip time.Duration) Request {
	r.ObjectiveMicros -= waited.Microseconds()
	excess := max(0, roundTrip-r.RoundTrip).Microseconds()
	r.ObjectiveMicros -= min(excess, max(0, r.ObjectiveMicros/excessDivisor))
	r.DeadlineMicros -= waited.Microseconds()
	return r
}

// Answer is the merged answer of a group.
type Answer struct {
	// Stamps are the signatures of the parts, in the order of Request.Shards; empty for missing parts.
	Stamps []string `json:"stamps"`
	// Records are the greatest records of all parts.
	Records []byte `json:"records,omitempty"`
}

// Failure is the reason why a group has no answer.
type Failure struct {
	Code             failure.Code           `json:"code"`
	Execution        failure.ExecutionState `json:"execution"`
	Message          string                 `json:"message"`
	RetryAfterMicros int64                  `json:"retry_after_micros,omitempty"`
	// CrashedLeafs are the leafs that crashed during the request.
	CrashedLeafs []string `json:"ended_leafs,omitempty"`
}

// Err converts f to a *failure.Failure.
func (f *Failure) Err() error {
	failed := failure.New(f.Code, f.Execution, "%s", f.Message)
	if f.RetryAfterMicros > 0 {
		failed = failed.WithRetryAfter(time.Duration(f.RetryAfterMicros) * time.Microsecond)
	}
	return failed
}

// NewFailure converts an error to a Failure.
func NewFailure(err error) *Failure {
	failed := failure.From(err)
	return &Failure{Code: failed.Code, Execution: failed.Execution, Message: failed.Message, RetryAfterMicros: failed.RetryAfter.Microseconds()}
}

// Decline is the reason why an intermediate did not start a request.
type Decline string

// The reasons to decline a request. No part of a declined request has run.
const (
	// Stopping means that the node is stopping.
	Stopping Decline = "LEAVING"
	// Busy means that the node has the maximum number of requests in flight.
	Busy Decline = "BUSY"
	// OtherRoute means that the node would gather the route differently from the root, since it uses another routing
	// table.
	OtherRoute Decline = "OTHER_ROUTE"
)

// Reply is the reply of an intermediate; exactly one of Answer, Failure and Decline is set.
type Reply struct {
	Answer  *Answer  `json:"answer,omitempty"`
	Failure *Failure `json:"failure,omitempty"`
	Decline Decline  `json:"decline,omitempty"`
	// Partial is true if the answer has the parts that have arrived so far and another reply with the remaining parts
	// follows.
	Partial bool `json:"partial,omitempty"`
	// TookMicros is the time that the intermediate took to handle the request, in microseconds.
	TookMicros int64 `json:"took_micros,omitempty"`
}

// version is the version of the line format; a line of another version ends the connection.
const version = 1

// line is one message. A root sends Request, Probe or Cancel; an intermediate sends Accepted or Reply.
type line struct {
	Version int `json:"v"`
	// Number identifies a request within its connection.
	Number uint64 `json:"n"`

	Request *Request `json:"ask,omitempty"`
	Probe   bool     `json:"probe,omitempty"`
	Cancel  bool     `json:"cancel,omitempty"`

	// Accepted acknowledges a Request or a Probe: the intermediate is gathering the group.
	Accepted bool   `json:"accepted,omitempty"`
	Reply    *Reply `json:"reply,omitempty"`
}
