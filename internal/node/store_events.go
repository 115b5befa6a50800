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

// Names of events of the store: its first answer, that it came back from a copy, and that it was given again what it lost
// by that.
const (
	eventStoreFound     = "store_found"
	eventStoreRestored  = "store_restored"
	eventEntryRewritten = "entry_rewritten"
)

// rewrittenEvent says that the store took an entry again, or why not.
type rewrittenEvent struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	Key   string    `json:"key"`
	Error string    `json:"error,omitempty"`
}

// storeEvent says where the store stands, and where it stood before it was restored.
type storeEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Call     string    `json:"call"`
	Epoch    int64     `json:"epoch"`
	Revision int64     `json:"revision,omitempty"`
	// Before is what the last answers before the restore told of.
	Before *storePlace `json:"before,omitempty"`
}

// storePlace is the highest revision that an epoch of the store told of.
type storePlace struct {
	Epoch    int64 `json:"epoch"`
	Revision int64 `json:"revision"`
}

// storeEvents tells metrics and the decision log of the store's answers.
type storeEvents struct {
	metrics *telemetry.Metrics
	log     *decisionlog.Log

	mu    sync.Mutex
	place *storePlace // nil before the first answer
}

var _ rewriter.EventLog = (*storeEvents)(nil)

func newStoreEvents(metrics *telemetry.Metrics, log *decisionlog.Log) *storeEvents {
	return &storeEvents{metrics: metrics, log: log}
}

// called notes a call of the store.
func (j *storeEvents) called(answer store.Answer) {
	j.metrics.StoreCalls.WithLabelValues(answer.Call, statusLabel(answer.Status)).Inc()
	if answer.Status == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.place == nil || j.place.Epoch != answer.Epoch {
		j.tellEpoch(answer)
		j.place = &storePlace{Epoch: answer.Epoch}
	}
	j.metrics.StoreEpoch.Set(float64(answer.Epoch))
	if answer.Revision > 0 {
		j.place.Revision = max(j.place.Revision, answer.Revision)
		j.metrics.StoreRevision.Set(float64(answer.Revision))
	}
}

// Rewritten implements rewriter.EventLog.
func (j *storeEvents) Rewritten(key string, err error) {
	event := rewrittenEvent{Time: time.Now(), Event: eventEntryRewritten, Key: key}
	if err != nil {
		event.Error = err.Error()
	}
	j.log.Write(decisionlog.Failed, event)
}

// tellEpoch logs an answer of another epoch than the one before. The lock must be held.
func (j *storeEvents) tellEpoch(answer store.Answer) {
	event := eventStoreFound
	if j.place != nil {
		event = eventStoreRestored
	}
	j.log.Write(decisionlog.Failed, storeEvent{
		Time: time.Now(), Event: event, Call: answer.Call, Epoch: answer.Epoch, Revision: answer.Revision, Before: j.place,
	})
}

// statusLabel names a call's status in the metrics.
func statusLabel(status int) string {
	if status == 0 {
		return "no_answer"
	}
	return strconv.Itoa(status)
}
