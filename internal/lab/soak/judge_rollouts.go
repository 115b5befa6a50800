package soak

import (
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
)

// judgeRollouts checks every promise on orders. Clear tells which visits are held to those with a time bound.
func judgeRollouts(played []rollouts.Release, clear rollouts.Clear) []Verdict {
	return []Verdict{
		judgeExposure(played, clear), judgeCondemned(played, clear), judgeBarred(played, clear),
		judgeOutcomes(played), judgeLeftover(played, clear),
	}
}

func judgeExposure(played []rollouts.Release, clear rollouts.Clear) Verdict {
	v := Verdict{Promise: "a bad version gets its share and the slack at most"}
	for _, r := range played {
		if !r.Target.Fault().IsBad() {
			continue
		}
		e := r.Exposure(clear)
		v.check(float64(e.Got) <= e.Bound(), "%s got %d of %d requests, %.0f at most", nameOf(r), e.Got, e.Reached, e.Bound())
	}
	return v
}

func judgeCondemned(played []rollouts.Release, clear rollouts.Clear) Verdict {
	v := Verdict{Promise: "a bad version gets nothing some seconds after its 50th bad answer"}
	for _, r := range played {
		if _, isCondemned := r.Condemned(); isCondemned && !r.ShowedNothing() {
			late := r.Late(clear)
			v.check(len(late) == 0, "%s got %d requests too late%s", nameOf(r), len(late), firstOf(late))
		}
	}
	return v
}

func judgeBarred(played []rollouts.Release, clear rollouts.Clear) Verdict {
	v := Verdict{Promise: "a version that no order lets serve gets nothing"}
	for _, r := range played {
		if r.Old != r.Target {
			barred := r.Barred(clear)
			v.check(len(barred) == 0, "%s got %d requests that it must not get%s", nameOf(r), len(barred), firstOf(barred))
		}
	}
	return v
}

func judgeOutcomes(played []rollouts.Release) Verdict {
	v := Verdict{Promise: "an order has one outcome: none once it was replaced, no success once it was taken back"}
	for _, r := range played {
		misled := r.Misled()
		v.check(len(misled) == 0, "%s: told %v", nameOf(r), misled)
	}
	return v
}

func judgeLeftover(played []rollouts.Release, clear rollouts.Clear) Verdict {
	v := Verdict{Promise: "old leafs have nothing once an order has succeeded"}
	for _, r := range played {
		if told, _ := r.Outcome(); told != rollouts.Succeeded || r.Old == r.Target {
			continue
		}
		left := r.Leftover(clear)
		v.check(len(left) == 0, "%s: %d requests at the old leafs%s", nameOf(r), len(left), firstOf(left))
	}
	return v
}

func nameOf(r rollouts.Release) string { return r.Target.Service() + " to " + r.Target.Name() }

// firstOf tells of the first of some visits; empty when there are none.
func firstOf(visits []rollouts.Visit) string {
	if len(visits) == 0 {
		return ""
	}
	return ", first " + visits[0].ID + " at " + visits[0].Leaf
}

// clearOf tells which visits came by links and from nodes without trouble. A gathered request may come from any node.
func (w *world) clearOf(seen []outcome) rollouts.Clear {
	byID := map[string]outcome{}
	for _, o := range seen {
		byID[o.id] = o
	}
	return func(visit rollouts.Visit) bool {
		o, found := byID[visit.ID]
		from := visit.At.Add(-rollouts.Lateness)
		if !found || w.leafTroubled(visit.Leaf, from, visit.At) {
			return false
		}
		for _, node := range w.nodes {
			if (node == o.node || o.kind == Gathered) && node.isTroubled(from, visit.At, true) {
				return false
			}
		}
		return true
	}
}

// leafTroubled reports whether a fault held on a leaf's link in a span.
func (w *world) leafTroubled(id string, from, until time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.leafs[id].troubles {
		if t.from.Before(until) && t.until.After(from) {
			return true
		}
	}
	return false
}
