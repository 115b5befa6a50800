package node

import (
	"strconv"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/rewriter"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/node/telemetry"
)

// Names of store events in the decision log. eventStoreFound is the first answer of the store, eventStoreRestored the
// first answer of a new epoch, eventEntryRewritten an entry rewritten after a restore.
const (
	eventStoreFound     = "store_found"
	eventStoreRestored  = "store_restored"
	eventEntryRewritten = "entry_rewritten"
)

// rewrittenEvent reports that an entry was rewritten, or why the write failed.
type rewrittenEvent struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	Key   string    `json:"key"`
	Error string    `json:"error,omitempty"`
}

// storeEvent reports the position of the store, and after a restore also the position before it.
type storeEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Call     string    `json:"call"`
	Epoch    int64     `json:"epoch"`
	Revision int64     `json:"revision,omitempty"`
	// Before is the last position before the restore.
	Before *storePosition `json:"before,omitempty"`
}

// storePosition is the highest revision received in an epoch of the store.
type storePosition struct {
	Epoch    int64 `json:"epoch"`
	Revision int64 `json:"revision"`
}

// storeEvents records the answers of the store in the metrics and the decision log.
type storeEvents struct {
	metrics *telemetry.Metrics
	log     *decisionlog.Log

	mu       sync.Mutex
	position *storePosition // nil before the first answer
}

var _ rewriter.EventLog = (*storeEvents)(nil)

func newStoreEvents(metrics *telemetry.Metrics, log *decisionlog.Log) *storeEvents {
	return &storeEvents{metrics: metrics, log: log}
}

// called records a call of the store.
func (e *storeEvents) called(outcome store.CallOutcome) {
	e.metrics.StoreCalls.WithLabelValues(outcome.Call, statusLabel(outcome.Status)).Inc()
	if outcome.Status == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.position == nil || e.position.Epoch != outcome.Epoch {
		e.logEpoch(outcome)
		e.position = &storePosition{Epoch: outcome.Epoch}
	}
	e.metrics.StoreEpoch.Set(float64(outcome.Epoch))
	if outcome.Revision > 0 {
		e.position.Revision = max(e.position.Revision, outcome.Revision)
		e.metrics.StoreRevision.Set(float64(outcome.Revision))
	}
}

func (e *storeEvents) Rewritten(key string, err error) {
	e.log.Write(decisionlog.Important, rewrittenEvent{Time: time.Now(), Event: eventEntryRewritten, Key: key, Error: errorText(err)})
}

// logEpoch logs the first answer of the store, or the first of a new epoch. e.mu must be held.
func (e *storeEvents) logEpoch(outcome store.CallOutcome) {
	event := eventStoreFound
	if e.position != nil {
		event = eventStoreRestored
	}
	e.log.Write(decisionlog.Important, storeEvent{
		Time: time.Now(), Event: event, Call: outcome.Call, Epoch: outcome.Epoch, Revision: outcome.Revision, Before: e.position,
	})
}

// statusLabel returns the metric label for the status of a call; 0 means that the store did not answer.
func statusLabel(status int) string {
	if status == 0 {
		return "no_answer"
	}
	return strconv.Itoa(status)
}
