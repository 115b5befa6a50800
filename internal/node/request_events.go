package node

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/node/settings"
	"github.com/portgauge/portgauge/internal/node/telemetry"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/gateway"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// requestEvents records requests and their attempts in the decision log and the metrics.
type requestEvents struct {
	log      *decisionlog.Log
	metrics  *telemetry.Metrics
	attempts map[scatter.Kind]prometheus.Counter
	// everyAttempt also logs attempts that succeeded or were cancelled.
	everyAttempt bool
}

func newRequestEvents(log *decisionlog.Log, metrics *telemetry.Metrics, everyAttempt bool) *requestEvents {
	attempts := map[scatter.Kind]prometheus.Counter{}
	for _, kind := range []scatter.Kind{scatter.First, scatter.Hedge, scatter.Retry} {
		attempts[kind] = metrics.FrontAttempts.WithLabelValues(string(kind))
	}
	return &requestEvents{log: log, metrics: metrics, attempts: attempts, everyAttempt: everyAttempt}
}

var _ gateway.EventLog = (*requestEvents)(nil)

// Names of events in the decision log.
const (
	eventRefused         = "request_refused"
	eventServed          = "request_served"
	eventPartial         = "request_partial"
	eventFailed          = "request_failed"
	eventAttemptFailed   = "attempt_failed"
	eventGathered        = "request_gathered"
	eventGroupUnanswered = "group_unanswered"
	eventAttemptEnded    = "attempt_ended"
	eventLeafLost        = "leaf_lost"
)

// Label values of requests in the metrics.
const (
	outcomeWhole   = "whole"
	outcomePartial = "partial"
	outcomeFailed  = "failed"
	noRoute        = ""
)

type refusedEvent struct {
	Time      time.Time    `json:"time"`
	Event     string       `json:"event"`
	RequestID string       `json:"request_id"`
	Host      string       `json:"host"`
	Code      failure.Code `json:"code"`
	Message   string       `json:"message"`
}

type requestEvent struct {
	Time      time.Time `json:"time"`
	Event     string    `json:"event"`
	RequestID string    `json:"request_id"`
	// Content, Path and Caller are set only for failed requests.
	Content         fingerprint.Fingerprint `json:"content,omitzero"`
	Path            string                  `json:"path,omitempty"`
	Caller          string                  `json:"caller,omitempty"`
	Route           string                  `json:"route"`
	Version         int64                   `json:"config_version"`
	Revision        int64                   `json:"config_revision"`
	ConfigAgeMillis int64                   `json:"config_age_millis"`
	TookMillis      float64                 `json:"took_millis"`
	InTime          bool                    `json:"in_time"`
	Status          int                     `json:"status,omitempty"`
	Parts           int                     `json:"parts"`
	Missing         []gateway.MissingPart   `json:"missing,omitempty"`
	Attempts        int                     `json:"attempts"`
	Hedges          int                     `json:"hedges"`
	Retries         int                     `json:"retries"`
	Execution       string                  `json:"execution"`
	Code            failure.Code            `json:"code,omitempty"`
	Message         string                  `json:"message,omitempty"`
	// Groups are the groups of parts that were passed on to other nodes. For is the root node for which this node
	// gathered a group.
	Groups []groupEvent `json:"groups,omitempty"`
	For    string       `json:"for,omitempty"`
}

// groupEvent is the outcome of a group of parts that was passed on to an intermediate node.
type groupEvent struct {
	Intermediate string               `json:"intermediate"`
	Parts        int                  `json:"parts"`
	Outcome      gateway.GroupOutcome `json:"outcome"`
	Reason       string               `json:"reason,omitempty"`
	TookMillis   float64              `json:"took_millis"`
}

// unansweredGroupEvent is a group that its intermediate node did not gather.
type unansweredGroupEvent struct {
	Time      time.Time `json:"time"`
	Event     string    `json:"event"`
	RequestID string    `json:"request_id"`
	groupEvent
}

type attemptEvent struct {
	Time       time.Time      `json:"time"`
	Event      string         `json:"event"`
	RequestID  string         `json:"request_id"`
	Service    string         `json:"service"`
	Leaf       string         `json:"leaf"`
	Kind       scatter.Kind   `json:"kind"`
	Reason     scatter.Reason `json:"reason,omitempty"`
	Execution  string         `json:"execution"`
	TookMillis float64        `json:"took_millis"`
	Cancelled  bool           `json:"abandoned,omitempty"`
}

func (e *requestEvents) Refused(request *gateway.Request, err error) {
	failed := failure.From(err)
	e.metrics.FrontRequests.WithLabelValues(noRoute, string(failed.Code)).Inc()
	e.log.Write(decisionlog.Important, refusedEvent{
		Time: time.Now(), Event: eventRefused, RequestID: request.Leaf.ID, Host: request.Leaf.Host, Code: failed.Code, Message: failed.Message,
	})
}

func (e *requestEvents) Attempted(_ string, kind scatter.Kind) {
	e.attempts[kind].Inc()
}

// AttemptEnded logs attempts that succeeded or were cancelled only if everyAttempt is set.
func (e *requestEvents) AttemptEnded(record gateway.AttemptRecord) {
	event := eventAttemptEnded
	if !record.Succeeded && !record.Cancelled {
		event = eventAttemptFailed
		e.metrics.FrontAttemptFailures.WithLabelValues(string(record.Reason)).Inc()
	}
	if event == eventAttemptEnded && !e.everyAttempt {
		return
	}
	e.log.Write(decisionlog.Ordinary, attemptEvent{
		Time: time.Now(), Event: event, RequestID: record.RequestID, Service: record.Service, Leaf: record.Leaf,
		Kind: record.Kind, Reason: record.Reason, Execution: record.Execution.String(), TookMillis: millis(record.Took),
		Cancelled: record.Cancelled,
	})
}

func (e *requestEvents) Served(record gateway.RequestRecord) {
	event := requestEvent{
		Time: time.Now(), Event: eventServed, RequestID: record.RequestID, Route: record.Route, Version: record.Version,
		Revision: record.Revision, ConfigAgeMillis: record.ConfigAge.Milliseconds(), TookMillis: millis(record.Took),
		InTime: record.InTime, Status: record.Status, Parts: record.Shards, Missing: record.MissingServices,
		Attempts: record.Summary.Attempts, Hedges: record.Summary.Hedges, Retries: record.Summary.Retries,
		Execution: record.Summary.Execution().String(), For: record.Root,
	}
	for _, group := range record.Groups {
		event.Groups = append(event.Groups, newGroupEvent(group))
	}
	importance, outcome := decisionlog.Ordinary, outcomeWhole
	switch {
	case record.Failure != nil:
		event.Event, event.Code, event.Message = eventFailed, record.Failure.Code, record.Failure.Message
		subject := quarantine.NewSubject(record.Content, record.Path, record.Caller)
		event.Content, event.Path, event.Caller = subject.Fingerprint, subject.Path, subject.Caller
		importance, outcome = decisionlog.Important, outcomeFailed
	case record.Missing > 0:
		event.Event, importance, outcome = eventPartial, decisionlog.Important, outcomePartial
	case !record.InTime:
		importance = decisionlog.Important
	}
	if record.Root != "" {
		event.Event = eventGathered
		if event.Code == failure.Cancelled {
			// Not a failure: the root answered with the parts that it had received.
			importance, outcome = decisionlog.Ordinary, outcomePartial
		}
		e.metrics.TreeGathered.WithLabelValues(outcome).Inc()
		e.log.Write(importance, event)
		return
	}
	e.metrics.FrontRequests.WithLabelValues(record.Route, outcome).Inc()
	e.metrics.FrontLatency.WithLabelValues(outcome).Observe(record.Took.Seconds())
	e.metrics.FrontMissingParts.Add(float64(record.Missing))
	e.log.Write(importance, event)
}

func newGroupEvent(record gateway.GroupRecord) groupEvent {
	return groupEvent{
		Intermediate: record.Intermediate, Parts: record.Shards, Outcome: record.Outcome, Reason: record.Reason, TookMillis: millis(record.Took),
	}
}

// GroupEnded logs only groups without an answer: answered groups are in the event of their request, and cancelled
// groups are not failures.
func (e *requestEvents) GroupEnded(record gateway.GroupRecord) {
	e.metrics.TreeGroupsPassed.WithLabelValues(string(record.Outcome)).Inc()
	e.metrics.TreeLatency.Observe(record.Took.Seconds())
	if record.Outcome == gateway.GroupAnswered || record.Outcome == gateway.GroupCancelled {
		return
	}
	e.log.Write(decisionlog.Important, unansweredGroupEvent{Time: time.Now(), Event: eventGroupUnanswered, RequestID: record.RequestID, groupEvent: newGroupEvent(record)})
}

// lossEvent is the result of the check of a leaf whose connection was lost before its answer was complete.
type lossEvent struct {
	Time      time.Time               `json:"time"`
	Event     string                  `json:"event"`
	RequestID string                  `json:"request_id"`
	Content   fingerprint.Fingerprint `json:"content"`
	Service   string                  `json:"service"`
	Leaf      string                  `json:"leaf"`
	Exited    bool                    `json:"ended"`
	Announced bool                    `json:"announced,omitempty"`
}

// LeafChecked writes an important line: a burst of failed attempts uses up the rate of ordinary lines, and only this
// line connects a crash with a request.
func (e *requestEvents) LeafChecked(record gateway.LeafCheckRecord) {
	e.metrics.LeafsLost.WithLabelValues(strconv.FormatBool(record.Exited)).Inc()
	e.log.Write(decisionlog.Important, lossEvent{
		Time: time.Now(), Event: eventLeafLost, RequestID: record.RequestID, Content: record.Content, Service: record.Service,
		Leaf: record.Leaf, Exited: record.Exited, Announced: record.Announced,
	})
}

func millis(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / float64(time.Millisecond/time.Microsecond)
}

func newGatewayEvents(cfg settings.Settings, log *decisionlog.Log, metrics *telemetry.Metrics) gateway.EventLog {
	return newRequestEvents(log, metrics, cfg.DecisionLog.EveryAttempt)
}
