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

// fault is a fault of a fleet, and how long it is left alone after it.
type fault struct {
	what string
	node string
	// target and seconds are of a spec.
	target  string
	seconds int
	after   time.Duration
}

var kinds = []string{
	"order", "order", "take back", "store down", "store up", "answer lost", "call lost", "refuse", "pause", "cut", "heal", "restart",
	"messages lost", "messages pass", "fails", "works",
}

func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			what:    rapid.SampledFrom(kinds).Draw(t, "what"),
			node:    fmt.Sprintf("n%d", rapid.IntRange(0, 4).Draw(t, "node")),
			target:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "target"),
			seconds: rapid.IntRange(1, 12).Draw(t, "seconds"),
			after:   time.Duration(rapid.IntRange(0, 40).Draw(t, "after")) * 100 * time.Millisecond,
		}
	}), 1, 14).Draw(t, "happenings")
}

// inject injects a fault and reports whether canary versions fail from then on.
func (f *fleet) inject(h fault, fails bool) bool {
	switch h.what {
	case "order":
		f.startRollout("s", h.target, time.Duration(h.seconds)*time.Second)
	case "take back":
		f.store.set(catalog.RolloutKey("s"), nil)
	case "store down", "store up":
		f.store.setDown(h.what == "store down")
	case "answer lost":
		f.store.fail(func(m *memoryStore) { m.loseDone++ })
	case "call lost":
		f.store.fail(func(m *memoryStore) { m.loseUndone++ })
	case "refuse":
		f.store.fail(func(m *memoryStore) { m.refused[h.node] = true })
	case "pause":
		if f.node(h.node).isReachable() {
			f.pause(h.node, 3*time.Second)
		}
	case "cut", "heal":
		if h.what == "heal" || f.node(h.node).isReachable() {
			f.setCut(h.node, h.what == "cut")
		}
	case "restart":
		if f.node(h.node).isReachable() {
			f.kill(h.node)
			f.start(h.node)
		}
	case "messages lost":
		f.network.SetLoss(0.5)
	case "messages pass":
		f.network.SetLoss(0)
	case "fails", "works":
		return h.what == "fails"
	}
	return fails
}

// healAll ends all faults.
func (f *fleet) healAll() {
	f.store.fail(func(m *memoryStore) {
		m.isDown, m.loseDone, m.loseUndone = false, 0, 0
		clear(m.refused)
	})
	f.network.SetLoss(0)
	for _, node := range f.all() {
		if node.isCut() {
			f.setCut(node.id, false)
		}
	}
}

// rankOfPhase orders phases: none may follow one of a higher or, if final, the same rank.
func rankOfPhase(phase rollout.Phase) int {
	switch phase {
	case rollout.Canary:
		return 0
	case rollout.Switching:
		return 1
	default:
		return 2
	}
}

// violation describes what is wrong with the states that were written; empty for nothing.
func (m *memoryStore) violation() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := map[int64]rollout.Phase{}
	for index, state := range m.states {
		before, found := last[state.SpecRevision]
		if found && rankOfPhase(state.Phase) <= rankOfPhase(before) {
			return fmt.Sprintf("%s follows on %s of order %d", state.Phase, before, state.SpecRevision)
		}
		last[state.SpecRevision] = state.Phase
		standing := m.standing[index]
		isWithoutSpec := standing == 0 && state.Phase == rollout.RolledBack
		if standing != state.SpecRevision && !isWithoutSpec {
			return fmt.Sprintf("%s was written for order %d while order %d stood", state.Phase, state.SpecRevision, standing)
		}
	}
	return ""
}

// unfinished describes a last spec, or a state of a withdrawn spec, without a final phase; empty for none.
func (m *memoryStore) unfinished() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	standing := m.find(catalog.RolloutKey("s")).LiveRevision()
	if len(m.states) == 0 {
		if standing != 0 {
			return fmt.Sprintf("order %d has no state", standing)
		}
		return ""
	}
	state := m.states[len(m.states)-1]
	if !state.Phase.IsFinal() || standing != 0 && state.SpecRevision != standing {
		return fmt.Sprintf("order %d is in force, and the last state is %s of order %d", standing, state.Phase, state.SpecRevision)
	}
	return ""
}

// Under any faults at most one final phase is written for a spec, none for one that was replaced, phases never go
// back, and without faults each spec comes to its end.
func TestOneEndForEachSpecWhateverFails(t *testing.T) {
	rapid.Check(t, func(check *rapid.T) {
		happenings := drawFaults(check)
		var violated, unfinished string
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5)
			defer f.stopAll()
			for _, version := range []string{"a", "b", "c"} {
				f.addLeafs("s", version, 2)
			}
			f.store.set(catalog.VersionsKey, rollout.Versions{ByVersion: map[string][]string{"a": {"s"}}})
			time.Sleep(time.Second)
			fails := false
			for _, h := range happenings {
				fails = f.inject(h, fails)
				failsFrom := time.Duration(never)
				if fails {
					failsFrom = 0
				}
				f.serve(h.after, failsFrom)
			}
			f.healAll()
			time.Sleep(30 * time.Second)
			violated, unfinished = f.store.violation(), f.store.unfinished()
		})
		if violated != "" || unfinished != "" {
			check.Fatalf("%s; %s", violated, unfinished)
		}
	})
}
