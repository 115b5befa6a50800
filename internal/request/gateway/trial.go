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

// shardDraw is the draw of one shard, once it was made, and for what.
type shardDraw struct {
	isMade bool
	canary.Draw
	request canary.Request
}

// later gives the versions of a service that attempts without a draw may go to now.
func (g *Gateway) later(service string) canary.Versions {
	if g.canary == nil {
		return canary.Serving
	}
	return g.canary.RetryVersions(service)
}

// draw gives the draw of a shard, which is made once; unserved says that no leaf of the serving version can be asked, or
// only leafs in trouble.
// What another node may have counted is not drawn.
func (w *gathering) draw(shard int, unserved bool) canary.Draw {
	if w.gateway.canary == nil || w.spent > 0 {
		return canary.Draw{}
	}
	if w.draws == nil {
		w.draws = make([]shardDraw, len(w.services))
	}
	made := &w.draws[shard]
	if !made.isMade {
		request := canary.Request{Service: w.services[shard], Once: w.isAtMostOnce(), Unserved: unserved}
		*made = shardDraw{true, w.gateway.canary.Draw(request), request}
	}
	return made.Draw
}

// returnDraw takes the draw of a shard back, by which nothing was sent.
func (w *gathering) returnDraw(shard int) {
	if made := w.draws[shard]; made.IsBounded {
		w.gateway.canary.Refund(made.request, made.Draw)
	}
}

// returnDraws takes back what was drawn for a request that is refused.
func (w *gathering) returnDraws() {
	for shard := range w.draws {
		w.returnDraw(shard)
	}
}

func (w *gathering) isAtMostOnce() bool { return w.query.entry.Repeatability == routing.AtMostOnce }

// drawFirst draws which versions the first attempts go to that are made from here, of services with one on trial.
func (w *gathering) drawFirst(plan *scatter.Plan) {
	if w.gateway.canary == nil || w.spent > 0 {
		return
	}
	leafs := w.gateway.catalog.View().Leafs
	for index, service := range w.services {
		if leafs.Rule(service).Trial != "" && !w.isPassedOn(index) {
			plan.Shards[index].Candidates = w.firstCandidates(index, plan.Shards[index].Candidates)
		}
	}
}

// firstCandidates gives the leafs that a shard's first attempt may go to by its draw; where none of them can be
// asked, those that were planned without one.
func (w *gathering) firstCandidates(shard int, planned []balancer.Candidate) []balancer.Candidate {
	choice := w.gateway.balancer.Choose(planned, nil)
	draw := w.draw(shard, choice.Leaf == nil || choice.Unhealthy)
	if draw.First == w.gateway.later(w.services[shard]) {
		return planned
	}
	targets := w.targets[shard]
	drawn := w.candidatesOf(shard, draw.First)
	if draw.IsBounded {
		drawn = w.focus(w.services[shard], drawn)
	}
	if w.gateway.balancer.Choose(drawn, nil).Leaf != nil {
		return drawn
	}
	w.targets[shard] = targets
	w.returnDraw(shard)
	return planned
}

// focus keeps the first candidate in the order of the draws from the bounded share that can be asked.
func (w *gathering) focus(service string, candidates []balancer.Candidate) []balancer.Candidate {
	for _, leaf := range w.gateway.canary.FocusOrder(service, w.gateway.catalog.View().Leafs.OnTrial(service)) {
		at := slices.IndexFunc(candidates, func(candidate balancer.Candidate) bool { return candidate.LeafID == leaf.ID })
		if at < 0 {
			continue
		}
		one := candidates[at : at+1]
		if choice := w.gateway.balancer.Choose(one, nil); choice.Leaf != nil && !choice.Unhealthy {
			return one
		}
	}
	return nil
}

// began counts an attempt at a leaf in, before it is made.
func (g *Gateway) began(leaf *leafset.Leaf) {
	if g.canary != nil && leaf != nil {
		g.canary.AttemptStarted(leaf.Service, leaf.Version)
	}
}

// ended counts an attempt at a leaf out.
func (g *Gateway) ended(leaf *leafset.Leaf) {
	if g.canary != nil && leaf != nil {
		g.canary.AttemptEnded(leaf.Service, leaf.Version)
	}
}

// observe counts the end of an attempt for its leaf's version, if the version is what it came from: refusals, broken
// connections and what never arrived say nothing of it.
func (w *gathering) observe(leaf *leafset.Leaf, response *leafhttp.Response, result scatter.Result[leafhttp.Response], took time.Duration) {
	counted := w.gateway.evidence
	if counted == nil || leaf == nil || !counted.IsCounted(leaf) {
		return
	}
	route := w.query.entry.Name
	switch {
	case result.Reply != nil:
		counted.Observe(route, leaf, false, took)
	case result.Reason == reasonLeafError && response.Header.Get(w.gateway.dialect.ResponseStamp) != "":
		counted.Observe(route, leaf, true, took)
	case result.Reason == reasonBroken && result.Outcome == balancer.Abandoned:
		counted.ObserveGivenUp(route, leaf, took)
	}
}
