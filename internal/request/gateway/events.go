package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// EventLog receives the events of requests: refusals, attempts, group calls, checks of leafs, and outcomes.
type EventLog interface {
	// Refused reports a request that was refused for its route or its quarantine. Other refusals are reported by
	// Served, with a failure and without attempts.
	Refused(request *Request, err error)
	// Attempted reports the start of an attempt.
	Attempted(service string, kind scatter.Kind)
	// AttemptEnded reports the end of an attempt.
	AttemptEnded(record AttemptRecord)
	// Served reports the end of a request, whether it was answered or failed.
	Served(record RequestRecord)
	// GroupEnded reports the end of a group call to another node.
	GroupEnded(record GroupRecord)
	// LeafChecked reports an attempt whose answer broke off, once the check of the leaf's process has ended.
	LeafChecked(record LeafCheckRecord)
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
	// Cancelled reports whether the attempt was cancelled before its answer arrived.
	Cancelled bool
}

// RequestRecord is a request with everything that determined its answer.
type RequestRecord struct {
	RequestID string
	// Content is the fingerprint of the request.
	Content fingerprint.Fingerprint
	// Path and Caller let an operator identify a request.
	Path   string
	Caller string
	Route  string
	// Version and Revision identify the routing table that routed the request.
	Version  int64
	Revision int64
	// ConfigAge is the time since the store confirmed that Revision is the newest.
	ConfigAge time.Duration
	Took      time.Duration
	// InTime reports whether the request ended before routedRequest.lateAfter, so that an answer can reach the caller
	// within the objective.
	InTime  bool
	Shards  int // including the missing ones
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

// MissingPart is a service without a part in an answer.
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
		InTime: time.Now().Before(r.lateAfter), Shards: len(e.outcomes), Summary: e.summary,
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
