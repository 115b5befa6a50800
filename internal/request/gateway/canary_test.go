package gateway

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/leaf/warmup"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// First attempts that are sent to the canary version go to one leaf at a time.
func TestCanaryAttemptsGoToOneLeafAtATime(t *testing.T) {
	for _, path := range []string{"/single/1", "/pages/1"} {
		withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
			for range 10 {
				_, err := g.Serve(g.t.Context(), newRequest(path))
				is.NoErr(err)
				is.Equal(g.queried(), []string{"s0c"})
			}
			time.Sleep(time.Minute / 12)
			_, err := g.Serve(g.t.Context(), newRequest(path))
			is.NoErr(err)
			is.Equal(g.queried(), []string{"s0d"})
		})
	}
}

// After a failure of the canary version, the retry or hedge goes to the serving version, and its answer is returned.
func TestFailedCanaryAttemptIsRetriedAtServingVersion(t *testing.T) {
	cases := map[string]func(leaf string) (time.Duration, *leafhttp.Response, error){
		"failure": func(leaf string) (time.Duration, *leafhttp.Response, error) { return 0, answered(500, leaf), nil },
		"refusal": func(string) (time.Duration, *leafhttp.Response, error) { return 0, refused(503), nil },
		"broken": func(string) (time.Duration, *leafhttp.Response, error) {
			return 0, nil, &leafhttp.BrokenAnswerError{Cause: errUnresponsive}
		},
		"silence": func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil },
	}
	for name, c := range cases {
		for _, path := range []string{"/single/1", "/pages/1"} {
			t.Run(name+path, func(t *testing.T) {
				withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
					for range 5 { // earn the budget for a hedge
						_, err := g.Serve(g.t.Context(), newRequest(path))
						is.NoErr(err)
					}
					g.queried()
					g.canaryAnswer = c
					answer, err := g.Serve(g.t.Context(), newRequest(path))
					is.NoErr(err)
					is.Equal(answer.Missing, 0)
					is.Equal(answer.Status, 200)
					queried := g.queried()
					is.Equal(len(queried), 2)
					is.True(isCanary(queried[0]) && !isCanary(queried[1]))
				})
			})
		}
	}
}

// If no canary can be queried, the attempt goes to the serving version at once, and a later request goes to the canary.
func TestCanaryDecisionWithoutUsableLeafFallsBack(t *testing.T) {
	withCanary(t, canary.DefaultConfig(), func(is *is.I, g *canaryGateway) {
		g.warmup = warmup.New(warmup.DefaultConfig(), g.catalog, registeredFleet{}, catalog.NodeRecord{ID: "n"})
		for _, id := range []string{"s0c", "s0d"} {
			cold := versionedLeaf(id, "v2", "")
			cold.WarmupMillis = 1000
			put(g.t, g.catalog, catalog.LeafKey(id), cold)
		}
		routes := routing.Configuration{Version: 2, Services: []routing.Service{{Name: "s0", ColdRequestsPerSecond: 4}}}
		routes.Routes = []routing.Route{{Host: "h", Prefix: "/single/", Service: "s0", Repeatability: routing.Repeatable}}
		put(g.t, g.catalog, catalog.RoutesKey, routes)
		began := time.Now()
		for range 50 {
			_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
		}
		is.Equal(time.Since(began), 50*time.Millisecond)
		is.True(!slices.ContainsFunc(g.queried(), isCanary))
		time.Sleep(time.Second)
		for range 4 {
			_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
		}
		is.True(!slices.ContainsFunc(g.queried(), func(leaf string) bool { return !isCanary(leaf) }))
	})
}

// A request that runs at most once is not sent to the canary version for its share.
func TestAtMostOnceRequestsStayWithServingVersion(t *testing.T) {
	withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
		for range 20 {
			_, err := g.Serve(g.t.Context(), newRequest("/once/1"))
			is.NoErr(err)
		}
		is.True(!slices.ContainsFunc(g.queried(), isCanary))
	})
}

// delayedLeafs checks whether a leaf may be queried only when it sends, like a pool after waiting for a connection.
type delayedLeafs struct {
	*scriptedLeafs
	wait    time.Duration
	maySend func(leaf string) bool
}

func (s *delayedLeafs) Start(target leafhttp.Target, request *leafhttp.Request, deadline time.Time, done leafhttp.Done) context.CancelCauseFunc {
	time.AfterFunc(s.wait, func() {
		if !s.maySend(target.LeafID) {
			done(nil, &leafhttp.NeverSentError{Cause: errUnresponsive})
			return
		}
		s.scriptedLeafs.Start(target, request, deadline, done)
	})
	return func(error) {}
}

// A planned attempt is not sent if the rollout is cancelled, aborted or ended meanwhile. The caller gets the answer of
// the version that may be queried by then.
func TestPlannedAttemptIsCheckedBeforeSending(t *testing.T) {
	cases := map[string]struct {
		cfg    canary.Config
		change func(g *canaryGateway)
		want   bool // whether the canary version answers
	}{
		"cancelled":   {allToCanary(), func(g *canaryGateway) { put(g.t, g.catalog, catalog.RolloutKey("s0"), nil) }, false},
		"rolled back": {allToCanary(), func(g *canaryGateway) { g.enterPhase(rollout.PhaseRolledBack) }, false},
		"aborted":     {allToCanary(), func(g *canaryGateway) { g.canary.Abort("s0", g.specID) }, false},
		"expired":     {allToCanary(), func(*canaryGateway) {}, false},
		"succeeded":   {noneToCanary(), func(g *canaryGateway) { g.enterPhase(rollout.PhaseSucceeded) }, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withCanary(t, c.cfg, func(is *is.I, g *canaryGateway) {
				g.Gateway.leafs = &delayedLeafs{g.leafs, 20 * time.Millisecond, g.canary.MaySend}
				if name == "expired" {
					time.Sleep(time.Minute - 10*time.Millisecond)
				}
				go func() {
					time.Sleep(10 * time.Millisecond)
					c.change(g)
				}()
				answer, err := g.Serve(g.t.Context(), newRequest("/single/1"))
				is.NoErr(err)
				queried := g.queried()
				is.Equal(len(queried), 1)
				is.Equal(isCanary(queried[0]), c.want)
				is.Equal(answer.Status, 200)
			})
		})
	}
}

// A leaf of a disallowed version is not queried or warmed, whether it is ready, on the stored list or was lost
// recently, even if no other leaf is left.
func TestDisallowedLeafsAreNeitherQueriedNorWarmed(t *testing.T) {
	withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
		var stored leafset.List
		for _, id := range []string{"s0c", "s0d", "s0e"} {
			stored.Leafs = append(stored.Leafs, versionedLeaf(id, "v2", ""))
		}
		put(g.t, g.catalog, catalog.StoredLeafsKey, stored)
		g.enterPhase(rollout.PhaseRolledBack)
		put(g.t, g.catalog, catalog.LeafKey("s0d"), nil)
		for _, id := range []string{"s0a", "s0b"} {
			put(g.t, g.catalog, catalog.LeafKey(id), nil)
		}
		g.Warm()
		for range 20 {
			if _, err := g.Serve(g.t.Context(), newRequest("/single/1")); err != nil {
				is.Equal(failure.From(err).Execution, failure.NotRun)
			}
			time.Sleep(200 * time.Millisecond) // lost leafs stay candidates for a while
		}
		is.True(!slices.ContainsFunc(g.queried(), func(leaf string) bool { return leaf != "s0a" && leaf != "s0b" }))
		is.True(!slices.ContainsFunc(g.leafs.warmed, func(leaf string) bool { return leaf == "s0c" || leaf == "s0d" || leaf == "s0e" }))
		began := time.Now()
		_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
		is.Equal(failure.From(err).Code, failure.Overloaded)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// After the ramp, only the leafs of the new version are queried and warmed.
func TestTargetVersionServesAfterRamp(t *testing.T) {
	withCanary(t, noneToCanary(), func(is *is.I, g *canaryGateway) {
		g.finishSwitch()
		g.Warm()
		is.True(slices.ContainsFunc(g.leafs.warmed, isCanary))
		is.True(!slices.Contains(g.leafs.warmed, "s0a") && !slices.Contains(g.leafs.warmed, "s0b"))
		for _, path := range []string{"/single/1", "/once/1", "/pages/1"} {
			var serving sync.WaitGroup
			for range 10 {
				serving.Go(func() {
					_, err := g.Serve(g.t.Context(), newRequest(path))
					is.NoErr(err)
				})
			}
			serving.Wait()
		}
		queried := g.queried()
		is.True(!slices.ContainsFunc(queried, func(leaf string) bool { return !isCanary(leaf) }))
		is.True(slices.Contains(queried, "s0c") && slices.Contains(queried, "s0d"))
		g.removeLeafs("s0a", "s0b")
		_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
		is.NoErr(err)
		put(g.t, g.catalog, catalog.LeafKey("s0a"), versionedLeaf("s0a", "v1", ""))
		g.removeLeafs("s0c", "s0d")
		began := time.Now()
		_, err = g.Serve(g.t.Context(), newRequest("/single/1"))
		is.Equal(failure.From(err).Code, failure.Overloaded)
		is.Equal(time.Since(began), time.Duration(0))
	})
}

// Once all requests go to the new version, its leafs are still queried shortly after discovery lost them all.
func TestRecentlyLostTargetLeafsAreQueried(t *testing.T) {
	withCanary(t, noneToCanary(), func(is *is.I, g *canaryGateway) {
		g.finishSwitch()
		for _, id := range []string{"s0c", "s0d"} {
			put(g.t, g.catalog, catalog.LeafKey(id), nil)
		}
		for _, path := range []string{"/single/1", "/pages/1"} {
			answer, err := g.Serve(g.t.Context(), newRequest(path))
			is.NoErr(err)
			is.Equal(answer.Missing, 0)
			queried := g.queried()
			is.True(len(queried) == 1 && isCanary(queried[0]))
		}
	})
}

// During the ramp, a failure of either version is retried at the other.
func TestRetriesGoToOtherVersionDuringRamp(t *testing.T) {
	withCanary(t, noneToCanary(), func(is *is.I, g *canaryGateway) {
		g.leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return 0, answered(500, leaf), nil
		}
		g.enterPhase(rollout.PhaseSwitching) // no first attempts go to the canary yet
		_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
		is.NoErr(err)
		is.True(!isCanary(g.queried()[0]))
		retried := false
		for range 40 {
			_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
			queried := g.queried()
			retried = retried || !isCanary(queried[0]) && len(queried) > 1 && isCanary(queried[1])
		}
		is.True(retried)
	})
	withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
		g.enterPhase(rollout.PhaseSwitching)
		g.canaryAnswer = func(leaf string) (time.Duration, *leafhttp.Response, error) { return 0, answered(500, leaf), nil }
		retried := false
		for range 40 {
			_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
			queried := g.queried()
			is.True(isCanary(queried[0]))
			retried = retried || len(queried) > 1 && !isCanary(queried[1])
		}
		is.True(retried)
	})
}

// The node is settled only when the last attempt at the old version has ended, even if it began before the switch.
func TestNodeIsNotSettledWhileAttemptIsInFlight(t *testing.T) {
	withCanary(t, noneToCanary(), func(is *is.I, g *canaryGateway) {
		g.leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return 700 * time.Millisecond, answered(200, leaf), nil
		}
		cfg := noneToCanary()
		cfg.Ramp = 100 * time.Millisecond
		g.canary = canary.New(cfg, g.catalog, canaryFleet{})
		served := make(chan error)
		go func() {
			_, err := g.Serve(g.t.Context(), newRequest("/once/1"))
			served <- err
		}()
		time.Sleep(10 * time.Millisecond)
		g.enterPhase(rollout.PhaseSwitching)
		time.Sleep(200 * time.Millisecond)
		is.Equal(g.canary.SettledRevision(), g.catalog.Revision()-1)
		is.NoErr(<-served)
		is.Equal(g.canary.SettledRevision(), g.catalog.Revision())
	})
}

// A node opens a connection to a canary leaf once it has both the rollout and the leaf, once per rollout spec.
func TestCanaryIsWarmed(t *testing.T) {
	withCanary(t, noneToCanary(), func(is *is.I, g *canaryGateway) {
		for _, id := range []string{"s0c", "s0d"} {
			put(g.t, g.catalog, catalog.LeafKey(id), nil)
		}
		ctx, cancel := context.WithCancel(g.t.Context())
		go g.KeepWarm(ctx)
		synctest.Wait()
		is.True(!slices.ContainsFunc(g.leafs.warmed, isCanary))
		for index := range 3 {
			put(g.t, g.catalog, catalog.LeafKey("s0d"), versionedLeaf("s0d", "v2", ""))
			put(g.t, g.catalog, catalog.EvacuationKey(fmt.Sprint(index)), struct{}{})
		}
		synctest.Wait()
		g.leafs.mu.Lock()
		is.Equal(slices.DeleteFunc(slices.Clone(g.leafs.warmed), func(leaf string) bool { return !isCanary(leaf) }), []string{"s0d"})
		g.leafs.mu.Unlock()
		put(g.t, g.catalog, catalog.RolloutKey("s0"), rollout.Spec{Service: "s0", Target: "v2", DurationMillis: 1000})
		synctest.Wait()
		is.Equal(len(slices.DeleteFunc(slices.Clone(g.leafs.warmed), func(leaf string) bool { return !isCanary(leaf) })), 2)
		cancel()
		synctest.Wait()
	})
}

// The end of an attempt counts as evidence about its leaf's version if it shows anything about the version.
func TestAttemptEndsAreCountedAsEvidence(t *testing.T) {
	cases := map[string]struct {
		answer    func(leaf string) (time.Duration, *leafhttp.Response, error)
		answered  int64
		failed    int64
		cancelled int64
	}{
		"success": {func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(200, leaf), nil
		}, 1, 0, 0},
		"failure": {func(leaf string) (time.Duration, *leafhttp.Response, error) {
			return time.Millisecond, answered(500, leaf), nil
		}, 1, 1, 0},
		"unsigned": {func(string) (time.Duration, *leafhttp.Response, error) {
			return 0, &leafhttp.Response{Status: 502}, nil
		}, 0, 0, 0},
		"refusal": {func(string) (time.Duration, *leafhttp.Response, error) { return 0, refused(503), nil }, 0, 0, 0},
		"unsent": {func(string) (time.Duration, *leafhttp.Response, error) {
			return 0, nil, &leafhttp.NeverSentError{Cause: errUnresponsive}
		}, 0, 0, 0},
		"no connection": {func(string) (time.Duration, *leafhttp.Response, error) {
			return 0, nil, &leafhttp.ConnectionResetError{Cause: errUnresponsive}
		}, 0, 0, 0},
		"broken": {func(string) (time.Duration, *leafhttp.Response, error) {
			return 0, nil, &leafhttp.BrokenAnswerError{Cause: errUnresponsive}
		}, 0, 0, 0},
		"silence": {func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil }, 0, 0, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withCanary(t, allToCanary(), func(is *is.I, g *canaryGateway) {
				for range 5 { // earn the budget for a hedge
					_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
					is.NoErr(err)
				}
				synctest.Wait()
				before := g.canaryTally(is)
				g.canaryAnswer = c.answer
				_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
				is.NoErr(err)
				synctest.Wait()
				after := g.canaryTally(is)
				is.Equal(after.Answered.Total()-before.Answered.Total(), c.answered)
				is.Equal(after.Failures-before.Failures, c.failed)
				is.Equal(after.Cancelled.Total()-before.Cancelled.Total(), c.cancelled)
			})
		})
	}
}
