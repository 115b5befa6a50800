package quarantine

import (
	"math/rand/v2"
	"sync/atomic"
)

// Execution is one execution of a request in progress at this node.
type Execution struct {
	register *Register
	subject  Subject
	state    State
	// record is the record of an execution that is refused or a retest.
	record *Record
	// isAlert says that crashing requests were expected when the execution began.
	isAlert bool
	// isRetest says that the request is under quarantine, but may go to one leaf.
	isRetest bool
	// episode is the number of the execution's first episode.
	episode uint64

	isAnswered atomic.Bool
	isStopped  atomic.Bool
	// othersGone says that leafs were found gone that the request was not at.
	othersGone atomic.Bool
	stop       func()
}

// Begin begins an execution of a request. If its State is Quarantined, it must not go on. stop is called if it must
// not any more, at most once and from any goroutine. End must be called in any case.
func (r *Register) Begin(subject Subject, stop func()) *Execution {
	execution := &Execution{register: r, subject: subject, stop: stop, episode: rand.Uint64()}
	r.mu.Lock()
	execution.isAlert = r.isAlert()
	record := r.recordOf(subject.Content)
	isDue := false
	switch {
	case record == nil:
		execution.state = r.state(subject.Content)
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

// addExecution adds an execution in progress. The lock must be held.
func (r *Register) addExecution(execution *Execution) {
	running := r.executions[execution.subject.Content]
	if running == nil {
		running = map[*Execution]bool{}
		r.executions[execution.subject.Content] = running
	}
	running[execution] = true
}

// State returns how the request was treated when the execution began.
func (e *Execution) State() State { return e.state }

// IsAlert reports whether another request was put under quarantine so recently before the execution that further ones
// are expected.
func (e *Execution) IsAlert() bool { return e.isAlert }

// IsStopped reports whether nothing more of the execution may be sent.
func (e *Execution) IsStopped() bool { return e.isStopped.Load() }

// LeafCrashed reports that a leaf crashed under the execution. number is the episode within the execution: 0 for
// attempts sent without knowledge of a crash, another one for each attempt that was sent knowing of earlier crashes.
// A crash during a retest ends the retest; after an answer it is ignored.
func (e *Execution) LeafCrashed(leaf string, number int) {
	if e.isAnswered.Load() {
		return
	}
	if e.isRetest {
		e.halt()
		return
	}
	crash := Crash{Leaf: leaf, Episode: e.episode + uint64(number)}
	e.register.addEvidence(Evidence{Subject: e.subject, Crashes: []Crash{crash}, OthersGone: e.othersGone.Load()}, true)
}

// LeafGone reports that a leaf was gone when the execution came to it.
func (e *Execution) LeafGone(leaf string) {
	if !e.othersGone.Load() && e.register.noteLeafGone(e.subject.Content, leaf) {
		e.othersGone.Store(true)
	}
}

// Answered reports that a leaf answered the request. That clears it, because a request that crashes leafs never gets
// an answer.
func (e *Execution) Answered() {
	if e.isAnswered.Swap(true) || e.register.suspectCount.Load() == 0 && !e.isRetest {
		return
	}
	r := e.register
	r.mu.Lock()
	known := r.suspects[e.subject.Content]
	r.dropSuspect(e.subject.Content)
	r.mu.Unlock()
	if known != nil && known.isReported {
		r.listener.EvidenceDropped(e.subject)
	}
	if e.isRetest {
		r.listener.RetestAnswered(*e.record)
	}
}

// End ends the execution.
func (e *Execution) End() {
	r := e.register
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.executions[e.subject.Content]
	delete(running, e)
	if len(running) == 0 {
		delete(r.executions, e.subject.Content)
	}
}

// halt stops the execution, once.
func (e *Execution) halt() {
	if !e.isStopped.Swap(true) {
		e.stop()
	}
}
