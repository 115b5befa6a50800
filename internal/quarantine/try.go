package quarantine

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Bounds of a trial: how long it may be asked for in vain until it is asked for again, and how long it is permitted.
const (
	trialPause  = 5 * time.Second
	trialPermit = 30 * time.Second
)

// Execution is one try of a request under way.
type Execution struct {
	register *Register
	subject  Subject
	state    State
	// refused is the record of a try that must not go on.
	refused *Record
	// isAlert says that requests which end leafs were about when the try began.
	isAlert bool
	// isTrial says that the request is under quarantine, and may go to one leaf nevertheless.
	isTrial bool
	// episode is the first of the try's own.
	episode uint64

	isAnswered atomic.Bool
	isStopped  atomic.Bool
	// inHerd says that leafs were gone on which the request was not.
	inHerd atomic.Bool
	stop   func()
}

// Begin counts a try in. If its state is Quarantined, it must not go on; stop is called, once at most and from any
// goroutine, if it must not any more. End must be called in any case.
func (r *Register) Begin(subject Subject, stop func()) *Execution {
	try := &Execution{register: r, subject: subject, stop: stop, episode: rand.Uint64()}
	r.mu.Lock()
	try.isAlert = r.isAlert()
	record := r.recordOf(subject.Content)
	isDue := false
	switch {
	case record == nil:
		try.state = r.state(subject.Content)
	case r.takePermit(record):
		try.state, try.isTrial, try.refused = Suspect, true, record
	default:
		try.state, try.refused = Quarantined, record
		isDue = r.isTrialDue(record)
	}
	if try.state != Quarantined {
		r.run(try)
	}
	r.mu.Unlock()
	if isDue {
		r.listener.TrialDue(*record)
	}
	return try
}

// run notes a try as under way. The lock must be held.
func (r *Register) run(try *Execution) {
	running := r.running[try.subject.Content]
	if running == nil {
		running = map[*Execution]bool{}
		r.running[try.subject.Content] = running
	}
	running[try] = true
}

// termOf gives since when a record of the store is known here. The lock must be held.
func (r *Register) termOf(record *Record) *term {
	known, isKnown := r.terms[record.Content]
	if !isKnown {
		if len(r.terms) >= 2*r.cfg.MaximumRecords {
			clear(r.terms)
		}
		known = &term{}
		r.terms[record.Content] = known
	}
	if known.revision != record.Revision {
		// A permit stays: it is what the new revision was written for.
		known.revision, known.since, known.askedAt = record.Revision, r.clock.Now(), time.Time{}
	}
	return known
}

// isTrialDue reports whether a trial is to be asked for. The lock must be held.
func (r *Register) isTrialDue(record *Record) bool {
	if record.Revision == 0 || record.Trials >= r.cfg.Trials {
		return false
	}
	known, now := r.termOf(record), r.clock.Now()
	if now.Sub(known.since) < r.cfg.termOf(record.Trials) || now.Sub(known.askedAt) < trialPause {
		return false
	}
	known.askedAt = now
	return true
}

// takePermit reports whether a trial is permitted, once. The lock must be held.
func (r *Register) takePermit(record *Record) bool {
	known, isKnown := r.terms[record.Content]
	if !isKnown || known.permittedAt.IsZero() {
		return false
	}
	isPermitted := r.clock.Since(known.permittedAt) < trialPermit
	known.permittedAt = time.Time{}
	return isPermitted
}

// RetryAfter gives how long a request is refused at least that came again; 0 for one that waits for an operator.
func (r *Register) RetryAfter(content fingerprint.Fingerprint) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.recordOf(content)
	switch {
	case record == nil:
		return 0
	case record.Revision == 0:
		return r.cfg.Term - r.clock.Since(r.found[content].since)
	case record.Trials >= r.cfg.Trials:
		return 0
	}
	return max(trialPause, r.cfg.termOf(record.Trials)-r.clock.Since(r.termOf(record).since))
}

// State gives how the request was held when the try began.
func (t *Execution) State() State { return t.state }

// IsAlert reports whether another request was put under quarantine so short a while before the try that more are expected.
func (t *Execution) IsAlert() bool { return t.isAlert }

// IsStopped reports whether nothing more of the try may be sent.
func (t *Execution) IsStopped() bool { return t.isStopped.Load() }

// LeafCrashed takes that a leaf ended under the try. Ends that were seen by attempts which were sent in knowledge of others
// have another number.
func (t *Execution) LeafCrashed(leaf string, number int) {
	if t.isAnswered.Load() {
		return
	}
	if t.isTrial {
		t.halt()
		return
	}
	end := Crash{Leaf: leaf, Episode: t.episode + uint64(number)}
	t.register.learn(Evidence{Subject: t.subject, Crashes: []Crash{end}, InHerd: t.inHerd.Load()}, true)
}

// LeafGone takes that a leaf was gone when the try came to it.
func (t *Execution) LeafGone(leaf string) {
	if !t.inHerd.Load() && t.register.learnGone(t.subject.Content, leaf) {
		t.inHerd.Store(true)
	}
}

// Answered takes that a leaf has run the request and lived.
func (t *Execution) Answered() {
	if t.isAnswered.Swap(true) || t.register.suspectCount.Load() == 0 && !t.isTrial {
		return
	}
	r := t.register
	r.mu.Lock()
	known := r.suspects[t.subject.Content]
	r.dropSuspect(t.subject.Content)
	r.mu.Unlock()
	if known != nil && known.isReported {
		r.listener.Acquitted(t.subject)
	}
	if t.isTrial {
		r.listener.Survived(*t.refused)
	}
}

// End counts the try out.
func (t *Execution) End() {
	r := t.register
	r.mu.Lock()
	defer r.mu.Unlock()
	running := r.running[t.subject.Content]
	delete(running, t)
	if len(running) == 0 {
		delete(r.running, t.subject.Content)
	}
}

// halt stops the try, once.
func (t *Execution) halt() {
	if !t.isStopped.Swap(true) {
		t.stop()
	}
}
