// Package quarantine recognises crashing requests, those that crash the leafs which run them, and keeps them away from
// leafs.
//
// Evidence against a request is the crash of a leaf that was working on it: the connection breaks off, and the leaf's
// address refuses connections afterwards. A lost connection, silence, or a leaf that had announced its shutdown is no
// evidence. Crashes are counted in episodes: the crashes seen by one attempt, or by several sent together, are one
// episode; those of an attempt sent knowing of them are another. An answer from any leaf clears a request. isEnough
// holds the rule for when the evidence suffices, isRetestDue the one for when a request is tried again.
//
// A Register keeps its state in memory, measures time by the clock that it is given, and starts no goroutine. Package
// quarantinesync carries its findings to other nodes and to the store.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// State is how a request is treated.
type State int

// The states of a request.
const (
	// Clear requests are served normally.
	Clear State = iota
	// Suspect requests go to one leaf first, and to the others once that leaf has answered.
	Suspect
	// Quarantined requests go to no leaf.
	Quarantined
)

// Listener is notified of what a register finds. It is called without locks, by the goroutine that reported the
// cause, and must not block.
type Listener interface {
	// Suspected reports that this node saw a leaf crash under a request.
	Suspected(subject Subject)
	// EvidenceDropped reports that a request which this node had reported to others was answered.
	EvidenceDropped(subject Subject)
	// Quarantined reports that this node put a request under quarantine.
	Quarantined(record Record)
	// RetestDue reports that a request under quarantine arrived again after RetestAfter.
	RetestDue(record Record)
	// RetestAnswered reports that a request under quarantine was answered by a leaf.
	RetestAnswered(record Record)
}

// Register decides which requests are suspects or under quarantine, by the leaf crashes under them. It is safe for
// concurrent use.
type Register struct {
	cfg      Config
	clock    boottime.Clock
	stored   func(fingerprint.Fingerprint) *Record
	self     string
	listener Listener

	// suspectCount is the number of suspects. It saves taking the lock for each answer while there are none.
	suspectCount atomic.Int64

	mu       sync.Mutex
	suspects map[fingerprint.Fingerprint]*suspect
	// unsaved are the records that the store does not have yet.
	unsaved map[fingerprint.Fingerprint]*unsavedRecord
	// retestStates are the retest states of stored records whose requests arrived here.
	retestStates map[fingerprint.Fingerprint]*retestState
	// executions are those in progress.
	executions map[fingerprint.Fingerprint]map[*Execution]bool
	// attributed is the quarantined request that each crashed leaf is attributed to.
	attributed map[string]fingerprint.Fingerprint
	// quarantinedAt is when a request was last put under quarantine.
	quarantinedAt time.Time
}

// Deps are the dependencies of a Register.
type Deps struct {
	Config Config
	// Clock counts the time for which the machine was suspended.
	Clock boottime.Clock
	// StoredRecord returns the store's record of a request as known at this node, nil if there is none.
	StoredRecord func(fingerprint.Fingerprint) *Record
	// Self is the id of this node.
	Self string
}

// NewRegister returns a register. SetListener must be called before it is used.
func NewRegister(deps Deps) *Register {
	return &Register{
		cfg: deps.Config, clock: deps.Clock, stored: deps.StoredRecord, self: deps.Self,
		suspects: map[fingerprint.Fingerprint]*suspect{}, unsaved: map[fingerprint.Fingerprint]*unsavedRecord{},
		retestStates: map[fingerprint.Fingerprint]*retestState{}, executions: map[fingerprint.Fingerprint]map[*Execution]bool{},
		attributed: map[string]fingerprint.Fingerprint{},
	}
}

// SetListener sets the listener.
func (r *Register) SetListener(listener Listener) { r.listener = listener }

// isAlert reports whether a request was put under quarantine so recently (Config.Alert) that further ones are
// expected. The lock must be held.
func (r *Register) isAlert() bool {
	return !r.quarantinedAt.IsZero() && r.clock.Since(r.quarantinedAt) < r.cfg.Alert
}

// State returns how a request is treated now.
func (r *Register) State(content fingerprint.Fingerprint) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(content)
}

// state decides how a request is treated: quarantined if there is a record of it, suspect if there is evidence that
// still counts. The lock must be held.
func (r *Register) state(content fingerprint.Fingerprint) State {
	if r.recordOf(content) != nil {
		return Quarantined
	}
	if r.suspect(content) != nil {
		return Suspect
	}
	return Clear
}

// Counts returns the number of suspects, and of records that the store does not have yet.
func (r *Register) Counts() (suspects, unsaved int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects), len(r.unsaved)
}
