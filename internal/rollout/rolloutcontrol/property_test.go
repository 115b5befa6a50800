package rolloutcontrol

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/rollout"
)

// action is an action on a fleet and the time to the next one.
type action struct {
	kind string
	node string
	// target and seconds are the target and the duration of a spec.
	target  string
	seconds int
	pause   time.Duration
}

var actionKinds = []string{
	"spec", "spec", "withdraw", "store down", "store up", "answer lost", "call lost", "reject", "pause", "isolate", "reconnect", "restart",
	"messages lost", "messages pass", "fails", "works",
}

func drawActions(t *rapid.T) []action {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			kind:    rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			node:    fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "node")),
			target:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target"),
			seconds: rapid.IntRange(1, 12).Draw(t, "seconds"),
			pause:   time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * 100 * time.Millisecond,
		}
	}), 1, 14).Draw(t, "actions")
}

// apply executes an action and reports whether canary versions fail afterwards.
func (f *fleet) apply(a action, fails bool) bool {
	switch a.kind {
	case "spec":
		f.startRollout("s", a.target, time.Duration(a.seconds)*time.Second)
	case "withdraw":
		f.store.set(catalog.RolloutKey("s"), nil)
	case "store down", "store up":
		f.store.setUnavailable(a.kind == "store down")
	case "answer lost":
		f.store.inject(func(m *memoryStore) { m.loseAnswers++ })
	case "call lost":
		f.store.inject(func(m *memoryStore) { m.loseWrites++ })
	case "reject":
		f.store.inject(func(m *memoryStore) { m.rejected[a.node] = true })
	case "pause":
		if f.node(a.node).isReachable() {
			f.pause(a.node, 3*time.Second)
		}
	case "isolate", "reconnect":
		if a.kind == "reconnect" || f.node(a.node).isReachable() {
			f.setIsolated(a.node, a.kind == "isolate")
		}
	case "restart":
		if f.node(a.node).isReachable() {
			f.kill(a.node)
			f.start(a.node)
		}
	case "messages lost":
		f.network.SetLoss(0.5)
	case "messages pass":
		f.network.SetLoss(0)
	case "fails", "works":
		return a.kind == "fails"
	}
	return fails
}

// clearFaults ends all faults.
func (f *fleet) clearFaults() {
	f.store.inject(func(m *memoryStore) {
		m.isUnavailable, m.loseAnswers, m.loseWrites = false, 0, 0
		clear(m.rejected)
	})
	f.network.SetLoss(0)
	for _, node := range f.all() {
		if node.isIsolated() {
			f.setIsolated(node.id, false)
		}
	}
}

// phaseOrder returns the position of a phase. The positions of a spec's phases must increase.
func phaseOrder(phase rollout.Phase) int {
	switch phase {
	case rollout.PhaseCanary:
		return 0
	case rollout.PhaseSwitching:
		return 1
	default:
		return 2
	}
}

// violation describes the first invalid state that was written, empty if there is none.
func (m *memoryStore) violation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := map[int64]rollout.Phase{}
	for index, state := range m.states {
		before, found := last[state.SpecRevision]
		if found && phaseOrder(state.Phase) <= phaseOrder(before) {
			return fmt.Sprintf("%s follows %s of spec %d", state.Phase, before, state.SpecRevision)
		}
		last[state.SpecRevision] = state.Phase
		inForce := m.specRevisions[index]
		isWithoutSpec := inForce == 0 && state.Phase == rollout.PhaseRolledBack
		if inForce != state.SpecRevision && !isWithoutSpec {
			return fmt.Sprintf("%s was written for spec %d while spec %d was in force", state.Phase, state.SpecRevision, inForce)
		}
	}
	return ""
}

// unfinished describes the last spec, or the state of a withdrawn spec, if its phase is not final; else it is empty.
func (m *memoryStore) unfinished() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	inForce := m.find(catalog.RolloutKey("s")).LiveRevision()
	if len(m.states) == 0 {
		if inForce != 0 {
			return fmt.Sprintf("spec %d has no state", inForce)
		}
		return ""
	}
	state := m.states[len(m.states)-1]
	if !state.Phase.IsFinal() || inForce != 0 && state.SpecRevision != inForce {
		return fmt.Sprintf("spec %d is in force, and the last state is %s of spec %d", inForce, state.Phase, state.SpecRevision)
	}
	return ""
}

// Under any faults at most one final phase is written for each spec and none for a replaced one, and phases never go
// back. After the faults have ended each spec reaches a final phase.
func TestEachSpecEndsOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		actions := drawActions(check)
		var violation, unfinished string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5)
			defer f.stopAll()
			for _, version := range []string{"a", "b", "c"} {
				f.addLeafs("s", version, 2)
			}
			f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": {"s"}}})
			time.Sleep(time.Second)
			fails := false
			for _, a := range actions {
				fails = f.apply(a, fails)
				failsFrom := time.Duration(never)
				if fails {
					failsFrom = 0
				}
				f.serve(a.pause, failsFrom)
			}
			f.clearFaults()
			time.Sleep(30 * time.Second)
			violation, unfinished = f.store.violation(), f.store.unfinished()
		})
		if violation != "" || unfinished != "" {
			check.Fatalf("%s; %s", violation, unfinished)
		}
	})
}
