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

// All counts reach the evaluator nodes although their first reports were lost.
func TestLostReportsAreResent(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", time.Hour)
		f.network.SetLoss(1)
		f.serve(2*time.Second, never)
		time.Sleep(2 * f.cfg.ReportInterval) // all changes are reported, and the reports lost
		f.network.SetLoss(0)
		time.Sleep(2 * f.cfg.ResendInterval)
		is.True(f.attemptsCounted() > 0)
		is.Equal(f.attemptsReportedTo(f.evaluatorNode("s", 0), revision), f.attemptsCounted())
	})
}

// A node that did not receive an abort receives it again when it reports counts.
func TestLostAbortIsResent(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		missed := f.otherNode("s")
		revision := f.startRollout("s", "b", specDuration)
		f.serve(2*time.Second, never)
		f.store.setUnavailable(true)
		f.network.Cut(func(_, to string) bool { return to == missed })
		f.serve(2*time.Second, 0)
		is.True(!f.node(missed).isAborted(specKey{"s", revision}))
		f.network.Cut(nil)
		f.serve(2*f.cfg.ReportInterval, 0)
		is.True(f.node(missed).isAborted(specKey{"s", revision}))
	})
}

// An abort that arrives before its spec takes effect when the node learns of the spec.
func TestAbortBeforeSpecTakesEffect(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		node := f.node("n0")
		revision := f.startRollout("s", "b", specDuration)
		node.controller.HandleAbort("n1", peer.RolloutAbort{Service: "s", SpecID: revision})
		node.clearAborts() // a splitter without the spec may drop its abort
		time.Sleep(2 * syncDelay)
		is.True(node.isAborted(specKey{"s", revision}))
	})
}

// A fleet query that hangs does not delay the next one.
func TestUnresponsiveNodeDoesNotDelaySwitch(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.node(f.evaluatorNode("s", 0)).hangingQueries.Store(1)
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration/2+3*f.cfg.SettleInterval+f.cfg.finalWatch(specDuration), never)
		is.Equal(f.store.phases("s"), successPhases)
	})
}

// The answer of an unregistered node does not replace the missing answer of a registered node.
func TestUnregisteredNodeDoesNotReplaceRegisteredNode(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		isolated := f.otherNode("s")
		f.start("unregistered")
		f.setIsolated(isolated, true)
		f.startRollout("s", "b", specDuration)
		for len(f.store.phases("s")) < 2 {
			f.serve(100*time.Millisecond, never)
		}
		f.serve(f.cfg.SettleWait-time.Second, never)
		is.Equal(f.store.phases("s"), successPhases[:2])
		f.serve(3*time.Second, never)
		is.Equal(f.store.phases("s"), successPhases)
		is.Equal(f.store.written()[2].Reason, "all nodes that answer are settled")
	})
}

// An evaluator node that counts no requests itself writes the rollback after the abort of another evaluator node.
func TestEvaluatorNodesApplyReceivedAbort(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		first, second, third := f.evaluatorNode("s", 0), f.evaluatorNode("s", 1), f.evaluatorNode("s", 2)
		f.startRollout("s", "b", specDuration)
		f.serve(time.Second, never)
		f.store.inject(func(m *memoryStore) { m.rejected[first] = true })
		f.network.Cut(func(from, to string) bool { return from != first && (to == second || to == third) })
		f.node(second).stopRequests()
		f.node(third).stopRequests()
		f.serve(4*time.Second, 0)
		is.Equal(f.store.phases("s"), rollbackPhases)
	})
}

// An evaluator node that reported no counts receives the abort, even if the first message is lost.
func TestEvaluatorNodesWithoutCountsReceiveAbort(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		first, second, third := f.evaluatorNode("s", 0), f.evaluatorNode("s", 1), f.evaluatorNode("s", 2)
		f.node(second).stopRequests()
		f.node(third).stopRequests()
		f.store.inject(func(m *memoryStore) { m.rejected[first] = true })
		f.network.Cut(func(_, to string) bool { return to == second || to == third })
		f.startRollout("s", "b", specDuration)
		f.serve(4*time.Second, time.Second)
		f.network.Cut(func(from, to string) bool { return from != first && (to == second || to == third) })
		f.serve(2*time.Second, 0)
		is.Equal(f.store.phases("s"), rollbackPhases)
	})
}

// blockingWriter blocks the write for each spec until its channel is closed.
type blockingWriter map[int64]chan struct{}

func (w blockingWriter) Write(_ context.Context, _ rollout.State, _, specRevision int64) (int64, error) {
	<-w[specRevision]
	return 1, nil
}

// A write that ends after its spec was replaced does not change the schedule of the next spec.
func TestLateWriteChangesOnlyItsOwnSchedule(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		writes := blockingWriter{1: make(chan struct{}), 2: make(chan struct{})}
		c := New(Deps{Config: f.cfg, States: writes, Events: f.node("n0"), Catalog: f.node("n0").catalog})
		startWrite := func(specRevision int64) *writeSchedule {
			state := rollout.State{Service: "s", SpecRevision: specRevision, Phase: rollout.PhaseCanary}
			c.write(context.Background(), time.Now(), phaseWrite{event: PhaseWriteEvent{State: state}, specRevision: specRevision})
			synctest.Wait()
			return c.schedules["s"]
		}
		startWrite(1)
		delete(c.schedules, "s")
		next := startWrite(2)
		is.True(next.isBusy)
		close(writes[1])
		c.writeDone(time.Now(), <-c.writeResults)
		is.True(next.isBusy && !next.isDone)
		close(writes[2])
		c.writeDone(time.Now(), <-c.writeResults)
		is.True(next.isDone && !next.isBusy)
	})
}

// A new evaluator node of a service receives the counts from before it became one.
func TestNewEvaluatorNodesReceiveAllCounts(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", time.Hour)
		f.serve(2*time.Second, never)
		time.Sleep(f.cfg.ResendInterval / 2) // no resend is due soon
		f.store.set(catalog.NodeKey(f.evaluatorNode("s", 0)), nil)
		time.Sleep(syncDelay + 2*f.cfg.ReportInterval)
		for _, evaluatorNode := range f.evaluatorNodes("s") {
			is.Equal(f.attemptsReportedTo(evaluatorNode.ID, revision), f.attemptsCounted())
		}
	})
}

// A restarted process counts from zero. The counts of the previous process are neither lost nor counted twice.
func TestCountsOfRestartedNodeAreAdded(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		revision := f.startRollout("s", "b", time.Hour)
		evaluatorID := f.evaluatorNode("s", 0)
		f.serve(2*time.Second, never)
		time.Sleep(time.Second)
		restarted := f.otherNode("s")
		count := func() int64 { return f.attemptsReportedTo(evaluatorID, revision) }
		before := count()
		f.kill(restarted)
		node := f.start(restarted)
		time.Sleep(f.cfg.ResendInterval)
		is.Equal(count(), before)
		for range 3 {
			node.sendRequests(false)
		}
		time.Sleep(2 * f.cfg.ResendInterval)
		is.Equal(count(), before+2*3) // requests to both versions
	})
}

// A spec's duration continues while machines are suspended.
func TestSuspendedEvaluatorNodesKeepTheDeadline(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "missing", specDuration)
		f.serve(specDuration/2, never)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.PhaseCanary})
		for _, node := range f.all() {
			node.suspended.Store(int64(specDuration / 2))
		}
		f.serve(2*time.Second, never) // the evaluator nodes first wait for reports
		is.Equal(f.store.phases("s"), rollbackPhases)
	})
}

// After a suspension an evaluator node reads new reports before it evaluates: its old counts would pass a version that
// failed meanwhile.
func TestResumedEvaluatorNodeReadsReportsFirst(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		f.serve(specDuration/4, never)
		first := f.evaluatorNode("s", 0)
		f.pause(first, 500*time.Millisecond)
		f.serve(300*time.Millisecond, 0)
		f.node(first).suspended.Store(int64(specDuration / 2))
		f.serve(time.Second, 0)
		is.Equal(f.store.phases("s"), rollbackPhases)
	})
}

func TestRestartedEvaluatorNodesKeepTheDeadline(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "missing", specDuration)
		f.serve(specDuration/2, never)
		for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
			f.kill(id)
		}
		for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
			f.start(id)
		}
		f.serve(specDuration/2, never)
		is.Equal(f.store.phases("s"), rollbackPhases)
	})
}
