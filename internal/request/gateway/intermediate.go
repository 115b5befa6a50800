package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

var _ servingtree.Handler = (*Gateway)(nil)

// Gather implements servingtree.Handler: it queries the leafs of a group of shards for another node, the root of the
// request. It declines the group if this node is busy, or gathers the route differently from the root: no answer may
// mix two versions of a route, and no caller may see an older version after a newer one.
//
// The parts that have arrived by answerBy, the objective less this node's lag, are sent then, and the others when all
// have arrived. Only the root can tell whether they are enough, since it also has the other shards.
func (g *Gateway) Gather(ctx context.Context, message servingtree.Request, send func(servingtree.Answer)) servingtree.Reply {
	if g.groupsInFlight.Add(1) > g.cfg.MaximumGathered {
		g.groupsInFlight.Add(-1)
		return servingtree.Reply{Decline: servingtree.Busy}
	}
	defer g.groupsInFlight.Add(-1)
	e := g.groupExecution(message)
	if e == nil {
		return servingtree.Reply{Decline: servingtree.OtherRoute}
	}
	held := &memorybudget.Hold{}
	defer held.Release()
	e.request.Leaf.Memory = held
	e.partial = newPartBuffer(len(e.services))
	ctx, release := e.track(ctx)
	defer release()
	if err := e.refuseQuarantined(); err != nil {
		g.events.Refused(e.request.Request, err)
		return servingtree.Reply{Failure: servingtree.NewFailure(err)}
	}
	timer := time.AfterFunc(time.Until(e.request.answerBy), func() {
		if e.partial.send(e.mergeParts, send) {
			g.lag.observe(time.Since(e.request.answerBy))
		}
	})
	defer timer.Stop()
	answer, err := e.run(ctx)
	g.events.Served(e.record(answer, err))
	if err != nil && !e.partial.any() {
		return servingtree.Reply{Failure: e.groupFailureOf(err)}
	}
	rest := e.partial.end(e.mergeParts)
	return servingtree.Reply{Answer: &rest}
}

// groupFailureOf converts the failure of a group for its root. It names the crashed leafs only if the group was stopped
// because of them: the root counts them in its quarantine register.
func (e *execution) groupFailureOf(err error) *servingtree.Failure {
	failed := servingtree.NewFailure(err)
	if failed.Code == failure.LeafsCrashed {
		failed.CrashedLeafs = e.crashedLeafIDs()
	}
	return failed
}

// groupExecution returns the execution of a group; nil if the group does not match the routing table in force here.
func (g *Gateway) groupExecution(message servingtree.Request) *execution {
	table := g.catalog.View().Routes
	if table == nil {
		return nil
	}
	path, _, _ := strings.Cut(message.Target, "?")
	route := table.Match(message.Host, path)
	if route == nil || route.GatherKey != message.GatherKey || message.Spent < 0 || message.Spent >= route.Attempts {
		return nil
	}
	services := servicesOf(route, message.Shards)
	if len(services) == 0 {
		return nil
	}
	request := &Request{
		Leaf: leafhttp.Request{
			ID: message.ID, Method: message.Method, Target: message.Target, Host: message.Host, Header: message.Header, Body: message.Body, HasBody: message.HasBody,
		},
		Path: path, Caller: message.Caller, Arrived: time.Now(),
	}
	routed := &routedRequest{
		Request: request, fingerprint: g.cfg.fingerprintOf(request), route: route, table: table, rootID: message.Root, requiredParts: message.Required,
	}
	g.setGroupTimes(routed, message)
	return &execution{gateway: g, request: routed, services: services, spentAttempts: message.Spent}
}

// servicesOf returns the services of some shards of a gathered route; nil if the route lacks one of the shards.
func servicesOf(route *routing.Entry, shards []int) []string {
	services := make([]string, 0, len(shards))
	for _, index := range shards {
		if index < 0 || index >= len(route.Gathered) {
			return nil
		}
		services = append(services, route.Gathered[index])
	}
	return services
}

func (e *execution) mergeParts(parts []*leafhttp.Response) servingtree.Answer {
	answer := servingtree.Answer{Stamps: make([]string, len(parts))}
	bodies := make([][]byte, 0, len(parts))
	for index, part := range parts {
		if part != nil {
			answer.Stamps[index] = part.Header.Get(e.gateway.names.ResponseStamp)
			bodies = append(bodies, part.Body)
		}
	}
	answer.Records = topRecords(bodies, e.request.route.TopRecords)
	return answer
}
