package soak

import (
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
)

// checkRollouts checks every promise about roll-outs. Promises that bound a time hold for the visits for which clear returns
// true.
func checkRollouts(releases []rollouts.Release, clear rollouts.Clear) []Result {
	return []Result{
		checkExposure(releases, clear), checkLateRequests(releases, clear), checkUnordered(releases, clear),
		checkOutcomes(releases), checkOldLeafs(releases, clear),
	}
}

func checkExposure(releases []rollouts.Release, clear rollouts.Clear) Result {
	v := Result{Promise: "a bad version gets its share and the slack at most"}
	for _, r := range releases {
		if !r.Target.Fault().IsBad() {
			continue
		}
		e := r.Exposure(clear)
		v.check(float64(e.Got) <= e.Bound(), "%s got %d of %d requests, %.0f at most", nameOf(r), e.Got, e.Reached, e.Bound())
	}
	return v
}

func checkLateRequests(releases []rollouts.Release, clear rollouts.Clear) Result {
	v := Result{Promise: "a bad version gets nothing some seconds after its 50th bad answer"}
	for _, r := range releases {
		if _, isCondemned := r.FiftiethBadAnswer(); isCondemned && !r.HadNoBadAnswer() {
			late := r.Late(clear)
			v.check(len(late) == 0, "%s got %d requests too late%s", nameOf(r), len(late), firstOf(late))
		}
	}
	return v
}

func checkUnordered(releases []rollouts.Release, clear rollouts.Clear) Result {
	v := Result{Promise: "a version that no order lets serve gets nothing"}
	for _, r := range releases {
		if r.Old != r.Target {
			disallowed := r.Unordered(clear)
			v.check(len(disallowed) == 0, "%s got %d requests that it must not get%s", nameOf(r), len(disallowed), firstOf(disallowed))
		}
	}
	return v
}

func checkOutcomes(releases []rollouts.Release) Result {
	v := Result{Promise: "an order has one outcome: none once it was replaced, no success once it was cancelled"}
	for _, r := range releases {
		misled := r.WrongStatuses()
		v.check(len(misled) == 0, "%s: operators read %v", nameOf(r), misled)
	}
	return v
}

func checkOldLeafs(releases []rollouts.Release, clear rollouts.Clear) Result {
	v := Result{Promise: "old leafs have nothing once an order has succeeded"}
	for _, r := range releases {
		if status, _ := r.Outcome(); status != rollouts.Succeeded || r.Old == r.Target {
			continue
		}
		left := r.AtOldVersion(clear)
		v.check(len(left) == 0, "%s: %d requests at the old leafs%s", nameOf(r), len(left), firstOf(left))
	}
	return v
}

func nameOf(r rollouts.Release) string { return r.Target.Service() + " to " + r.Target.Name() }

// firstOf describes the first of some visits, or returns "" if there are none.
func firstOf(visits []rollouts.Visit) string {
	if len(visits) == 0 {
		return ""
	}
	return ", first " + visits[0].ID + " at " + visits[0].Leaf
}

// clearOf returns a function that reports whether a visit came from nodes and over links without a fault. A gathered request
// may come from any node.
func (w *environment) clearOf(seen []outcome) rollouts.Clear {
	byID := map[string]outcome{}
	for _, o := range seen {
		byID[o.id] = o
	}
	return func(visit rollouts.Visit) bool {
		o, found := byID[visit.ID]
		from := visit.At.Add(-rollouts.Lateness)
		if !found || w.leafHadFault(visit.Leaf, from, visit.At) {
			return false
		}
		for _, node := range w.nodes {
			if (node == o.node || o.kind == Gathered) && node.hadFault(from, visit.At, true) {
				return false
			}
		}
		return true
	}
}

// leafHadFault reports whether a leaf's link had a fault between two times.
func (w *environment) leafHadFault(id string, from, until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.leafs[id].faultSpans {
		if t.from.Before(until) && t.until.After(from) {
			return true
		}
	}
	return false
}
