package gateway

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

var _ servingtree.Handler = (*Gateway)(nil)

// Gather implements servingtree.Handler: it asks the leafs of a group for the node that took the
// request from its caller. Both must gather the route alike, so that no answer mixes two versions, and no
// caller sees an older one after a newer one.
//
// What is in by the objective is sent then, and the rest when it is in: whether that is enough is for
// the root to say, which knows of the other parts.
func (g *Gateway) Gather(ctx context.Context, ask servingtree.Request, send func(servingtree.Answer)) servingtree.Reply {
	if g.gathered.Add(1) > g.config.MaximumGathered {
		g.gathered.Add(-1)
		return servingtree.Reply{Decline: servingtree.Busy}
	}
	defer g.gathered.Add(-1)
	work := g.groupExecution(ask)
	if work == nil {
		return servingtree.Reply{Decline: servingtree.OtherRoute}
	}
	work.partial = newPartBuffer(len(work.services))
	ctx, release := work.watch(ctx)
	defer release()
	if err := work.refuseQuarantined(); err != nil {
		g.events.Refused(work.request.Request, err)
		return servingtree.Reply{Failure: servingtree.NewFailure(err)}
	}
	timer := time.AfterFunc(time.Until(work.request.answerBy), func() {
		if work.partial.send(work.answerOf, send) {
			g.lag.observe(time.Since(work.request.answerBy))
		}
	})
	defer timer.Stop()
	answer, err := work.run(ctx)
	g.events.Served(work.request.record(work, answer, err))
	if err != nil && !work.partial.any() {
		failed := servingtree.NewFailure(err)
		if failed.Code == failure.LeafsEnded {
			failed.CrashedLeafs = work.crashedLeafNames() // the root has no use for those of other failures
		}
		return servingtree.Reply{Failure: failed}
	}
	rest := work.partial.end(work.answerOf)
	return servingtree.Reply{Answer: &rest}
}

// groupExecution prepares the work on a group; nil when it does not fit the routing table in force here.
func (g *Gateway) groupExecution(ask servingtree.Request) *execution {
	table := g.catalog.View().Routes
	if table == nil {
		return nil
	}
	path, _, _ := strings.Cut(ask.Target, "?")
	entry := table.Match(ask.Host, path)
	if entry == nil || entry.GatherKey != ask.GatherKey || ask.Spent < 0 || ask.Spent >= entry.Attempts {
		return nil
	}
	services := make([]string, 0, len(ask.Shards))
	for _, index := range ask.Shards {
		if index < 0 || index >= len(entry.Gathered) {
			return nil
		}
		services = append(services, entry.Gathered[index])
	}
	if len(services) == 0 {
		return nil
	}
	now := time.Now()
	request := &Request{
		Leaf: leafhttp.Request{
			ID: ask.ID, Method: ask.Method, Target: ask.Target, Host: ask.Host, Header: ask.Header, Body: ask.Body, HasBody: ask.HasBody,
		},
		Path: path, Caller: ask.Caller, Arrived: now,
	}
	objective := now.Add(time.Duration(ask.ObjectiveMicros) * time.Microsecond)
	asked := &routedRequest{
		Request: request, fingerprint: g.config.fingerprintOf(request), route: entry, table: table, rootID: ask.Root, requiredParts: ask.Required,
		deadline:  now.Add(time.Duration(ask.DeadlineMicros) * time.Microsecond),
		objective: objective, answerBy: objective.Add(-g.lag.expected(entry.Objective)), lateAfter: objective,
	}
	return &execution{gateway: g, request: asked, services: services, spentAttempts: ask.Spent}
}

// answerOf puts some parts as the root is told of them.
func (e *execution) answerOf(parts []*leafhttp.Response) servingtree.Answer {
	answer := servingtree.Answer{Stamps: make([]string, len(parts))}
	bodies := make([][]byte, 0, len(parts))
	for index, part := range parts {
		if part != nil {
			answer.Stamps[index] = part.Header.Get(e.gateway.dialect.ResponseStamp)
			bodies = append(bodies, part.Body)
		}
	}
	answer.Records = topRecords(bodies, e.request.route.TopRecords)
	return answer
}

// partial are the parts of a group that the root was not told of yet; safe for concurrent use.
type partBuffer struct {
	mu    sync.Mutex
	parts []*leafhttp.Response // by shard
	had   bool                 // there was any part
	ended bool
}

func newPartBuffer(shards int) *partBuffer {
	return &partBuffer{parts: make([]*leafhttp.Response, shards)}
}

// add takes a part.
func (c *partBuffer) add(shard int, part *leafhttp.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.parts[shard], c.had = part, true
}

// any reports whether there was any part.
func (c *partBuffer) any() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.had
}

// send sends what is in, unless the end came before; the lock keeps it before what end gives.
func (c *partBuffer) send(put func([]*leafhttp.Response) servingtree.Answer, send func(servingtree.Answer)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || !c.had {
		return false
	}
	send(put(c.parts))
	clear(c.parts)
	return true
}

// end gives the parts that were not sent.
func (c *partBuffer) end(put func([]*leafhttp.Response) servingtree.Answer) servingtree.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	return put(c.parts)
}
