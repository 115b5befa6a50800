package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// EventLog receives every decision that affects a request.
type EventLog interface {
	// Refused reports a request that was refused for its route or its quarantine. Other refusals are reported by
	// Served, with a failure and without attempts.
	Refused(request *Request, err error)
	// Attempted reports an attempt that begins.
	Attempted(service string, kind scatter.Kind)
	// AttemptEnded reports the end of an attempt.
	AttemptEnded(record AttemptRecord)
	// Served reports the end of a request, whether it was answered or failed.
	Served(record RequestRecord)
	// GroupEnded reports the end of a group that another node was asked to gather.
	GroupEnded(record GroupRecord)
	// LeafLost reports an attempt whose answer broke off, once it is known whether the leaf's process has ended.
	LeafLost(record LeafLossRecord)
}

// AttemptRecord is one attempt at one leaf.
type AttemptRecord struct {
	RequestID string
	Service   string
	Leaf      string
	Kind      scatter.Kind
	Reason    scatter.Reason
	Execution scatter.Execution
	Took      time.Duration
	Succeeded bool
	// Abandoned reports whether the attempt was given up before its answer.
	Abandoned bool
}

// RequestRecord is a request with what decided its answer.
type RequestRecord struct {
	RequestID string
	// Content is the fingerprint of the request.
	Content fingerprint.Fingerprint
	// Path and Caller are by what an operator recognises a request.
	Path   string
	Caller string
	Route  string
	// Version and Revision are those of the routing table that the request was routed by.
	Version  int64
	Revision int64
	// ConfigAge is how long ago the store confirmed that revision as the newest.
	ConfigAge time.Duration
	Took      time.Duration
	// InTime reports whether the answer was sent within the objective.
	InTime  bool
	Parts   int
	Missing int
	// MissingServices are the services without a part, each with its reason.
	MissingServices []MissingPart
	Summary         scatter.Summary
	Status          int
	// Groups are the groups that other nodes gathered.
	Groups []GroupRecord
	// Root is the node that the request was gathered for; empty if this node is the root.
	Root string
	// Failure is nil for answers, including leafs' own failures.
	Failure *failure.Failure
}

// MissingPart is a service whose part an answer lacks.
type MissingPart struct {
	Service  string         `json:"service"`
	Reason   scatter.Reason `json:"reason"`
	Attempts int            `json:"attempts"`
}

// record returns the record of an execution at its end.
func (e *execution) record(answer *Answer, err error) RequestRecord {
	r := e.request
	record := RequestRecord{
		RequestID: r.Leaf.ID, Content: r.fingerprint, Path: r.Path, Caller: r.Caller, Route: r.route.Name,
		Version: r.table.Version, Revision: r.table.Revision,
		Root: r.rootID, Groups: e.groupRecords(), ConfigAge: e.gateway.catalog.Age(), Took: time.Since(r.Arrived),
		InTime: time.Now().Before(r.lateAfter), Parts: len(e.outcomes), Summary: e.summary,
	}
	for index, outcome := range e.outcomes {
		if outcome.Reply == nil {
			record.Missing++
			record.MissingServices = append(record.MissingServices, MissingPart{Service: e.services[index], Reason: outcome.Reason, Attempts: outcome.Attempts})
		}
	}
	if err != nil {
		record.Failure = failure.From(err)
		return record
	}
	record.Status = answer.Status
	return record
}
