package gateway

import (
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/scatter"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// While a service is rolled out to another version, a canary decision selects the version for the first attempt of each
// shard (package canary). Hedges and retries go to retryRole instead.

// canaryDecision is the canary decision for one shard.
type canaryDecision struct {
	isMade bool
	canary.Decision
	request canary.Request
}

// retryRole returns which versions of a service may get attempts without a decision now.
func (g *Gateway) retryRole(service string) canary.Role {
	if g.canary == nil {
		return canary.Serving
	}
	return g.canary.RetryRole(service)
}

// decide returns the canary decision for a shard and makes it on the first call. unserved means that the serving
// version has no healthy leaf that can be queried. No decision is made if another node may have queried the shard
// before, since that node may have counted its own decision.
func (e *execution) decide(shard int, unserved bool) canary.Decision {
	if e.gateway.canary == nil || e.spentAttempts > 0 {
		return canary.Decision{}
	}
	if e.canaryDecisions == nil {
		e.canaryDecisions = make([]canaryDecision, len(e.services))
	}
	made := &e.canaryDecisions[shard]
	if !made.isMade {
		request := canary.Request{Service: e.services[shard], Once: e.isAtMostOnce(), Unserved: unserved}
		*made = canaryDecision{true, e.gateway.canary.Decide(request), request}
	}
	return made.Decision
}

// refundDecision refunds the decision for a shard for which nothing was sent.
func (e *execution) refundDecision(shard int) {
	if made := e.canaryDecisions[shard]; made.IsBounded {
		e.gateway.canary.Refund(made.request, made.Decision)
	}
}

// refundDecisions refunds all decisions for a request that is refused.
func (e *execution) refundDecisions() {
	for shard := range e.canaryDecisions {
		e.refundDecision(shard)
	}
}

// decideFirst decides the versions of the first attempts that this node makes, for services with a canary version, and
// sets the shards' candidates to the leafs of those versions.
func (e *execution) decideFirst(plan *scatter.Plan) {
	if e.gateway.canary == nil || e.spentAttempts > 0 {
		return
	}
	leafs := e.gateway.catalog.View().Leafs
	for index, service := range e.services {
		if leafs.Rule(service).Canary != "" && !e.isInGroup(index) {
			plan.Shards[index].Candidates = e.firstCandidates(index, plan.Shards[index].Candidates)
		}
	}
}

// firstCandidates makes the canary decision for a shard and returns the leafs that it selects. If none of them can be
// queried, it refunds the decision and returns the planned candidates.
func (e *execution) firstCandidates(shard int, planned []balancer.Candidate) []balancer.Candidate {
	choice := e.gateway.balancer.Choose(planned, nil)
	decision := e.decide(shard, choice.Leaf == nil || choice.Unhealthy)
	if decision.First == e.gateway.retryRole(e.services[shard]) {
		return planned
	}
	targets := e.targets[shard]
	chosen := e.candidatesOf(shard, decision.First)
	if decision.IsBounded {
		chosen = e.focusedLeaf(e.services[shard], chosen)
	}
	if e.gateway.balancer.Choose(chosen, nil).Leaf != nil {
		return chosen
	}
	e.targets[shard] = targets
	e.refundDecision(shard)
	return planned
}

// focusedLeaf returns the first candidate that can be queried and is healthy, in the order in which the version's leafs
// take the bounded share of requests. One leaf at a time is used, so that few requests are enough evidence.
func (e *execution) focusedLeaf(service string, candidates []balancer.Candidate) []balancer.Candidate {
	for _, leaf := range e.gateway.canary.FocusOrder(service, e.gateway.catalog.View().Leafs.CanaryLeafs(service)) {
		at := slices.IndexFunc(candidates, func(candidate balancer.Candidate) bool { return candidate.LeafID == leaf.ID })
		if at < 0 {
			continue
		}
		one := candidates[at : at+1]
		if choice := e.gateway.balancer.Choose(one, nil); choice.Leaf != nil && !choice.Unhealthy {
			return one
		}
	}
	return nil
}

// attemptStarted counts an attempt as in flight at its leaf's version. It is called before the attempt is made.
func (g *Gateway) attemptStarted(leaf *leafset.Leaf) {
	if g.canary != nil && leaf != nil {
		g.canary.AttemptStarted(leaf.Service, leaf.Version)
	}
}

// attemptEnded reverses attemptStarted.
func (g *Gateway) attemptEnded(leaf *leafset.Leaf) {
	if g.canary != nil && leaf != nil {
		g.canary.AttemptEnded(leaf.Service, leaf.Version)
	}
}

// countEvidence counts the end of an attempt as evidence about its leaf's version: a success, a signed failure, or an
// attempt that was cancelled without an answer. Refusals, unsigned answers, attempts that were never sent, and
// connections that broke before the attempt was cancelled are not evidence.
func (e *execution) countEvidence(leaf *leafset.Leaf, response *leafhttp.Response, result attemptResult, took time.Duration) {
	counted := e.gateway.evidence
	if counted == nil || leaf == nil || !counted.IsCounted(leaf) {
		return
	}
	route := e.request.route.Name
	switch {
	case result.Reply != nil:
		counted.Observe(route, leaf, false, took)
	case result.Reason == reasonLeafError && response.Header.Get(e.gateway.names.ResponseStamp) != "":
		counted.Observe(route, leaf, true, took)
	case result.Reason == reasonBroken && result.Outcome == balancer.Cancelled:
		counted.ObserveCancelled(route, leaf, took)
	}
}
