package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// Request is one request of a caller. A caller that sends it again sends another Request.
type Request struct {
	// Leaf is what leafs are sent.
	Leaf leafhttp.Request
	// Path is the target without its query, as the caller sent it.
	Path string
	// Caller is the network address that the request came from, without the port; empty if it is not known.
	Caller string
	// Arrived is when the request was read.
	Arrived time.Time
	// CallerTimeout is how long the caller waits by its deadline header; 0 if it sent none.
	CallerTimeout time.Duration
	// RoundTrip estimates the round-trip time to the caller; 0 if it is not known.
	RoundTrip time.Duration
	// ConnectTime estimates what the caller spent on opening a connection for this request; 0 if it had one.
	ConnectTime time.Duration
}

// Answer is a success, or a leaf's own failure that is passed on.
type Answer struct {
	Status int
	// Header is the leaf's header without the fields that concern one connection; nil for gathered answers.
	Header http.Header
	Body   []byte
	// Stamps are the signatures of a gathered answer's parts; nil for other answers.
	Stamps []string
	// Missing is how many parts a gathered answer lacks.
	Missing int
}

// routedRequest is a request with the route and times that it keeps until its end, whatever the configuration becomes.
type routedRequest struct {
	*Request
	// fingerprint is the same for all times that a caller sends the request.
	fingerprint fingerprint.Fingerprint
	route       *routing.Entry
	table       *routing.Table
	// deadline is when the answer must be sent.
	deadline time.Time
	// objective is when the answer must be made to have its full worth.
	objective time.Time
	// answerBy is the objective less this node's lag: when a partial answer is sent if it has enough parts.
	answerBy time.Time
	// lateAfter is from when an answer that is sent counts as late.
	lateAfter time.Time
	// requiredParts is the least number of parts that a gathered answer must have; 0 for single requests.
	requiredParts int
	// rootID is the node that the request is gathered for; empty if it is this one.
	rootID string
}

// routeRequest finds the route of a request in the table in force and sets its times.
func (g *Gateway) routeRequest(request *Request) (*routedRequest, error) {
	table, route, err := g.findRoute(request)
	if err != nil {
		return nil, err
	}
	routed := &routedRequest{
		Request: request, fingerprint: g.config.fingerprintOf(request), route: route, table: table, requiredParts: route.RequiredParts,
	}
	g.setTimes(routed)
	return routed, nil
}

// fingerprintOf returns the fingerprint by which a request that is sent again is recognised. It leaves out whatever
// callers change between two times: the address, and the query unless the configuration says otherwise.
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

// leastParts returns how many parts an answer must have, at least one.
func (r *routedRequest) leastParts() int { return max(1, r.requiredParts) }

// service returns the configuration of a service; only the name is set if there is none.
func (r *routedRequest) service(name string) routing.Service {
	service, found := r.table.Service(name)
	if !found {
		service.Name = name
	}
	return service
}
