package gateway

import (
	"context"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/leafhttp"
	"github.com/portgauge/portgauge/internal/servingtree"
)

var _ servingtree.Handler = (*Gateway)(nil)

// Gather implements servingtree.Handler: it asks the leafs of a group for the node that took the
// request from its caller. Both must have the same routing table in force, so that no answer mixes
// two, and no caller sees an older one after a newer one.
func (g *Gateway) Gather(ctx context.Context, ask servingtree.Ask) servingtree.Reply {
	if g.gathered.Add(1) > g.config.MaximumGathered {
		g.gathered.Add(-1)
		return servingtree.Reply{Decline: servingtree.Busy}
	}
	defer g.gathered.Add(-1)
	work := g.askedWork(ask)
	if work == nil {
		return servingtree.Reply{Decline: servingtree.OtherRevision}
	}
	answer, err := work.serve(ctx)
	work.learnLag()
	g.journal.Served(work.query.record(work, answer, err))
	if err != nil {
		return servingtree.Reply{Failure: servingtree.NewFailure(err)}
	}
	return servingtree.Reply{Answer: &servingtree.Answer{Stamps: work.stamps(), Records: answer.Body}}
}

// askedWork prepares the work on a group; nil when it is not by the routing table in force here.
func (g *Gateway) askedWork(ask servingtree.Ask) *gathering {
	table := g.catalog.View().Routes
	if table == nil || table.Revision != ask.Revision {
		return nil
	}
	path, _, _ := strings.Cut(ask.Target, "?")
	entry := table.Match(ask.Host, path)
	if entry == nil {
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
		Path: path, Arrived: now,
	}
	objective := now.Add(time.Duration(ask.ObjectiveMicros) * time.Microsecond)
	asked := &query{
		Request: request, entry: entry, table: table, root: ask.Root, required: ask.Required,
		deadline:  now.Add(time.Duration(ask.DeadlineMicros) * time.Microsecond),
		objective: objective, planned: objective.Add(-g.lag.expected(entry.Objective)), late: objective,
	}
	return &gathering{gateway: g, query: asked, services: services}
}

// stamps gives the signature of each part, empty for those that are missing.
func (w *gathering) stamps() []string {
	stamps := make([]string, len(w.outcomes))
	for index, outcome := range w.outcomes {
		if outcome.Reply != nil {
			stamps[index] = outcome.Reply.Header.Get(w.gateway.dialect.ResponseStamp)
		}
	}
	return stamps
}
