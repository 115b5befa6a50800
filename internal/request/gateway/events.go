package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// EventLog is told of every decision that touches a request.
type EventLog interface {
	// Refused tells of a request that no leaf was asked for.
	Refused(request *Request, err error)
	// Attempted tells of an attempt that begins.
	Attempted(service string, kind scatter.Kind)
	// AttemptEnded tells of the end of an attempt.
	AttemptEnded(record AttemptRecord)
	// Served tells of the end of a request.
	Served(record RequestRecord)
	// Passed tells of the end of a group that another node was asked to gather.
	GroupEnded(record GroupRecord)
	// LeafLost tells of an attempt whose answer broke off, once it is known whether its leaf ended.
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
	// Abandoned says that the reply was not awaited.
	Abandoned bool
}

// RequestRecord is a request with what decided its answer.
type RequestRecord struct {
	RequestID string
	// Content is the same for all tries of a request.
	Content fingerprint.Fingerprint
	// Path and Caller are what an operator knows a request by.
	Path   string
	Caller string
	Route  string
	// Version and Revision are those of the routing table that the request was routed to.
	Version  int64
	Revision int64
	// ConfigAge is how long ago that revision was confirmed to be the newest.
	ConfigAge time.Duration
	Took      time.Duration
	// InTime says that the answer went out within the objective.
	InTime  bool
	Parts   int
	Missing int
	// MissingServices are the services without a part, with the reason of each.
	MissingServices []MissingPart
	Summary         scatter.Summary
	Status          int
	// Groups are the services that other nodes gathered.
	Groups []GroupRecord
	// For is the node that this one gathered for; empty when the request is its own.
	Root string
	// Failure is nil for answers, leafs' own failures included.
	Failure *failure.Failure
}

// MissingPart is a service that an answer lacks.
type MissingPart struct {
	Service  string         `json:"service"`
	Reason   scatter.Reason `json:"reason"`
	Attempts int            `json:"attempts"`
}

// record gathers what is told of a request at its end.
func (r *routedRequest) record(work *execution, answer *Answer, err error) RequestRecord {
	record := RequestRecord{
		RequestID: r.Leaf.ID, Content: r.fingerprint, Path: r.Path, Caller: r.Caller, Route: r.route.Name, Version: r.table.Version, Revision: r.table.Revision,
		Root: r.rootID, Groups: work.groupRecords(), ConfigAge: work.gateway.catalog.Age(), Took: time.Since(r.Arrived),
		InTime: time.Now().Before(r.lateAfter), Parts: len(work.outcomes), Summary: work.summary,
	}
	for index, outcome := range work.outcomes {
		if outcome.Reply == nil {
			record.Missing++
			record.MissingServices = append(record.MissingServices, MissingPart{Service: work.services[index], Reason: outcome.Reason, Attempts: outcome.Attempts})
		}
	}
	if err != nil {
		record.Failure = failure.From(err)
		return record
	}
	record.Status = answer.Status
	return record
}
