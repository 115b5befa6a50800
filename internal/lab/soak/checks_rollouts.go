package soak

import (
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
)

// checkRollouts checks every guarantee about rollouts. Guarantees with a time bound are checked only for requests for
// which clear returns true.
func checkRollouts(releases []rollouts.Release, clear rollouts.FaultFree) []Result {
	return []Result{
		checkExposure(releases, clear), checkLateRequests(releases, clear), checkOutsideRollout(releases, clear),
		checkOutcomes(releases), checkOldLeafs(releases, clear),
	}
}

func checkExposure(releases []rollouts.Release, clear rollouts.FaultFree) Result {
	result := Result{Guarantee: "a bad version receives at most its share of the requests and the slack"}
	for _, r := range releases {
		if !r.Target.Fault().IsBad() {
			continue
		}
		e := r.Exposure(clear)
		result.check(float64(e.Received) <= e.Bound(), "%s received %d of %d requests, bound %.0f", nameOf(r), e.Received, e.Reached, e.Bound())
	}
	return result
}

func checkLateRequests(releases []rollouts.Release, clear rollouts.FaultFree) Result {
	result := Result{Guarantee: "a bad version receives no requests later than the bound after its 50th bad answer"}
	for _, r := range releases {
		if _, hadFiftyBadAnswers := r.FiftiethBadAnswer(); hadFiftyBadAnswers && !r.SucceededBeforeBadAnswer() {
			late := r.Late(clear)
			result.check(len(late) == 0, "%s received %d requests too late%s", nameOf(r), len(late), firstOf(late))
		}
	}
	return result
}

func checkOutsideRollout(releases []rollouts.Release, clear rollouts.FaultFree) Result {
	result := Result{Guarantee: "a version outside of a rollout receives no requests"}
	for _, r := range releases {
		if r.Old != r.Target {
			disallowed := r.OutsideRollout(clear)
			result.check(len(disallowed) == 0, "%s received %d disallowed requests%s", nameOf(r), len(disallowed), firstOf(disallowed))
		}
	}
	return result
}

func checkOutcomes(releases []rollouts.Release) Result {
	result := Result{Guarantee: "a rollout has one outcome: none after it was replaced, and no success after it was cancelled"}
	for _, r := range releases {
		wrong := r.WrongStatuses()
		result.check(len(wrong) == 0, "%s: operators read the wrong statuses %v", nameOf(r), wrong)
	}
	return result
}

func checkOldLeafs(releases []rollouts.Release, clear rollouts.FaultFree) Result {
	result := Result{Guarantee: "leafs of the old version have no requests in flight after a rollout succeeded"}
	for _, r := range releases {
		if status, _ := r.Outcome(); status != rollouts.Succeeded || r.Old == r.Target {
			continue
		}
		left := r.AtOldVersion(clear)
		result.check(len(left) == 0, "%s: %d requests at leafs of the old version%s", nameOf(r), len(left), firstOf(left))
	}
	return result
}

func nameOf(r rollouts.Release) string { return r.Target.Service() + " to " + r.Target.Name() }

// firstOf describes the first of the given requests, or returns "" if there are none.
func firstOf(requests []rollouts.ReceivedRequest) string {
	if len(requests) == 0 {
		return ""
	}
	return ", first " + requests[0].ID + " at " + requests[0].Leaf
}

// faultFreeOf returns a function that reports whether a request came from a node and over a link without a fault. Parts of a
// gathered request may come from any node.
func (e *environment) faultFreeOf(seen []outcome) rollouts.FaultFree {
	byID := map[string]outcome{}
	for _, o := range seen {
		byID[o.id] = o
	}
	return func(request rollouts.ReceivedRequest) bool {
		o, found := byID[request.ID]
		from := request.At.Add(-rollouts.Lateness)
		if !found || e.leafHadFault(request.Leaf, from, request.At) {
			return false
		}
		for _, node := range e.nodes {
			if (node == o.node || o.kind == Gathered) && node.hadFault(from, request.At, true) {
				return false
			}
		}
		return true
	}
}

// leafHadFault reports whether the leaf or its link had a fault between two times.
func (e *environment) leafHadFault(id string, from, until time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.leafs[id].faultSpans {
		if t.from.Before(until) && t.until.After(from) {
			return true
		}
	}
	return false
}
