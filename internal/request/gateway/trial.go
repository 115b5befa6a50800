package gateway

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// canaryDraw is the draw of one shard, once it was made, and for what.
type canaryDraw struct {
	isMade bool
	canary.Draw
	request canary.Request
}

// later gives the versions of a service that attempts without a draw may go to now.
func (g *Gateway) undrawnVersions(service string) canary.Versions {
	if g.canary == nil {
		return canary.Serving
	}
	return g.canary.Later(service)
}

// draw gives the draw of a shard, which is made once; unserved says that no leaf of the serving version can be asked, or
// only leafs in trouble.
// What another node may have counted is not drawn.
func (e *execution) draw(shard int, unserved bool) canary.Draw {
	if e.gateway.canary == nil || e.spentAttempts > 0 {
		return canary.Draw{}
	}
	if e.canaryDraws == nil {
		e.canaryDraws = make([]canaryDraw, len(e.services))
	}
	made := &e.canaryDraws[shard]
	if !made.isMade {
		request := canary.Request{Service: e.services[shard], Once: e.isAtMostOnce(), Unserved: unserved}
		*made = canaryDraw{true, e.gateway.canary.Draw(request), request}
	}
	return made.Draw
}

// returnDraw takes the draw of a shard back, by which nothing was sent.
func (e *execution) returnDraw(shard int) {
	if made := e.canaryDraws[shard]; made.IsBounded {
		e.gateway.canary.Return(made.request, made.Draw)
	}
}

// returnDraws takes back what was drawn for a request that is refused.
func (e *execution) returnDraws() {
	for shard := range e.canaryDraws {
		e.returnDraw(shard)
	}
}

func (e *execution) isAtMostOnce() bool { return e.request.route.Repeatability == routing.AtMostOnce }

// drawFirst draws which versions the first attempts go to that are made from here, of services with one on trial.
func (e *execution) drawFirst(plan *scatter.Plan) {
	if e.gateway.canary == nil || e.spentAttempts > 0 {
		return
	}
	leafs := e.gateway.catalog.View().Leafs
	for index, service := range e.services {
		if leafs.Rule(service).Trial != "" && !e.isInGroup(index) {
			plan.Shards[index].Candidates = e.firstCandidates(index, plan.Shards[index].Candidates)
		}
	}
}

// firstCandidates gives the leafs that a shard's first attempt may go to by its draw; where none of them can be
// asked, those that were planned without one.
func (e *execution) firstCandidates(shard int, planned []balancer.Candidate) []balancer.Candidate {
	choice := e.gateway.balancer.Choose(planned, nil)
	draw := e.draw(shard, choice.Leaf == nil || choice.Troubled)
	if draw.First == e.gateway.undrawnVersions(e.services[shard]) {
		return planned
	}
	targets := e.targets[shard]
	drawn := e.candidatesOf(shard, draw.First)
	if draw.IsBounded {
		drawn = e.focusedLeaf(e.services[shard], drawn)
	}
	if e.gateway.balancer.Choose(drawn, nil).Leaf != nil {
		return drawn
	}
	e.targets[shard] = targets
	e.returnDraw(shard)
	return planned
}

// focus keeps the first candidate in the order of the draws from the bounded share that can be asked.
func (e *execution) focusedLeaf(service string, candidates []balancer.Candidate) []balancer.Candidate {
	for _, leaf := range e.gateway.canary.Focus(service, e.gateway.catalog.View().Leafs.OnTrial(service)) {
		at := slices.IndexFunc(candidates, func(candidate balancer.Candidate) bool { return candidate.LeafID == leaf.ID })
		if at < 0 {
			continue
		}
		one := candidates[at : at+1]
		if choice := e.gateway.balancer.Choose(one, nil); choice.Leaf != nil && !choice.Troubled {
			return one
		}
	}
	return nil
}

// began counts an attempt at a leaf in, before it is made.
func (g *Gateway) attemptBegan(leaf *leafset.Leaf) {
	if g.canary != nil && leaf != nil {
		g.canary.Began(leaf.Service, leaf.Version)
	}
}

// ended counts an attempt at a leaf out.
func (g *Gateway) attemptEnded(leaf *leafset.Leaf) {
	if g.canary != nil && leaf != nil {
		g.canary.Ended(leaf.Service, leaf.Version)
	}
}

// observe counts the end of an attempt for its leaf's version, if the version is what it came from: refusals, broken
// connections and what never arrived say nothing of it.
func (e *execution) countEvidence(leaf *leafset.Leaf, response *leafhttp.Response, result scatter.Result[leafhttp.Response], took time.Duration) {
	counted := e.gateway.evidence
	if counted == nil || leaf == nil || !counted.IsCounted(leaf) {
		return
	}
	route := e.request.route.Name
	switch {
	case result.Reply != nil:
		counted.Observe(route, leaf, false, took)
	case result.Reason == reasonLeafError && response.Header.Get(e.gateway.dialect.ResponseStamp) != "":
		counted.Observe(route, leaf, true, took)
	case result.Reason == reasonBroken && result.Outcome == balancer.Abandoned:
		counted.ObserveGivenUp(route, leaf, took)
	}
}
