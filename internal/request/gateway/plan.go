package gateway

import "github.com/portgauge/portgauge/internal/request/scatter"

// plan describes the attempts of the request to package scatter, which makes them. The leafs to query are chosen in
// candidates.go, hedges and retries in policy.go, and the times in deadlines.go.
//
// At its soft deadline, answerBy, a gathered request of a caller is answered if enough parts have arrived. A group for
// another node has no soft deadline: the parts that have arrived are sent at answerBy, and the root decides.
func (e *execution) plan() scatter.Plan {
	route := e.request.route
	e.request.Leaf.AtMostOnce = e.isAtMostOnce()
	plan := scatter.Plan{
		Shards:          make([]scatter.Shard, len(e.services)),
		Refresh:         e.candidates,
		Deadline:        e.request.deadline,
		Groups:          scatterGroups(e.groups),
		Sufficient:      e.request.leastParts(),
		AtMostOnce:      e.isAtMostOnce(),
		MaximumAttempts: route.Attempts,
		MaximumRefusals: e.gateway.cfg.MaximumRefusals,
		ReplicaWait:     e.gateway.cfg.ReplicaWait,
	}
	if e.isGathered() && e.partial == nil {
		plan.SoftDeadline = e.request.answerBy
	}
	e.planShards(&plan)
	e.limitCrashes(&plan)
	return plan
}

// planShards sets the candidates and the policy of each shard.
func (e *execution) planShards(plan *scatter.Plan) {
	e.targets = make([][]leafTarget, len(e.services))
	policies := make([]shardPolicy, len(e.services))
	for index, service := range e.services {
		policies[index] = shardPolicy{
			cfg: &e.gateway.cfg, service: service, budgets: e.gateway.budgets,
			latency: e.latency(service), answerBy: e.request.answerBy,
		}
		plan.Shards[index] = scatter.Shard{
			Candidates: e.candidates(index),
			Policy:     &policies[index],
			Spent:      e.spentAttempts,
		}
	}
}
