package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// State is how a request is held.
type State int

// The states of a request.
const (
	// Clear requests are served as usual.
	Clear State = iota
	// Suspect ones go to one leaf first, and to the others once it has answered.
	Suspect
	// Quarantined ones go to none.
	Quarantined
)

// Listener carries findings on. It is called without locks, by whoever brought the finding about, and must not block.
type Listener interface {
	// Suspected tells that this node saw a leaf end under a request.
	Suspected(subject Subject)
	// Acquitted tells that a request which this node reported was answered.
	Acquitted(subject Subject)
	// Quarantined tells that this node put a request under quarantine.
	Quarantined(record Record)
	// TrialDue tells that the term of a request is over that came again.
	TrialDue(record Record)
	// Survived tells that a request under quarantine was answered.
	Survived(record Record)
}

// Register knows what requests did to leafs; safe for concurrent use. The zero value of its Parts' clock is the steady
// one.
type Register struct {
	cfg      Config
	clock    boottime.Clock
	stored   func(fingerprint.Fingerprint) *Record
	self     string
	listener Listener

	// suspectCount saves those who answer the lock while there is no suspect.
	suspectCount atomic.Int64

	mu       sync.Mutex
	suspects map[fingerprint.Fingerprint]*suspect
	// found are those that the store does not have yet.
	found map[fingerprint.Fingerprint]*held
	// terms are those of records of the store that were asked for.
	terms map[fingerprint.Fingerprint]*term
	// running are the tries under way.
	running map[fingerprint.Fingerprint]map[*Execution]bool
	// explained are the requests that ended leafs, by leaf.
	explained map[string]fingerprint.Fingerprint
	// condemnedAt is when a request was last put under quarantine.
	condemnedAt time.Time
}

// held is a record that the store does not have yet.
type held struct {
	record Record
	since  time.Time
}

// term is how long a record of the store has been known here.
type term struct {
	revision int64
	since    time.Time
	// askedAt is when a trial was asked for last, permittedAt when one was permitted; zero while it was not or is used.
	askedAt     time.Time
	permittedAt time.Time
}

// Deps are what a register is built from.
type Deps struct {
	Config Config
	// Clock counts the time for which the machine was suspended.
	Clock boottime.Clock
	// StoredRecord gives the store's record of a request, as far as this node knows it; nil where there is none.
	StoredRecord func(fingerprint.Fingerprint) *Record
	// Self is the id of this node.
	Self string
}

// NewRegister makes a register; SetListener must be called before it is used.
func NewRegister(deps Deps) *Register {
	return &Register{
		cfg: deps.Config, clock: deps.Clock, stored: deps.StoredRecord, self: deps.Self,
		suspects: map[fingerprint.Fingerprint]*suspect{}, found: map[fingerprint.Fingerprint]*held{},
		terms: map[fingerprint.Fingerprint]*term{}, running: map[fingerprint.Fingerprint]map[*Execution]bool{},
		explained: map[string]fingerprint.Fingerprint{},
	}
}

// SetListener sets who carries findings on.
func (r *Register) SetListener(listener Listener) { r.listener = listener }

// isAlert reports whether a request was put under quarantine so short a while ago that others are expected. The lock must
// be held.
func (r *Register) isAlert() bool {
	return !r.condemnedAt.IsZero() && r.clock.Since(r.condemnedAt) < r.cfg.Alert
}

// State gives how a request is held now.
func (r *Register) State(content fingerprint.Fingerprint) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(content)
}

// state gives how a request is held. The lock must be held.
func (r *Register) state(content fingerprint.Fingerprint) State {
	if r.recordOf(content) != nil {
		return Quarantined
	}
	if r.suspect(content) != nil {
		return Suspect
	}
	return Clear
}

// recordOf gives the record of a request; nil where it is not under quarantine. The lock must be held.
func (r *Register) recordOf(content fingerprint.Fingerprint) *Record {
	if record := r.stored(content); record != nil {
		return record
	}
	known, isFound := r.found[content]
	if !isFound {
		return nil
	}
	if r.clock.Since(known.since) >= r.cfg.Term {
		delete(r.found, content) // the store never took it
		return nil
	}
	return &known.record
}

// suspect gives a suspect whose evidence still counts. The lock must be held.
func (r *Register) suspect(content fingerprint.Fingerprint) *suspect {
	known, isKnown := r.suspects[content]
	if !isKnown {
		return nil
	}
	if r.clock.Since(known.lastAt) >= r.cfg.SuspectMemory {
		r.dropSuspect(content)
		return nil
	}
	return known
}

func (r *Register) dropSuspect(content fingerprint.Fingerprint) {
	delete(r.suspects, content)
	r.suspectCount.Store(int64(len(r.suspects)))
}

// suspectOf gives the suspect that evidence is added to. The lock must be held.
func (r *Register) suspectOf(subject Subject) *suspect {
	if known := r.suspect(subject.Content); known != nil {
		return known
	}
	if len(r.suspects) >= r.cfg.MaximumSuspects {
		r.dropOldestSuspect()
	}
	known := &suspect{subject: subject, episodes: map[string]uint64{}}
	r.suspects[subject.Content] = known
	r.suspectCount.Store(int64(len(r.suspects)))
	return known
}

func (r *Register) dropOldestSuspect() {
	var oldest *suspect
	for _, known := range r.suspects {
		if oldest == nil || known.lastAt.Before(oldest.lastAt) {
			oldest = known
		}
	}
	r.dropSuspect(oldest.subject.Content)
}

// learn adds evidence to a request, and puts it under quarantine if that is enough.
func (r *Register) learn(evidence Evidence, isOwn bool) {
	r.mu.Lock()
	if r.recordOf(evidence.Content) != nil {
		r.mu.Unlock()
		return
	}
	known := r.suspectOf(evidence.Subject)
	for _, end := range evidence.Crashes {
		if !r.isExplained(end.Leaf, evidence.Content) {
			known.add(end, r.clock.Now())
		}
	}
	known.isOwn = known.isOwn || isOwn
	known.inHerd = known.inHerd || evidence.InHerd
	switch {
	case len(known.episodes) == 0:
		r.dropSuspect(evidence.Content)
		r.mu.Unlock()
	case known.isEnough(r.cfg):
		record := Record{Subject: known.subject, Leafs: known.leafs(), By: r.self}
		stops := r.hold(record)
		r.mu.Unlock()
		stopAll(stops)
		r.listener.Quarantined(record)
	default:
		r.mu.Unlock()
		if isOwn {
			r.listener.Suspected(evidence.Subject)
		}
	}
}

// isExplained reports whether another request is known to have ended a leaf. The lock must be held.
func (r *Register) isExplained(leaf string, content fingerprint.Fingerprint) bool {
	by, found := r.explained[leaf]
	return found && by != content
}

// learnGone notes that a leaf was gone on which a request was not, and reports whether that is news of a herd.
func (r *Register) learnGone(content fingerprint.Fingerprint, leaf string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.explained[leaf]; found {
		return false
	}
	known := r.suspect(content)
	if known == nil {
		return true
	}
	if _, found := known.episodes[leaf]; found {
		return false
	}
	known.inHerd = true
	return true
}

// hold keeps a record that the store does not have yet, and gives the tries of the request that are to be stopped. The
// lock must be held.
func (r *Register) hold(record Record) []*Execution {
	if len(r.found) >= r.cfg.MaximumRecords {
		r.dropOldestFound()
	}
	r.condemnedAt = r.clock.Now()
	r.found[record.Content] = &held{record: record, since: r.condemnedAt}
	return r.condemn(record)
}

func (r *Register) dropOldestFound() {
	var oldest *held
	for _, known := range r.found {
		if oldest == nil || known.since.Before(oldest.since) {
			oldest = known
		}
	}
	delete(r.found, oldest.record.Content)
}

// condemn takes from other suspects what a record explains, and gives the tries of the request that are to be stopped.
// The lock must be held.
func (r *Register) condemn(record Record) []*Execution {
	r.dropSuspect(record.Content)
	if len(r.explained) >= mostLeafs*r.cfg.MaximumRecords {
		clear(r.explained)
	}
	for _, leaf := range record.Leafs {
		r.explained[leaf] = record.Content
		for content, other := range r.suspects {
			other.explain(leaf)
			if len(other.episodes) == 0 {
				r.dropSuspect(content)
			}
		}
	}
	stops := make([]*Execution, 0, len(r.running[record.Content]))
	for try := range r.running[record.Content] {
		if !try.isTrial {
			stops = append(stops, try)
		}
	}
	return stops
}

func stopAll(tries []*Execution) {
	for _, try := range tries {
		try.halt()
	}
}

// AddRecord takes another node's word that a request is under quarantine, and reports whether it is news.
func (r *Register) AddRecord(record Record) bool {
	r.mu.Lock()
	if r.recordOf(record.Content) != nil {
		r.mu.Unlock()
		return false
	}
	stops := r.hold(record)
	r.mu.Unlock()
	stopAll(stops)
	return true
}

// AddEvidence takes evidence that another node has.
func (r *Register) AddEvidence(evidence Evidence) { r.learn(evidence, false) }

// Acquit takes another node's word that a request was answered.
func (r *Register) Acquit(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropSuspect(content)
}

// ConfirmStored takes that the store has a record.
func (r *Register) ConfirmStored(record Record) {
	r.mu.Lock()
	delete(r.found, record.Content)
	stops := r.condemn(record)
	r.mu.Unlock()
	stopAll(stops)
}

// Lift takes that the store has no record of a request any more.
func (r *Register) Lift(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.found, content)
	delete(r.terms, content)
	for leaf, by := range r.explained {
		if by == content {
			delete(r.explained, leaf)
		}
	}
}

// PermitTrial lets the next try of a request under quarantine go to one leaf.
func (r *Register) PermitTrial(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, isKnown := r.terms[content]; isKnown {
		known.permittedAt = r.clock.Now()
	}
}

// Unsaved gives the records that the store does not have yet.
func (r *Register) Unsaved() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make([]Record, 0, len(r.found))
	for content := range r.found {
		if record := r.recordOf(content); record != nil && record.Revision == 0 {
			records = append(records, *record)
		}
	}
	return records
}

// Evidence gives what this node has against a request, to be told to others; false where there is nothing, as when it was
// answered meanwhile.
func (r *Register) Evidence(content fingerprint.Fingerprint) (Evidence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.suspect(content)
	if known == nil || !known.isOwn {
		return Evidence{}, false
	}
	known.isReported = true
	return Evidence{Subject: known.subject, Crashes: known.ends(), InHerd: known.inHerd}, true
}

// Counts gives how many requests are suspects, and how many under quarantine that the store does not have yet.
func (r *Register) Counts() (suspects, unsaved int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects), len(r.found)
}
