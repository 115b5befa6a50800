package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// roundTripObjectiveDivisor is the part of the objective that the ways to a caller may take up at most.
const roundTripObjectiveDivisor = 2

// Request is one try of a caller.
type Request struct {
	// Leaf is what leafs are sent.
	Leaf leafhttp.Request
	// Path is the target without its query, as the caller sent it.
	Path string
	// Caller is the network address that the request came from, without the port; empty when it is not known.
	Caller string
	// Arrived is when the request was read.
	Arrived time.Time
	// CallerTimeout is how long the caller waits, by its own word; 0 when it says nothing.
	CallerTimeout time.Duration
	// RoundTrip is about the time to the caller and back; 0 when it is not known.
	RoundTrip time.Duration
	// ConnectTime is about what the caller spent on a connection for this request; 0 when it had one.
	ConnectTime time.Duration
}

// Answer is a success, or a leaf's own failure that is passed on.
type Answer struct {
	Status int
	// Header is what the leaf sent, less what concerns one connection; nil for gathered answers.
	Header http.Header
	Body   []byte
	// Stamps are the signatures of a gathered answer's parts; nil for other answers.
	Stamps []string
	// Missing is how many parts a gathered answer lacks.
	Missing int
}

// routedRequest is a request with its route and times, routed for its life.
type routedRequest struct {
	*Request
	// content tells tries of the same request from those of others.
	fingerprint fingerprint.Fingerprint
	route       *routing.Entry
	table       *routing.Table
	// deadline is when the answer must be on its way.
	deadline time.Time
	// objective is when the answer must be made to have its full worth.
	objective time.Time
	// planned is the objective less this node's lag: when an answer with parts missing is made.
	answerBy time.Time
	// late is from when an answer that goes out has lost some of its worth.
	lateAfter time.Time
	// required is the least number of parts that is of use.
	requiredParts int
	// root is the node that the request is gathered for; empty when it is this one.
	rootID string
}

// routeRequest finds the route of a request in the table in force.
func (g *Gateway) routeRequest(request *Request) (*routedRequest, error) {
	table := g.catalog.View().Routes
	if table == nil {
		return nil, failure.New(failure.NotReady, failure.NotRun, "the node has no routes yet").WithRetryAfter(notReadyRetryAfter)
	}
	entry := table.Match(request.Leaf.Host, request.Path)
	if entry == nil {
		return nil, failure.New(failure.UnknownRoute, failure.NotRun, "no route for host %q and path %q in version %d", request.Leaf.Host, request.Path, table.Version)
	}
	routed := &routedRequest{Request: request, fingerprint: g.config.fingerprintOf(request), route: entry, table: table, deadline: request.Arrived.Add(entry.Timeout), requiredParts: entry.RequiredParts}
	routed.objective = request.Arrived.Add(entry.Objective - g.timeElsewhere(request, entry))
	routed.answerBy = routed.objective.Add(-g.lag.expected(entry.Objective))
	routed.lateAfter = routed.objective.Add(g.config.ObjectiveReserve)
	if request.CallerTimeout > 0 {
		reserve := min(g.config.AnswerReserve+request.RoundTrip, request.CallerTimeout/4)
		patient := request.Arrived.Add(request.CallerTimeout - reserve)
		if patient.Before(routed.deadline) {
			routed.deadline = patient
		}
	}
	return routed, nil
}

// fingerprintOf gives the fingerprint of a request. With the query and the network address in it, each of 40 tries of a
// request that ended leafs was taken for another request.
func (c Config) fingerprintOf(request *Request) fingerprint.Fingerprint {
	content := fingerprint.Content{Method: request.Leaf.Method, Host: request.Leaf.Host, Path: request.Path, Body: request.Leaf.Body}
	if c.CallerHeader != "" {
		content.Caller = request.Leaf.Header.Get(c.CallerHeader)
	}
	if c.FingerprintQuery {
		_, content.Query, _ = strings.Cut(request.Leaf.Target, "?")
	}
	return fingerprint.Of(content)
}

// elsewhere estimates the part of the objective that is not this node's to use: what the caller
// spent before the request came, and the ways here and back.
func (g *Gateway) timeElsewhere(request *Request, entry *routing.Entry) time.Duration {
	ways := min(request.RoundTrip+g.config.ObjectiveReserve, entry.Objective/roundTripObjectiveDivisor)
	spent := request.ConnectTime
	if request.CallerTimeout > 0 {
		spent = max(spent, g.timeouts.spent(entry, request.CallerTimeout))
	}
	if spent+ways >= entry.Objective {
		// The objective is lost, or this caller just waits for less than others do.
		return ways
	}
	return spent + ways
}

// service gives what operators say of a service.
func (r *routedRequest) service(name string) routing.Service {
	service, found := r.table.Service(name)
	if !found {
		service.Name = name
	}
	return service
}
