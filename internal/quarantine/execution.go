package quarantine

import (
	"math/rand/v2"
	"sync/atomic"
)

// Execution is one execution of a request at this node.
type Execution struct {
	register *Register
	subject  Subject
	state    State
	// record is the quarantine record of the request if the execution is refused or a retest.
	record *Record
	// isAlert is the result of Register.isAlert when the execution began.
	isAlert bool
	// isRetest is true if the request is under quarantine, but may be sent to one leaf.
	isRetest bool
	// episode is the number of the execution's first episode.
	episode uint64

	isAnswered atomic.Bool
	isStopped  atomic.Bool
	// othersNotListening is true if attempts found leafs no longer listening that had not crashed under the request.
	othersNotListening atomic.Bool
	stop               func()
}

// Begin begins an execution of a request. If its State is Quarantined, the request must not be sent to leafs. stop is
// called if the execution must send no more attempts, at most once and from any goroutine. End must be called in any
// case.
func (r *Register) Begin(subject Subject, stop func()) *Execution {
	execution := &Execution{register: r, subject: subject, stop: stop, episode: rand.Uint64()}
	r.mu.Lock()
	execution.isAlert = r.isAlert()
	record := r.recordOf(subject.Fingerprint)
	isDue := false
	switch {
	case record == nil:
		execution.state = r.state(subject.Fingerprint)
	case r.takePermit(record):
		execution.state, execution.isRetest, execution.record = Suspect, true, record
	default:
		execution.state, execution.record = Quarantined, record
		isDue = r.isRetestDue(record)
	}
	if execution.state != Quarantined {
		r.addExecution(execution)
	}
	r.mu.Unlock()
	if isDue {
		r.listener.RetestDue(*record)
	}
	return execution
}

// addExecution adds an execution to those in flight. r.mu must be held.
func (r *Register) addExecution(execution *Execution) {
	running := r.executions[execution.subject.Fingerprint]
	if running == nil {
		running = map[*Execution]bool{}
		r.executions[execution.subject.Fingerprint] = running
	}
	running[execution] = true
}

// State returns the state of the request when the execution began.
func (e *Execution) State() State { return e.state }

// IsAlert reports whether another request had been put under quarantine within Config.Alert when the execution began,
// so that more crashing requests are expected.
func (e *Execution) IsAlert() bool { return e.isAlert }

// IsStopped reports whether the execution must send no more attempts.
func (e *Execution) IsStopped() bool { return e.isStopped.Load() }

// LeafCrashed reports that a leaf crashed under the execution. episode is 0 for attempts sent before any crash was
// detected, and a different number for each attempt sent after one. A crash during a retest ends the retest. A crash
// after an answer is ignored.
func (e *Execution) LeafCrashed(leaf string, episode int) {
	if e.isAnswered.Load() {
		return
	}
	if e.isRetest {
		e.halt()
		return
	}
	crash := Crash{Leaf: leaf, Episode: e.episode + uint64(episode)}
	e.register.addEvidence(Evidence{Subject: e.subject, Crashes: []Crash{crash}, OthersNotListening: e.othersNotListening.Load()}, true)
}

// LeafNotListening reports that an attempt found a leaf no longer listening.
func (e *Execution) LeafNotListening(leaf string) {
	if !e.othersNotListening.Load() && e.register.noteLeafNotListening(e.subject.Fingerprint, leaf) {
		e.othersNotListening.Store(true)
	}
}

// Answered reports that a leaf answered the request. This clears the request, because one that crashes leafs is never
// answered.
func (e *Execution) Answered() {
	if e.isAnswered.Swap(true) || e.register.suspectCount.Load() == 0 && !e.isRetest {
		return
	}
	r := e.register
	r.mu.Lock()
	entry := r.suspects[e.subject.Fingerprint]
	r.dropSuspect(e.subject.Fingerprint)
	r.mu.Unlock()
	if entry != nil && entry.isReported {
		r.listener.EvidenceDropped(e.subject)
	}
	if e.isRetest {
		r.listener.RetestAnswered(*e.record)
	}
}

// End removes the execution from those in flight.
func (e *Execution) End() {
	r := e.register
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.executions[e.subject.Fingerprint]
	delete(running, e)
	if len(running) == 0 {
		delete(r.executions, e.subject.Fingerprint)
	}
}

// halt stops the execution if it is not stopped yet.
func (e *Execution) halt() {
	if !e.isStopped.Swap(true) {
		e.stop()
	}
}
