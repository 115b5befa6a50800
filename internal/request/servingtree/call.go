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
	// waited is the time that the request waited for its connection, in nanoseconds.
	waited  atomic.Int64
	acks    chan struct{}
	partial chan Answer
	done    chan Result

	// The following fields are guarded by the session's mutex.

	progress    progress
	isCancelled bool // possibly while its line was being written
}

// Result is the result of a call: a reply, or an error that is a *NeverSentError or a *BrokenError.
type Result struct {
	Reply Reply
	Err   error
}

// progress says how far the request line of a call has been sent.
type progress int

const (
	waiting progress = iota // for the connection; nothing was sent
	writing
	written
)

func newCall(request Request) *Call {
	return &Call{request: &request, began: time.Now(), acks: make(chan struct{}, 1), partial: make(chan Answer, 1), done: make(chan Result, 1)}
}

// Acks returns a channel that receives a value when the intermediate acknowledges the request or a probe. Further
// acknowledgments are dropped until the value is received.
func (c *Call) Acks() <-chan struct{} { return c.acks }

// Partial returns a channel that receives, at most once, the parts that the intermediate sends before the final reply.
func (c *Call) Partial() <-chan Answer { return c.partial }

// Done returns a channel that receives the result once, unless the call is cancelled.
func (c *Call) Done() <-chan Result { return c.done }

// Waited returns the time that the request waited for its connection; 0 until the request is sent.
func (c *Call) Waited() time.Duration { return time.Duration(c.waited.Load()) }

// Probe requests an acknowledgment that the intermediate is still gathering the group. It blocks for at most the write
// timeout.
func (c *Call) Probe() {
	if c.session != nil {
		c.session.send(line{Number: c.number, Probe: true})
	}
}

// Cancel cancels a call whose reply is no longer needed. It reports whether the request may have reached the
// intermediate; false guarantees that it has not and never will.
func (c *Call) Cancel() bool {
	if c.session == nil {
		return false
	}
	reached, isInFlight := c.session.cancelCall(c)
	if isInFlight && reached == written {
		c.session.send(line{Number: c.number, Cancel: true})
	}
	return reached != waiting
}
