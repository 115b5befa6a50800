package node

import (
	"time"

	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/rolloutcontrol"
)

// rolloutEvents writes the events of rollouts to the decision log.
type rolloutEvents struct{ log *decisionlog.Log }

var _ rolloutcontrol.EventLog = rolloutEvents{}

// Names of rollout events in the decision log.
const (
	eventSpecSeen        = "rollout_order_seen"
	eventPhaseLearned    = "rollout_phase_learned"
	eventPhaseWritten    = "rollout_phase_written"
	eventPhaseNotWritten = "rollout_phase_not_written"
	eventAbortSent       = "rollout_hold_sent"
	eventAbortReceived   = "rollout_hold_heard"
	eventRowsDropped     = "rollout_rows_dropped"
	eventVersionsWritten = "service_versions_written"
)

type specEvent struct {
	Time           time.Time `json:"time"`
	Event          string    `json:"event"`
	Service        string    `json:"service"`
	SpecID         int64     `json:"order"`
	Target         string    `json:"target"`
	DurationMillis int64     `json:"duration_millis"`
	// Rank is the node's rank among the evaluator nodes, from 0; -1 if the node is not an evaluator node.
	Rank int `json:"rank"`
}

type phaseEvent struct {
	Time     time.Time     `json:"time"`
	Event    string        `json:"event"`
	Service  string        `json:"service"`
	SpecID   int64         `json:"order"`
	Phase    rollout.Phase `json:"phase"`
	Serving  string        `json:"serving"`
	Target   string        `json:"target"`
	Revision int64         `json:"revision,omitempty"`
	Reason   string        `json:"reason,omitempty"`
	By       string        `json:"by,omitempty"`
	// Counts are the counted attempts that the decision is based on, AgeMillis is the age of the newest of them.
	Counts    []rolloutcontrol.VersionCounts `json:"counts,omitempty"`
	AgeMillis int64                          `json:"age_millis,omitempty"`
	Error     string                         `json:"error,omitempty"`
}

type abortEvent struct {
	Time    time.Time `json:"time"`
	Event   string    `json:"event"`
	Service string    `json:"service"`
	SpecID  int64     `json:"order"`
	Reason  string    `json:"reason,omitempty"`
	Nodes   int       `json:"nodes,omitempty"`
	From    string    `json:"from,omitempty"`
}

type rowsDroppedEvent struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	From  string    `json:"from,omitempty"`
	Rows  int       `json:"rows,omitempty"`
	Error string    `json:"error,omitempty"`
}

type versionsEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Services int       `json:"services"`
	Error    string    `json:"error,omitempty"`
}

func (e rolloutEvents) SpecSeen(record rolloutcontrol.SpecEvent) {
	e.log.Write(decisionlog.Important, specEvent{
		Time: time.Now(), Event: eventSpecSeen, Service: record.Spec.Service, SpecID: record.Spec.ID(),
		Target: record.Spec.Target, DurationMillis: record.Spec.DurationMillis, Rank: record.Rank,
	})
}

func (e rolloutEvents) PhaseLearned(state rollout.State) {
	e.log.Write(decisionlog.Important, newPhaseEvent(eventPhaseLearned, state))
}

func (e rolloutEvents) PhaseWritten(record rolloutcontrol.PhaseWriteEvent) {
	event := newPhaseEvent(eventPhaseWritten, record.State)
	if record.Err != nil {
		event.Event, event.Error = eventPhaseNotWritten, record.Err.Error()
	}
	event.Revision, event.Counts, event.AgeMillis = record.Revision, record.Counts, record.Age.Milliseconds()
	e.log.Write(decisionlog.Important, event)
}

func newPhaseEvent(name string, state rollout.State) phaseEvent {
	return phaseEvent{
		Time: time.Now(), Event: name, Service: state.Service, SpecID: state.SpecRevision, Phase: state.Phase, Serving: state.Serving,
		Target: state.Target, Revision: state.Revision, Reason: state.Reason, By: state.DecidedBy,
	}
}

func (e rolloutEvents) Aborted(record rolloutcontrol.AbortEvent) {
	event := abortEvent{
		Time: time.Now(), Event: eventAbortSent, Service: record.Service, SpecID: record.SpecID, Reason: record.Reason,
		Nodes: record.Nodes, From: record.From,
	}
	if record.From != "" {
		event.Event = eventAbortReceived
	}
	e.log.Write(decisionlog.Important, event)
}

func (e rolloutEvents) RowsDropped(record rolloutcontrol.RowsDroppedEvent) {
	e.log.Write(decisionlog.Ordinary, rowsDroppedEvent{
		Time: time.Now(), Event: eventRowsDropped, From: record.From, Rows: record.Rows, Error: errorText(record.Err),
	})
}

func (e rolloutEvents) VersionsWritten(record rolloutcontrol.VersionsWriteEvent) {
	e.log.Write(decisionlog.Important, versionsEvent{
		Time: time.Now(), Event: eventVersionsWritten, Services: record.Services, Error: errorText(record.Err),
	})
}

// errorText returns the text of an error, or "" for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
