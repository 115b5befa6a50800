package rolloutcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Evaluator nodes that received no reports at first get all counts later.
func TestReportsThatWereLostAreMadeUpFor(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", time.Hour)
		f.network.SetLoss(1)
		f.serve(2*time.Second, never)
		time.Sleep(2 * f.cfg.ReportInterval) // all changes were reported, and the reports lost
		f.network.SetLoss(0)
		time.Sleep(2 * f.cfg.ResendInterval)
		is.True(f.attemptsReported() > 0)
		is.Equal(f.attemptsSeenBy(f.evaluatorNode("s", 0), revision), f.attemptsReported())
	})
}

// A node that did not receive an abort is sent it again while it reports counts.
func TestLostAbortIsSentAgain(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		missed := f.otherNode("s")
		revision := f.startRollout("s", "b", specDuration)
		f.serve(2*time.Second, never)
		f.store.setDown(true)
		f.network.Cut(func(_, to string) bool { return to == missed })
		f.serve(2*time.Second, 0)
		is.True(!f.node(missed).isAborted(rolloutID{"s", revision}))
		f.network.Cut(nil)
		f.serve(2*f.cfg.ReportInterval, 0)
		is.True(f.node(missed).isAborted(rolloutID{"s", revision}))
	})
}

// An abort that arrives before its spec applies once the spec does.
func TestAbortBeforeItsSpec(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		node := f.node("n0")
		revision := f.startRollout("s", "b", specDuration)
		node.controller.HandleAbort("n1", peer.RolloutAbort{Service: "s", SpecID: revision})
		node.forgetAborts() // what draws knows of no spec yet, and keeps no abort of it
		time.Sleep(2 * syncDelay)
		is.True(node.isAborted(rolloutID{"s", revision}))
	})
}

// A fleet call that hangs does not delay the next one.
func TestSilentNodeDoesNotHoldTheSwitchUp(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.node(f.evaluatorNode("s", 0)).hangs.Store(1)
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration/2+3*f.cfg.SettleInterval+f.cfg.finalWatch(specDuration), never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

// A node that answers without being registered does not count for a registered one that is silent.
func TestUnregisteredNodeDoesNotStandIn(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		silent := f.otherNode("s")
		f.start("unregistered")
		f.setCut(silent, true)
		f.startRollout("s", "b", specDuration)
		for len(f.store.phases("s")) < 2 {
			f.serve(100*time.Millisecond, never)
		}
		f.serve(f.cfg.SettleWait-time.Second, never)
		is.Equal(f.store.phases("s"), succeeds[:2])
		f.serve(3*time.Second, never)
		is.Equal(f.store.phases("s"), succeeds)
		is.Equal(f.store.written()[2].Reason, "all nodes that answer are settled")
	})
}

// An evaluator node without counts of its own applies the abort of another.
func TestEvaluatorNodesAdoptAnAbort(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		first, second, third := f.evaluatorNode("s", 0), f.evaluatorNode("s", 1), f.evaluatorNode("s", 2)
		f.startRollout("s", "b", specDuration)
		f.serve(time.Second, never)
		f.store.fail(func(m *memoryStore) { m.refused[first] = true })
		f.network.Cut(func(from, to string) bool { return from != first && (to == second || to == third) })
		f.node(second).stopCounting()
		f.node(third).stopCounting()
		f.serve(4*time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

// An evaluator node that reported no counts receives the abort too, even if the first message is lost.
func TestEvaluatorNodesWithoutCountsLearnOfAnAbort(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		first, second, third := f.evaluatorNode("s", 0), f.evaluatorNode("s", 1), f.evaluatorNode("s", 2)
		f.node(second).stopCounting()
		f.node(third).stopCounting()
		f.store.fail(func(m *memoryStore) { m.refused[first] = true })
		f.network.Cut(func(_, to string) bool { return to == second || to == third })
		f.startRollout("s", "b", specDuration)
		f.serve(4*time.Second, time.Second)
		f.network.Cut(func(from, to string) bool { return from != first && (to == second || to == third) })
		f.serve(2*time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

// gates delay the write for each spec until its channel is closed.
type gates map[int64]chan struct{}

func (g gates) Write(_ context.Context, _ rollout.State, _, specID int64) (int64, error) {
	<-g[specID]
	return 1, nil
}

// A write that ends after its spec was replaced does not change the schedule of the next one.
func TestLateWriteSettlesItsOwnPenOnly(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		writes := gates{1: make(chan struct{}), 2: make(chan struct{})}
		c := New(Deps{Config: f.cfg, States: writes, Events: f.node("n0"), Catalog: f.node("n0").catalog})
		begin := func(specID int64) *writeSchedule {
			state := rollout.State{Service: "s", SpecRevision: specID, Phase: rollout.Canary}
			c.write(context.Background(), time.Now(), phaseWrite{event: PhaseWriteEvent{State: state}, specID: specID})
			synctest.Wait()
			return c.schedules["s"]
		}
		begin(1)
		delete(c.schedules, "s")
		next := begin(2)
		is.True(next.isBusy)
		close(writes[1])
		c.writeDone(time.Now(), <-c.written)
		is.True(next.isBusy && !next.isDone)
		close(writes[2])
		c.writeDone(time.Now(), <-c.written)
		is.True(next.isDone && !next.isBusy)
	})
}

// New evaluator nodes of a service get the counts from before they were evaluator nodes.
func TestNewEvaluatorNodesReceiveAllCounts(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", time.Hour)
		f.serve(2*time.Second, never)
		time.Sleep(f.cfg.ResendInterval / 2) // so that no resend is due soon
		f.store.set(catalog.NodeKey(f.evaluatorNode("s", 0)), nil)
		time.Sleep(syncDelay + 2*f.cfg.ReportInterval)
		for _, evaluatorNode := range f.evaluatorNodes("s") {
			is.Equal(f.attemptsSeenBy(evaluatorNode.ID, revision), f.attemptsReported())
		}
	})
}

// A restarted process counts from zero; the counts of the one before it are neither lost nor counted twice.
func TestReporterThatRestarts(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", time.Hour)
		reports := f.evaluatorNode("s", 0)
		f.serve(2*time.Second, never)
		time.Sleep(time.Second)
		restarted := f.otherNode("s")
		count := func() int64 { return f.attemptsSeenBy(reports, revision) }
		before := count()
		f.kill(restarted)
		node := f.start(restarted)
		time.Sleep(f.cfg.ResendInterval)
		is.Equal(count(), before)
		for range 3 {
			node.ask(false)
		}
		time.Sleep(2 * f.cfg.ResendInterval)
		is.Equal(count(), before+2*3) // of both versions
	})
}

// A spec's time continues while machines are suspended.
func TestSuspendedEvaluatorNodesKeepTheDeadline(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "missing", specDuration)
		f.serve(specDuration/2, never)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.Canary})
		for _, node := range f.all() {
			node.suspended.Store(int64(specDuration / 2))
		}
		f.serve(2*time.Second, never) // they first read what arrived meanwhile
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

// An evaluator node that was suspended past the time from which a version may be found good reads the reports first, by which it
// turned bad meanwhile.
func TestResumedEvaluatorNodeReadsReportsFirst(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration/4, never)
		first := f.evaluatorNode("s", 0)
		f.pause(first, 500*time.Millisecond)
		f.serve(300*time.Millisecond, 0)
		f.node(first).suspended.Store(int64(specDuration / 2))
		f.serve(time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

func TestEvaluatorNodeThatStartsLateKeepsTheDeadline(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "missing", specDuration)
		f.serve(specDuration/2, never)
		for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
			f.kill(id)
		}
		for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
			f.start(id)
		}
		f.serve(specDuration/2, never)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}
