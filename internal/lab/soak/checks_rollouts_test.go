package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/platform"
)

const leafWork = time.Millisecond

// visited returns a version whose leaf received requests at some times.
func visited(name string, fault rollouts.Fault, ordered time.Time, times ...time.Time) *rollouts.Version {
	v := rollouts.NewVersion("s", name, leafWork, fault)
	v.Order(ordered)
	for _, at := range times {
		v.Answer("leaf-1", httpleaf.Request{ID: name + at.String(), Incarnation: "leaf-1", At: at}, nil)
	}
	return v
}

// Each promise about roll-outs is kept in a good case and broken in a bad one.
func TestRolloutChecksTellGoodRunsFromBad(t *testing.T) {
	began := time.Now()
	bad := rollouts.Fault{Failing: 1}
	after := func(span time.Duration, count int) []time.Time {
		var times []time.Time
		for index := range count {
			times = append(times, began.Add(span+time.Duration(index)*time.Millisecond))
		}
		return times
	}
	release := func(old, target []time.Time, status ...rollouts.Outcome) []rollouts.Release {
		r := rollouts.Release{
			Old: visited("a", rollouts.Fault{}, began, old...), Target: visited("b", bad, began, target...),
			Duration: 10 * time.Second, At: began, Revision: 1,
		}
		for index, outcome := range status {
			r.Statuses = append(r.Statuses, rollouts.StatusReading{Revision: int64(2 + index), Target: "b", Outcome: outcome, At: began.Add(time.Second)})
		}
		return []rollouts.Release{r}
	}
	serve := after(0, 100)
	condemned := after(0, rollouts.Slack)
	const late = rollouts.Lateness + 2*time.Second
	cases := map[string]struct{ good, bad Result }{
		"exposure": {
			checkExposure(release(serve, after(0, rollouts.Slack)), rollouts.Always),
			checkExposure(release(serve, after(0, rollouts.Slack+20)), rollouts.Always),
		},
		"condemned": {
			checkLateRequests(release(serve, append(condemned, after(time.Second, 1)...)), rollouts.Always),
			checkLateRequests(release(serve, append(condemned, after(late, 1)...)), rollouts.Always),
		},
		"barred": {
			checkUnordered(release(serve, after(2*time.Second, 1), rollouts.RolledBack), rollouts.Always),
			checkUnordered(release(serve, after(late, 1), rollouts.RolledBack), rollouts.Always),
		},
		"outcomes": {
			checkOutcomes(release(nil, nil, rollouts.Running, rollouts.RolledBack)),
			checkOutcomes(release(nil, nil, rollouts.RolledBack, rollouts.Succeeded)),
		},
		"leftover": {
			checkOldLeafs(release(serve, nil, rollouts.Succeeded), rollouts.Always),
			checkOldLeafs(release(after(2*time.Second, 1), nil, rollouts.Succeeded), rollouts.Always),
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(one.good.Checked, 1)
			is.Equal(len(one.good.Broken), 0)
			is.Equal(len(one.bad.Broken), 1)
		})
	}
}

// A visit is held to promises that bound a time unless there was a fault shortly before on its caller's node, on any node if
// it was gathered, or on the leaf.
func TestVisitsInTrouble(t *testing.T) {
	w := still(t)
	now := time.Now()
	own, other := &nodeState{name: "own"}, &nodeState{name: "other"}
	w.nodes = []*nodeState{own, other}
	seen := []outcome{{id: "single", kind: Single, node: own}, {id: "gathered", kind: Gathered, node: own}}
	lately := []faultSpan{{from: now.Add(-2 * time.Second), until: now.Add(-time.Second)}}
	cases := map[string]struct {
		own, other, leaf []faultSpan
		single, gathered bool
	}{
		"calm":    {nil, nil, nil, true, true},
		"own":     {lately, nil, nil, false, false},
		"another": {nil, lately, nil, true, false},
		"leaf":    {nil, nil, lately, false, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own.faultSpans, other.faultSpans, w.leafs["leaf-1"].faultSpans = one.own, one.other, one.leaf
			clear := w.clearOf(seen)
			is.Equal(clear(rollouts.Visit{Leaf: "leaf-1", ID: "single", At: now}), one.single)
			is.Equal(clear(rollouts.Visit{Leaf: "leaf-1", ID: "gathered", At: now}), one.gathered)
			is.True(!clear(rollouts.Visit{Leaf: "leaf-1", ID: "unknown", At: now}))
		})
	}
}

// An operator records each status once, and doesn't take one of a replaced order for the newer order's.
func TestOperatorReadsWhatItIsTold(t *testing.T) {
	is := is.New(t)
	w := still(t)
	o := newOperator(w, func(text string) { t.Error(text) })
	number, err := o.startRollout(t.Context(), plan{service: singleName, isServing: true, duration: time.Second})
	is.NoErr(err)
	w.store.Put(platform.StatusKey(singleName), platform.EncodeStatus(rollout.State{Service: singleName, Target: "first", Phase: rollout.Succeeded}))
	o.readStatus(singleName)
	o.readStatus(singleName)
	status, _ := o.outcome(number)
	is.Equal(status, rollouts.Succeeded)
	is.Equal(len(o.allReleases()[number].Statuses), 1)
	second, err := o.startRollout(t.Context(), plan{service: singleName, isServing: true, duration: time.Second})
	is.NoErr(err)
	status, _ = o.outcome(second)
	is.Equal(status, rollouts.Outcome(""))
}

// Leafs that an operator stops record requests and drop them.
func TestEndedLeafsAnswerNothing(t *testing.T) {
	is := is.New(t)
	w := still(t)
	old := w.servingOf(singleName)
	next := rollouts.NewVersion(singleName, "next", leafWork, rollouts.Fault{})
	old.Stop()
	w.succeed(old, next)
	is.Equal(w.servingOf(singleName), next)
	is.True(!w.leafs["leaf-3"].leavingAt.IsZero())
	_, found := w.store.Item(leafKey("leaf-3"))
	is.True(!found)
	answer, err := http.Get("http://" + w.leafs["leaf-3"].leaf.Address() + "/x")
	if err == nil {
		_ = answer.Body.Close()
	}
	is.True(err != nil)
}
