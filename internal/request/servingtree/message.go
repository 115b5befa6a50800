// Package servingtree lets a node have a part of a gathered request done by another: the root, which
// took the request from its caller, asks an intermediate for a group of shards; that asks their leafs,
// merges what they give and sends it back as one. There is one level: an intermediate never passes on.
//
// Between the two are standing connections that carry JSON lines, many requests on one. The package
// carries requests and answers; who asks whom, and what happens when one is silent, is decided by
// package gateway.
package servingtree

import (
	"net/http"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
)

// Request is a group of shards of a gathered request, as a root passes it on.
type Request struct {
	// ID is the caller's own id of its try.
	ID     string `json:"id"`
	Method string `json:"method"`
	// Target is the path and query exactly as the caller sent them.
	Target  string      `json:"target"`
	Host    string      `json:"host"`
	Header  http.Header `json:"header,omitempty"`
	Body    []byte      `json:"body,omitempty"`
	HasBody bool        `json:"has_body,omitempty"`
	// Caller is the network address that the request came from at the root.
	Caller string `json:"caller,omitempty"`
	// Root is the id of the node that asks.
	Root string `json:"root"`
	// GatherKey is that of the route that the root pinned the request to, see routing.Entry.
	GatherKey uint64 `json:"gather_key"`
	// Shards are the services that are asked for, as indices into the route's; Required is how many
	// of them an answer needs at least.
	Shards   []int `json:"shards"`
	Required int   `json:"required"`
	// Spent is how many of the route's attempts may have been made at each shard by another
	// intermediate, which gave no answer. What is asked then is a repeat.
	Spent int `json:"spent,omitempty"`
	// ObjectiveMicros is the time left until the answer must be given back to have its full worth;
	// DeadlineMicros, until it is of no use.
	ObjectiveMicros int64 `json:"objective_micros"`
	DeadlineMicros  int64 `json:"deadline_micros"`
	// RoundTrip is what the one who asks has taken off the objective for the ways there and back.
	RoundTrip time.Duration `json:"-"`
}

// mostWays is the part of the time left, as a divisor, that ways may take up beyond what was thought.
const mostWays = 4

// after gives the request as it is sent some time after it was put, over ways that take so long.
func (a Request) after(waited, ways time.Duration) Request {
	a.ObjectiveMicros -= waited.Microseconds()
	longer := max(0, ways-a.RoundTrip).Microseconds()
	a.ObjectiveMicros -= min(longer, max(0, a.ObjectiveMicros/mostWays))
	a.DeadlineMicros -= waited.Microseconds()
	return a
}

// Answer is what the leafs of a group gave.
type Answer struct {
	// Stamps are the signatures of the parts, one for each shard that was asked for; empty for those
	// that are missing.
	Stamps []string `json:"stamps"`
	// Records are the greatest ones of all parts together.
	Records []byte `json:"records,omitempty"`
}

// Failure is why there is no answer.
type Failure struct {
	Code             failure.Code           `json:"code"`
	Execution        failure.ExecutionState `json:"execution"`
	Message          string                 `json:"message"`
	RetryAfterMicros int64                  `json:"retry_after_micros,omitempty"`
	// CrashedLeafs are those whose process ended while they worked on the request.
	CrashedLeafs []string `json:"ended_leafs,omitempty"`
}

// Err gives the failure as an error.
func (f *Failure) Err() error {
	failed := failure.New(f.Code, f.Execution, "%s", f.Message)
	if f.RetryAfterMicros > 0 {
		failed = failed.WithRetryAfter(time.Duration(f.RetryAfterMicros) * time.Microsecond)
	}
	return failed
}

// NewFailure gives an error as the root is told of it.
func NewFailure(err error) *Failure {
	failed := failure.From(err)
	return &Failure{Code: failed.Code, Execution: failed.Execution, Message: failed.Message, RetryAfterMicros: failed.RetryAfter.Microseconds()}
}

// Decline says why an intermediate did not begin with a request.
type Decline string

// The reasons to decline; after each of them nothing has run.
const (
	// Leaving means that the node is about to stop.
	Leaving Decline = "LEAVING"
	// Busy means that the node has too much to do.
	Busy Decline = "BUSY"
	// OtherRoute means that the node does not gather the route as the root does: it has another
	// routing table in force.
	OtherRoute Decline = "OTHER_ROUTE"
)

// Reply is what an intermediate gives back; exactly one of the first three is set.
type Reply struct {
	Answer  *Answer  `json:"answer,omitempty"`
	Failure *Failure `json:"failure,omitempty"`
	Decline Decline  `json:"decline,omitempty"`
	// Partial says that the answer holds what is in so far, and that another reply with the rest
	// follows.
	Partial bool `json:"partial,omitempty"`
	// TookMicros is how long the intermediate had the request.
	TookMicros int64 `json:"took_micros,omitempty"`
}

// version is that of the lines; a node that speaks another ends the connection.
const version = 1

// line is one line in either direction. A root sends Request, Probe or Cancel, an intermediate
// Accepted or Reply.
type line struct {
	Version int `json:"v"`
	// Number tells the requests of a connection apart.
	Number uint64 `json:"n"`

	Request *Request `json:"ask,omitempty"`
	Probe   bool     `json:"probe,omitempty"`
	Cancel  bool     `json:"cancel,omitempty"`

	// Accepted says that the node is at work on the request.
	Accepted bool   `json:"accepted,omitempty"`
	Reply    *Reply `json:"reply,omitempty"`
}
