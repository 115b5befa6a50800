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

const leafServiceTime = time.Millisecond

// newVersionWithRequests returns a version whose leaf received requests at the given times.
func newVersionWithRequests(name string, fault rollouts.Fault, rolloutStart time.Time, times ...time.Time) *rollouts.Version {
	v := rollouts.NewVersion("s", name, leafServiceTime, fault)
	v.SetRolloutStart(rolloutStart)
	for _, at := range times {
		v.Answer("leaf-1", httpleaf.Request{ID: name + at.String(), Incarnation: "leaf-1", At: at}, nil)
	}
	return v
}

// Each rollout check passes a run that keeps its guarantee and reports one that breaks it.
func TestRolloutChecksReportBrokenGuarantees(t *testing.T) {
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
			Old: newVersionWithRequests("a", rollouts.Fault{}, began, old...), Target: newVersionWithRequests("b", bad, began, target...),
			Duration: 10 * time.Second, At: began, Revision: 1,
		}
		for index, outcome := range status {
			r.Statuses = append(r.Statuses, rollouts.StatusReading{Revision: int64(2 + index), Target: "b", Outcome: outcome, At: began.Add(time.Second)})
		}
		return []rollouts.Release{r}
	}
	serve := after(0, 100)
	fiftyBadAnswers := after(0, rollouts.Slack)
	const late = rollouts.Lateness + 2*time.Second
	cases := map[string]struct{ good, bad Result }{
		"exposure": {
			checkExposure(release(serve, after(0, rollouts.Slack)), rollouts.AlwaysFaultFree),
			checkExposure(release(serve, after(0, rollouts.Slack+20)), rollouts.AlwaysFaultFree),
		},
		"late requests": {
			checkLateRequests(release(serve, append(fiftyBadAnswers, after(time.Second, 1)...)), rollouts.AlwaysFaultFree),
			checkLateRequests(release(serve, append(fiftyBadAnswers, after(late, 1)...)), rollouts.AlwaysFaultFree),
		},
		"outside of a rollout": {
			checkOutsideRollout(release(serve, after(2*time.Second, 1), rollouts.RolledBack), rollouts.AlwaysFaultFree),
			checkOutsideRollout(release(serve, after(late, 1), rollouts.RolledBack), rollouts.AlwaysFaultFree),
		},
		"outcomes": {
			checkOutcomes(release(nil, nil, rollouts.Running, rollouts.RolledBack)),
			checkOutcomes(release(nil, nil, rollouts.RolledBack, rollouts.Succeeded)),
		},
		"old leafs": {
			checkOldLeafs(release(serve, nil, rollouts.Succeeded), rollouts.AlwaysFaultFree),
			checkOldLeafs(release(after(2*time.Second, 1), nil, rollouts.Succeeded), rollouts.AlwaysFaultFree),
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

// A request is exempt from time bounds if shortly before it there was a fault of its caller's node, of any node if it was
// gathered, or of the leaf's link.
func TestRequestsNearAFaultAreExempt(t *testing.T) {
	e := newIdleEnvironment(t)
	now := time.Now()
	own, other := &nodeState{name: "own"}, &nodeState{name: "other"}
	e.nodes = []*nodeState{own, other}
	seen := []outcome{{id: "single", kind: Single, node: own}, {id: "gathered", kind: Gathered, node: own}}
	recently := []faultSpan{{from: now.Add(-2 * time.Second), until: now.Add(-time.Second)}}
	cases := map[string]struct {
		own, other, leaf []faultSpan
		single, gathered bool
	}{
		"no fault":     {nil, nil, nil, true, true},
		"own node":     {recently, nil, nil, false, false},
		"another node": {nil, recently, nil, true, false},
		"leaf":         {nil, nil, recently, false, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own.faultSpans, other.faultSpans, e.leafs["leaf-1"].faultSpans = one.own, one.other, one.leaf
			clear := e.faultFreeOf(seen)
			is.Equal(clear(rollouts.ReceivedRequest{Leaf: "leaf-1", ID: "single", At: now}), one.single)
			is.Equal(clear(rollouts.ReceivedRequest{Leaf: "leaf-1", ID: "gathered", At: now}), one.gathered)
			is.True(!clear(rollouts.ReceivedRequest{Leaf: "leaf-1", ID: "unknown", At: now}))
		})
	}
}

// An operator records each status once, and does not attribute the status of a replaced rollout to the next one.
func TestOperatorAttributesStatusToItsRollout(t *testing.T) {
	is := is.New(t)
	e := newIdleEnvironment(t)
	o := newOperator(e, func(text string) { t.Error(text) })
	number, err := o.startRollout(t.Context(), plan{service: singleName, targetsServingVersion: true, duration: time.Second})
	is.NoErr(err)
	e.store.Put(platform.StatusKey(singleName), platform.EncodeStatus(rollout.State{Service: singleName, Target: "first", Phase: rollout.PhaseSucceeded}))
	o.readStatus(singleName)
	o.readStatus(singleName)
	status, _ := o.outcome(number)
	is.Equal(status, rollouts.Succeeded)
	is.Equal(len(o.allReleases()[number].Statuses), 1)
	second, err := o.startRollout(t.Context(), plan{service: singleName, targetsServingVersion: true, duration: time.Second})
	is.NoErr(err)
	status, _ = o.outcome(second)
	is.Equal(status, rollouts.Outcome(""))
}

// A version that another one replaced has no leaf records, and its stopped leafs answer no requests.
func TestStoppedLeafsDropRequests(t *testing.T) {
	is := is.New(t)
	e := newIdleEnvironment(t)
	old := e.servingVersion(singleName)
	next := rollouts.NewVersion(singleName, "next", leafServiceTime, rollouts.Fault{})
	old.Stop()
	e.promote(old, next)
	is.Equal(e.servingVersion(singleName), next)
	is.True(!e.leafs["leaf-3"].leavingAt.IsZero())
	_, found := e.store.Item(leafKey("leaf-3"))
	is.True(!found)
	answer, err := http.Get("http://" + e.leafs["leaf-3"].leaf.Address() + "/x")
	if err == nil {
		_ = answer.Body.Close()
	}
	is.True(err != nil)
}
