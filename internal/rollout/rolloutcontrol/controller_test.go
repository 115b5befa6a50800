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

// scene runs a test on a fleet of five nodes with a service "s" that version a serves, and leafs of version b beside
// it.
func scene(t *testing.T, run func(is *is.I, f *fleet)) {
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
	succeeds  = []rollout.Phase{rollout.Canary, rollout.Switching, rollout.Succeeded}
	rollsBack = []rollout.Phase{rollout.Canary, rollout.RolledBack}
)

func TestGoodVersionServesInTimeByOneWriteAPhase(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
		is.Equal(f.store.allCalls(), len(succeeds))
		last := f.store.written()[len(succeeds)-1]
		is.Equal(last.Serving, "a")
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Serving, "b")
	})
}

func TestBadVersionIsHeldByAllNodesAndRolledBack(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
		for _, node := range f.all() {
			is.True(node.isAborted(rolloutID{"s", revision}))
		}
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Canary, "")
	})
}

func TestVersionThatTurnsBadWhileSwitchingIsRolledBack(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		for _, node := range f.all() {
			node.setUnsettled()
		}
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, 8*time.Second)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.Canary, rollout.Switching, rollout.RolledBack})
	})
}

func TestFirstEvaluatorNodeDead(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.kill(f.evaluatorNode("s", 0))
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration+time.Second, never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

func TestEvaluatorNodePausedWhileAnotherWrites(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration/2, never)
		f.pause(f.evaluatorNode("s", 0), 3*time.Second)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

func TestIsolatedEvaluatorNodeNeverWritesLate(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(time.Second, never)
		cut := f.evaluatorNode("s", 0)
		f.setCut(cut, true)
		f.serve(specDuration+4*time.Second, never)
		is.Equal(f.store.phases("s"), succeeds)
		f.setCut(cut, false)
		f.serve(5*time.Second, never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

func TestStoreDownAtABadVerdict(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", specDuration)
		f.serve(2*time.Second, never)
		f.store.setDown(true)
		f.serve(3*time.Second, 0)
		for _, node := range f.all() {
			is.True(node.isAborted(rolloutID{"s", revision}))
		}
		is.Equal(f.store.phases("s"), succeeds[:1])
		f.store.setDown(false)
		f.serve(4*time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

func TestStoreDownAtAGoodVerdict(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(time.Second, never)
		f.store.setDown(true)
		f.serve(8*time.Second, never)
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Phase, rollout.Canary)
		f.store.setDown(false)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

func TestAnswerLostAfterTheWriteWasDone(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.store.fail(func(m *memoryStore) { m.loseDone = 1 })
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
		is.Equal(f.store.allCalls(), len(succeeds)+1) // it is read back once
	})
}

func TestAnswerLostBeforeTheWriteWasDone(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.store.fail(func(m *memoryStore) { m.loseUndone = 1 })
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
		is.Equal(f.store.allCalls(), len(succeeds)+2) // it is read back and written once more
	})
}

func TestStoreRefusesTheFirstEvaluatorNodeOnly(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		first := f.evaluatorNode("s", 0)
		f.store.fail(func(m *memoryStore) { m.refused[first] = true })
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

func TestSpecReplaced(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "c", 3)
		first := f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, never)
		second := f.startRollout("s", "c", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), append([]rollout.Phase{rollout.Canary}, succeeds...))
		is.Equal(f.store.written()[0].SpecRevision, first)
		for _, state := range f.store.written()[1:] {
			is.Equal(state.SpecRevision, second)
			is.Equal(state.Serving, "a")
			is.Equal(state.Target, "c")
		}
	})
}

func TestSpecWithdrawn(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		specID := f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, never)
		f.store.set(catalog.RolloutKey("s"), nil)
		f.serve(3*time.Second, never)
		is.Equal(f.store.phases("s"), rollsBack)
		is.Equal(f.store.written()[1].SpecRevision, specID)
		is.Equal(f.node("n0").catalog.View().Leafs.Rule("s").Serving, "a")
	})
}

func TestSameVersionAgainAfterARollBack(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(3*time.Second, 0)
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), append(rollsBack[:len(rollsBack):len(rollsBack)], succeeds...))
	})
}

func TestOrdersOfTwoServicesAtOnce(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.addLeafs("u", "b", 3)
		f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": {"s", "u"}}})
		time.Sleep(time.Second)
		f.startRollout("s", "b", specDuration)
		f.startRollout("u", "b", 2*specDuration)
		f.serve(3*specDuration, never)
		is.Equal(f.store.phases("s"), succeeds)
		is.Equal(f.store.phases("u"), succeeds)
	})
}

func TestTargetServesAlready(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "a", specDuration)
		f.serve(time.Second, never)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.Succeeded})
	})
}

func TestShortAndLongOrders(t *testing.T) {
	for _, duration := range []time.Duration{time.Second, time.Hour} {
		t.Run(duration.String(), func(t *testing.T) {
			scene(t, func(is *is.I, f *fleet) {
				f.startRollout("s", "b", duration)
				f.serve(duration+4*time.Second, never)
				is.Equal(f.store.phases("s"), succeeds)
				// Evaluator nodes of a second's spec can't wait until they learn of what another wrote.
				is.True(f.store.allCalls() <= f.cfg.EvaluatorNodes*len(succeeds))
				is.True(duration == time.Second || f.store.allCalls() == len(succeeds))
			})
		})
	}
}

func TestVersionWithoutLeafsIsRolledBackBeforeTheDeadline(t *testing.T) {
	for _, duration := range []time.Duration{time.Second, specDuration} {
		t.Run(duration.String(), func(t *testing.T) {
			scene(t, func(is *is.I, f *fleet) {
				f.startRollout("s", "missing", duration)
				f.serve(duration+syncDelay, never) // the evaluator nodes learn of the spec that late
				is.Equal(f.store.phases("s"), rollsBack)
				is.Equal(f.store.written()[1].Reason, "not found good in time: no attempt was counted")
			})
		})
	}
}

// Nodes that still send to the old version are waited for until some time after the spec's end; the version is not
// rolled back because of them.
func TestSlowNodesDontUndoAGoodVersion(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.node("n1").setUnsettled()
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration, never)
		is.Equal(f.store.phases("s"), succeeds[:2])
		f.serve(f.cfg.SettleWait+time.Second, never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

// Ninety specs at once stay within the bound of bytes and take few calls of the store.
func TestManyOrdersAtOnce(t *testing.T) {
	const rollouts = 90
	scene(t, func(is *is.I, f *fleet) {
		services := make([]string, rollouts)
		for number := range services {
			services[number] = fmt.Sprintf("m%d", number)
			f.addLeafs(services[number], "b", 1)
		}
		f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": append(services, "s")}})
		time.Sleep(time.Second)
		began := time.Now()
		for _, service := range services {
			f.startRollout(service, "b", specDuration)
		}
		f.serve(specDuration+2*time.Second, never)
		for _, service := range services {
			is.Equal(f.store.phases(service), succeeds)
		}
		is.True(f.store.allCalls() <= 2*rollouts*len(succeeds))
		bound := f.cfg.BurstBytes + f.cfg.BytesPerSecond*int(time.Since(began)/time.Second+1)
		for _, node := range f.all() {
			is.True(node.sentBytes <= bound)
			is.True(node.sentBytes > 0)
		}
	})
}
