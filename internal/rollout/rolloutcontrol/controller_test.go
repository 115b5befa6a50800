package rolloutcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
)

// withFleet runs a test on a fleet of five nodes with a service "s". Its leafs have the serving version a or version b.
func withFleet(t *testing.T, run func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stopAll()
		f.addLeafs("s", "a", 3)
		f.addLeafs("s", "b", 3)
		f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": {"s"}}})
		time.Sleep(time.Second)
		run(is.New(t), f)
	})
}

const specDuration = 12 * time.Second

var (
	successPhases  = []rollout.Phase{rollout.PhaseCanary, rollout.PhaseSwitching, rollout.PhaseSucceeded}
	rollbackPhases = []rollout.Phase{rollout.PhaseCanary, rollout.PhaseRolledBack}
)

func TestGoodVersionSucceedsWithOneWritePerPhase(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
		is.Equal(f.store.allCalls(), len(successPhases))
		last := f.store.written()[len(successPhases)-1]
		is.Equal(last.Serving, "a")
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Serving, "b")
	})
}

func TestBadVersionIsAbortedByAllNodesAndRolledBack(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, 0)
		is.Equal(f.store.phases("s"), rollbackPhases)
		for _, node := range f.all() {
			is.True(node.isAborted(specKey{"s", revision}))
		}
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Canary, "")
	})
}

func TestVersionThatFailsWhileSwitchingIsRolledBack(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		for _, node := range f.all() {
			node.setUnsettled()
		}
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, 8*time.Second)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.PhaseCanary, rollout.PhaseSwitching, rollout.PhaseRolledBack})
	})
}

func TestNextEvaluatorNodeTakesOverAfterCrash(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.kill(f.evaluatorNode("s", 0))
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration+time.Second, never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

func TestOtherEvaluatorNodeWritesWhileFirstIsPaused(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration/2, never)
		f.pause(f.evaluatorNode("s", 0), 3*time.Second)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

func TestIsolatedEvaluatorNodeNeverWritesLate(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(time.Second, never)
		isolated := f.evaluatorNode("s", 0)
		f.setIsolated(isolated, true)
		f.serve(specDuration+4*time.Second, never)
		is.Equal(f.store.phases("s"), successPhases)
		f.setIsolated(isolated, false)
		f.serve(5*time.Second, never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

func TestBadVersionIsStoppedWhileStoreIsUnavailable(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", specDuration)
		f.serve(2*time.Second, never)
		f.store.setUnavailable(true)
		f.serve(3*time.Second, 0)
		for _, node := range f.all() {
			is.True(node.isAborted(specKey{"s", revision}))
		}
		is.Equal(f.store.phases("s"), successPhases[:1])
		f.store.setUnavailable(false)
		f.serve(4*time.Second, 0)
		is.Equal(f.store.phases("s"), rollbackPhases)
	})
}

func TestGoodVerdictIsWrittenAfterStoreOutage(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(time.Second, never)
		f.store.setUnavailable(true)
		f.serve(8*time.Second, never)
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Phase, rollout.PhaseCanary)
		f.store.setUnavailable(false)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

func TestAppliedWriteWithLostAnswerIsNotRepeated(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.store.inject(func(m *memoryStore) { m.loseAnswers = 1 })
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
		is.Equal(f.store.allCalls(), len(successPhases)+1) // one call reads the state back
	})
}

func TestLostWriteIsRepeated(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.store.inject(func(m *memoryStore) { m.loseWrites = 1 })
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
		is.Equal(f.store.allCalls(), len(successPhases)+2) // one call reads the state back, one repeats the write
	})
}

func TestNextEvaluatorNodeWritesIfStoreRejectsFirst(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		first := f.evaluatorNode("s", 0)
		f.store.inject(func(m *memoryStore) { m.rejected[first] = true })
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

func TestReplacedSpecGetsNoFurtherPhase(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "c", 3)
		first := f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, never)
		second := f.startRollout("s", "c", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), append([]rollout.Phase{rollout.PhaseCanary}, successPhases...))
		is.Equal(f.store.written()[0].SpecRevision, first)
		for _, state := range f.store.written()[1:] {
			is.Equal(state.SpecRevision, second)
			is.Equal(state.Serving, "a")
			is.Equal(state.Target, "c")
		}
	})
}

func TestWithdrawnSpecIsRolledBack(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		specID := f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, never)
		f.store.set(catalog.RolloutKey("s"), nil)
		f.serve(3*time.Second, never)
		is.Equal(f.store.phases("s"), rollbackPhases)
		is.Equal(f.store.written()[1].SpecRevision, specID)
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Serving, "a")
	})
}

func TestSameVersionSucceedsAfterRollback(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, 0)
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), append(rollbackPhases[:len(rollbackPhases):len(rollbackPhases)], successPhases...))
	})
}

func TestSimultaneousSpecsOfTwoServicesSucceed(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.addLeafs("u", "b", 3)
		f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": {"s", "u"}}})
		time.Sleep(time.Second)
		f.startRollout("s", "b", specDuration)
		f.startRollout("u", "b", 2*specDuration)
		f.serve(3*specDuration, never)
		is.Equal(f.store.phases("s"), successPhases)
		is.Equal(f.store.phases("u"), successPhases)
	})
}

func TestSpecForServingVersionSucceedsAtOnce(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "a", specDuration)
		f.serve(time.Second, never)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.PhaseSucceeded})
	})
}

func TestShortAndLongSpecsSucceed(t *testing.T) {
	for _, duration := range []time.Duration{time.Second, time.Hour} {
		t.Run(duration.String(), func(t *testing.T) {
			withFleet(t, func(is *is.I, f *fleet) {
				f.startRollout("s", "b", duration)
				f.serve(duration+4*time.Second, never)
				is.Equal(f.store.phases("s"), successPhases)
				// A spec of one second is too short for the evaluator nodes to learn of each other's writes first.
				is.True(f.store.allCalls() <= f.cfg.EvaluatorNodes*len(successPhases))
				is.True(duration == time.Second || f.store.allCalls() == len(successPhases))
			})
		})
	}
}

func TestVersionWithoutLeafsIsRolledBackBeforeTheDeadline(t *testing.T) {
	for _, duration := range []time.Duration{time.Second, specDuration} {
		t.Run(duration.String(), func(t *testing.T) {
			withFleet(t, func(is *is.I, f *fleet) {
				f.startRollout("s", "missing", duration)
				f.serve(duration+syncDelay, never) // plus the delay until the evaluator nodes learn of the spec
				is.Equal(f.store.phases("s"), rollbackPhases)
				is.Equal(f.store.written()[1].Reason, "not found good in time: no attempt was counted")
			})
		})
	}
}

// The evaluator nodes wait for nodes that still send to the old version until SettleWait after the spec's end. The
// version is not rolled back because of them.
func TestSlowNodesDoNotRollBackGoodVersion(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.node("n1").setUnsettled()
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), successPhases[:2])
		f.serve(f.cfg.SettleWait+time.Second, never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

// With ninety simultaneous specs the reports stay within BytesPerSecond and the store receives few calls.
func TestManySimultaneousSpecsStayWithinLimits(t *testing.T) {
	const rollouts = 90
	withFleet(t, func(is *is.I, f *fleet) {
		services := make([]string, rollouts)
		for number := range services {
			services[number] = fmt.Sprintf("m%d", number)
			f.addLeafs(services[number], "b", 1)
		}
		f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": append(services, "s")}})
		time.Sleep(time.Second)
		startedAt := time.Now()
		for _, service := range services {
			f.startRollout(service, "b", specDuration)
		}
		f.serve(specDuration+2*time.Second, never)
		for _, service := range services {
			is.Equal(f.store.phases(service), successPhases)
		}
		is.True(f.store.allCalls() <= 2*rollouts*len(successPhases))
		bound := f.cfg.BurstBytes + f.cfg.BytesPerSecond*int(time.Since(startedAt)/time.Second+1)
		for _, node := range f.all() {
			is.True(node.sentBytes <= bound)
			is.True(node.sentBytes > 0)
		}
	})
}
