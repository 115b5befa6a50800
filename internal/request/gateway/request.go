package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Request is one request of a caller. Each time that the caller sends it again is a new Request.
type Request struct {
	// Leaf is the request that is sent to leafs.
	Leaf leafhttp.Request
	// Path is the target without its query, as sent by the caller.
	Path string
	// Caller is the network address that the request came from, without the port; empty if unknown.
	Caller string
	// Arrived is when the request was read.
	Arrived time.Time
	// CallerTimeout is how long the caller waits, from its deadline header; 0 if it sent none.
	CallerTimeout time.Duration
	// RoundTrip estimates the round-trip time to the caller; 0 if unknown.
	RoundTrip time.Duration
	// ConnectTime estimates how long the caller took to open a connection for this request; 0 if one was open.
	ConnectTime time.Duration
}

// Answer is a success, or a leaf's own failure that is passed on.
type Answer struct {
	Status int
	// Header is the leaf's header without hop-by-hop fields; nil for gathered answers.
	Header http.Header
	Body   []byte
	// Stamps are the signatures of a gathered answer's parts; nil for other answers.
	Stamps []string
	// Missing is how many parts are missing from a gathered answer.
	Missing int
}

// routedRequest is a request with its route and times. They stay the same until its end, even if the configuration
// changes.
type routedRequest struct {
	*Request
	// fingerprint is the same each time that a caller sends the request.
	fingerprint fingerprint.Fingerprint
	route       *routing.Entry
	table       *routing.Table
	// deadline is when the answer must have been sent.
	deadline time.Time
	// objective is when the answer must be complete to have its full value.
	objective time.Time
	// answerBy is the objective less this node's lag: when a partial answer with enough parts is sent.
	answerBy time.Time
	// lateAfter is when an answer starts to count as late.
	lateAfter time.Time
	// requiredParts is the minimum number of parts of a gathered answer; 0 for single requests.
	requiredParts int
	// rootID is the node that the request is gathered for; empty if it is this node.
	rootID string
}

// routeRequest finds the route of a request in the table in force and sets its times.
func (g *Gateway) routeRequest(request *Request) (*routedRequest, error) {
	table, route, err := g.findRoute(request)
	if err != nil {
		return nil, err
	}
	routed := &routedRequest{
		Request: request, fingerprint: g.cfg.fingerprintOf(request), route: route, table: table, requiredParts: route.RequiredParts,
	}
	g.setTimes(routed)
	return routed, nil
}

// fingerprintOf returns the fingerprint that identifies a request when it is sent again. It omits what callers change
// between sends: the address, and the query unless FingerprintQuery is set.
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

// leastParts returns the minimum number of parts of an answer, at least one.
func (r *routedRequest) leastParts() int { return max(1, r.requiredParts) }

// service returns the configuration of a service; only the name is set if the service is not configured.
func (r *routedRequest) service(name string) routing.Service {
	service, found := r.table.Service(name)
	if !found {
		service.Name = name
	}
	return service
}
