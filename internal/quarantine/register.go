// Package quarantine detects requests that crash the leafs which run them, and stops sending them to leafs.
//
// Evidence against a request is the crash of a leaf that was running it: the connection is lost, and the leaf's address
// refuses connections afterwards. A lost connection alone, a timeout, or the exit of a leaf that had announced its
// drain is no evidence. Crashes are grouped into episodes: crashes under attempts sent together are one episode; a
// crash under an attempt sent after these were detected is another. An answer from any leaf clears a request.
// isSufficient decides when the evidence puts a request under quarantine, isRetestDue when the request is retested.
//
// A Register keeps its state in memory, uses the clock that it is given, and starts no goroutines. Package
// quarantinesync sends its findings to other nodes and to the store.
package quarantine

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// State says to which leafs a request may be sent.
type State int

// The states of a request.
const (
	// Clear requests are sent to leafs without restriction.
	Clear State = iota
	// Suspect requests are sent to one leaf first, and to the others once that leaf has answered.
	Suspect
	// Quarantined requests are sent to no leaf.
	Quarantined
)

// Listener is notified of a register's findings. It is called without locks held, in the goroutine that reported the
// cause, and must not block.
type Listener interface {
	// Suspected reports that a leaf crashed under a request of this node, and that the evidence is not sufficient for a
	// quarantine.
	Suspected(subject Subject)
	// EvidenceDropped reports that a request was answered after this node had reported evidence against it.
	EvidenceDropped(subject Subject)
	// Quarantined reports that this node put a request under quarantine.
	Quarantined(record Record)
	// RetestDue reports that a request under quarantine arrived again and is due for a retest.
	RetestDue(record Record)
	// RetestAnswered reports that a request under quarantine was answered by a leaf.
	RetestAnswered(record Record)
}

// Register decides whether a request is a suspect or under quarantine, by the leafs that crashed under it. It is safe
// for concurrent use.
type Register struct {
	cfg      Config
	clock    boottime.Clock
	stored   func(fingerprint.Fingerprint) *Record
	self     string
	listener Listener

	// suspectCount is the number of suspects. While it is 0, answers need not take the lock.
	suspectCount atomic.Int64

	mu       sync.Mutex
	suspects map[fingerprint.Fingerprint]*suspect
	// unsaved are the records that the store does not have yet.
	unsaved map[fingerprint.Fingerprint]*unsavedRecord
	// retestStates are the retest states of the stored records whose requests arrived at this node.
	retestStates map[fingerprint.Fingerprint]*retestState
	// executions are the executions in flight, by request.
	executions map[fingerprint.Fingerprint]map[*Execution]bool
	// attributed maps each crashed leaf to the quarantined request that its crash is attributed to.
	attributed map[string]fingerprint.Fingerprint
	// quarantinedAt is when a request was last put under quarantine.
	quarantinedAt time.Time
}

// Deps are the dependencies of a Register.
type Deps struct {
	Config Config
	// Clock includes suspensions of the machine.
	Clock boottime.Clock
	// StoredRecord returns this node's copy of the stored record of a request, nil if there is none.
	StoredRecord func(fingerprint.Fingerprint) *Record
	// Self is the ID of this node.
	Self string
}

// NewRegister returns an empty register. SetListener must be called before it is used.
func NewRegister(deps Deps) *Register {
	return &Register{
		cfg: deps.Config, clock: deps.Clock, stored: deps.StoredRecord, self: deps.Self,
		suspects: map[fingerprint.Fingerprint]*suspect{}, unsaved: map[fingerprint.Fingerprint]*unsavedRecord{},
		retestStates: map[fingerprint.Fingerprint]*retestState{}, executions: map[fingerprint.Fingerprint]map[*Execution]bool{},
		attributed: map[string]fingerprint.Fingerprint{},
	}
}

func (r *Register) SetListener(listener Listener) { r.listener = listener }

// isAlert reports whether a request was put under quarantine within Config.Alert, so that more crashing requests are
// expected. r.mu must be held.
func (r *Register) isAlert() bool {
	return !r.quarantinedAt.IsZero() && r.clock.Since(r.quarantinedAt) < r.cfg.Alert
}

// State returns the current state of a request.
func (r *Register) State(content fingerprint.Fingerprint) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state(content)
}

// state returns the state of a request: quarantined if there is a record of it, suspect if there is evidence that has
// not expired. r.mu must be held.
func (r *Register) state(content fingerprint.Fingerprint) State {
	if r.recordOf(content) != nil {
		return Quarantined
	}
	if r.findSuspect(content) != nil {
		return Suspect
	}
	return Clear
}

// Counts returns the number of suspects and the number of records that the store does not have yet.
func (r *Register) Counts() (suspects, unsaved int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.suspects), len(r.unsaved)
}
