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

// Names of store events in the decision log: the first answer, the first answer of a new epoch (the store was restored
// from a backup), and an entry written again after a restore.
const (
	eventStoreFound     = "store_found"
	eventStoreRestored  = "store_restored"
	eventEntryRewritten = "entry_rewritten"
)

// rewrittenEvent reports that an entry was written again, or why the write failed.
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
func (e *storeEvents) called(answer store.Answer) {
	e.metrics.StoreCalls.WithLabelValues(answer.Call, statusLabel(answer.Status)).Inc()
	if answer.Status == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.position == nil || e.position.Epoch != answer.Epoch {
		e.logEpoch(answer)
		e.position = &storePosition{Epoch: answer.Epoch}
	}
	e.metrics.StoreEpoch.Set(float64(answer.Epoch))
	if answer.Revision > 0 {
		e.position.Revision = max(e.position.Revision, answer.Revision)
		e.metrics.StoreRevision.Set(float64(answer.Revision))
	}
}

// Rewritten implements rewriter.EventLog.
func (e *storeEvents) Rewritten(key string, err error) {
	e.log.Write(decisionlog.Failed, rewrittenEvent{Time: time.Now(), Event: eventEntryRewritten, Key: key, Error: errorText(err)})
}

// logEpoch logs the first answer of the store, or the first of a new epoch. e.mu must be held.
func (e *storeEvents) logEpoch(answer store.Answer) {
	event := eventStoreFound
	if e.position != nil {
		event = eventStoreRestored
	}
	e.log.Write(decisionlog.Failed, storeEvent{
		Time: time.Now(), Event: event, Call: answer.Call, Epoch: answer.Epoch, Revision: answer.Revision, Before: e.position,
	})
}

// statusLabel returns the metric label for the status of a call; 0 means that the store did not answer.
func statusLabel(status int) string {
	if status == 0 {
		return "no_answer"
	}
	return strconv.Itoa(status)
}
