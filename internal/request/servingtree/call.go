package servingtree

import (
	"sync/atomic"
	"time"
)

// Call is one request to one intermediate.
type Call struct {
	session *session
	number  uint64
	request *Request
	began   time.Time
	// waited is how long the request waited for its connection, in nanoseconds.
	waited  atomic.Int64
	acks    chan struct{}
	partial chan Answer
	done    chan Result

	// The rest is guarded by the session's mutex.

	progress  progress
	isGivenUp bool // while its line was being written
}

// Result is how a call ended: a reply, or a *NeverSentError or *BrokenError.
type Result struct {
	Reply Reply
	Err   error
}

// progress is how far the line with a call's request is.
type progress int

const (
	waiting progress = iota // for its connection: nothing was sent
	writing
	written
)

func newCall(request Request) *Call {
	return &Call{request: &request, began: time.Now(), acks: make(chan struct{}, 1), partial: make(chan Answer, 1), done: make(chan Result, 1)}
}

// Acks receives a value when the intermediate has acknowledged the request or a probe.
func (c *Call) Acks() <-chan struct{} { return c.acks }

// Partial receives the parts that the intermediate sends before its reply is complete, at most once.
func (c *Call) Partial() <-chan Answer { return c.partial }

// Done receives the result, once.
func (c *Call) Done() <-chan Result { return c.done }

// Waited returns how long the request waited for its connection; 0 until it was sent.
func (c *Call) Waited() time.Duration { return time.Duration(c.waited.Load()) }

// Probe asks the intermediate to acknowledge that it is still gathering the group. It blocks for the write timeout at most.
func (c *Call) Probe() {
	if c.session != nil {
		c.session.send(line{Number: c.number, Probe: true})
	}
}

// Cancel ends a call whose reply nobody waits for. It reports whether the request may have reached the intermediate:
// false guarantees that it has not and never will.
func (c *Call) Cancel() bool {
	if c.session == nil {
		return false
	}
	reached, isInFlight := c.session.giveUp(c)
	if isInFlight && reached == written {
		c.session.send(line{Number: c.number, Cancel: true})
	}
	return reached != waiting
}
