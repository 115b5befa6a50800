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

// Judges that hear nothing at first hear all counts later.
func TestReportsThatWereLostAreMadeUpFor(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.order("s", "b", time.Hour)
		f.network.SetLoss(1)
		f.serve(2*time.Second, never)
		time.Sleep(2 * f.cfg.ReportInterval) // whatever changed was told, and lost
		f.network.SetLoss(0)
		time.Sleep(2 * f.cfg.ResendInterval)
		is.True(f.told() > 0)
		is.Equal(f.heardBy(f.judge("s", 0), revision), f.told())
	})
}

// A node that a hold did not reach is told again as long as it counts.
func TestHoldThatWasLostIsToldAgain(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		missed := f.nonJudge("s")
		revision := f.order("s", "b", usual)
		f.serve(2*time.Second, never)
		f.store.setDown(true)
		f.network.Cut(func(_, to string) bool { return to == missed })
		f.serve(2*time.Second, 0)
		is.True(!f.node(missed).isHeld(orderKey{"s", revision}))
		f.network.Cut(nil)
		f.serve(2*f.cfg.ReportInterval, 0)
		is.True(f.node(missed).isHeld(orderKey{"s", revision}))
	})
}

// Word of a hold that overtakes its order holds the order when that comes.
func TestHoldBeforeItsOrder(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		node := f.node("n0")
		revision := f.order("s", "b", usual)
		node.controller.HandleHold("n1", peer.RolloutHold{Service: "s", Order: revision})
		node.forgetHolds() // what draws knows of no order yet, and keeps no hold of it
		time.Sleep(2 * syncDelay)
		is.True(node.isHeld(orderKey{"s", revision}))
	})
}

// A call of the fleet that hangs does not keep the next one back.
func TestSilentNodeDoesNotHoldTheSwitchUp(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.node(f.judge("s", 0)).hangs.Store(1)
		f.order("s", "b", usual)
		f.serve(usual/2+3*f.cfg.SettleInterval+f.cfg.finalWatch(usual), never)
		is.Equal(f.store.phases("s"), succeeds)
	})
}

// A node that answers without being registered does not stand in for a registered one that is silent.
func TestUnregisteredNodeDoesNotStandIn(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		silent := f.nonJudge("s")
		f.start("unregistered")
		f.setCut(silent, true)
		f.order("s", "b", usual)
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

// A judge that heard no counts itself takes another's word that the version is bad.
func TestJudgesBelieveAHold(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		first, second, third := f.judge("s", 0), f.judge("s", 1), f.judge("s", 2)
		f.order("s", "b", usual)
		f.serve(time.Second, never)
		f.store.fail(func(m *memoryStore) { m.refused[first] = true })
		f.network.Cut(func(from, to string) bool { return from != first && (to == second || to == third) })
		f.node(second).stopCounting()
		f.node(third).stopCounting()
		f.serve(4*time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

// A judge that told of no counts hears of a hold, also when the first word of it is lost.
func TestJudgesWithoutCountsHearOfAHold(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		first, second, third := f.judge("s", 0), f.judge("s", 1), f.judge("s", 2)
		f.node(second).stopCounting()
		f.node(third).stopCounting()
		f.store.fail(func(m *memoryStore) { m.refused[first] = true })
		f.network.Cut(func(_, to string) bool { return to == second || to == third })
		f.order("s", "b", usual)
		f.serve(4*time.Second, time.Second)
		f.network.Cut(func(from, to string) bool { return from != first && (to == second || to == third) })
		f.serve(2*time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

// gates hold the writes for each order until they are opened.
type gates map[int64]chan struct{}

func (g gates) Write(_ context.Context, _ rollout.State, _, order int64) (int64, error) {
	<-g[order]
	return 1, nil
}

// A write that ends after its order was replaced settles nothing of the next one's.
func TestLateWriteSettlesItsOwnPenOnly(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		writes := gates{1: make(chan struct{}), 2: make(chan struct{})}
		c := New(Deps{Config: f.cfg, States: writes, Events: f.node("n0"), Catalog: f.node("n0").catalog})
		begin := func(order int64) *writeSchedule {
			state := rollout.State{Service: "s", OrderRevision: order, Phase: rollout.Canary}
			c.write(context.Background(), time.Now(), PhaseWriteEvent{State: state}, 0, order, 0)
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

// New judges of a service hear what was counted before they were judges.
func TestNewJudgesHearAllCounts(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.order("s", "b", time.Hour)
		f.serve(2*time.Second, never)
		time.Sleep(f.cfg.ResendInterval / 2) // so that nothing is told again soon
		f.store.set(catalog.NodeKey(f.judge("s", 0)), nil)
		time.Sleep(syncDelay + 2*f.cfg.ReportInterval)
		for _, judge := range f.judges("s") {
			is.Equal(f.heardBy(judge.ID, revision), f.told())
		}
	})
}

// A process that starts anew counts from nothing; what the one before it told is neither lost nor counted twice.
func TestReporterThatRestarts(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		revision := f.order("s", "b", time.Hour)
		reports := f.judge("s", 0)
		f.serve(2*time.Second, never)
		time.Sleep(time.Second)
		restarted := f.nonJudge("s")
		count := func() int64 { return f.heardBy(reports, revision) }
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

// A node that starts in the middle of an order takes the time that passed from the state.
// The time of an order goes on while machines are suspended.
func TestSuspendedJudgesKeepTheDeadline(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.order("s", "missing", usual)
		f.serve(usual/2, never)
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.Canary})
		for _, node := range f.all() {
			node.slept.Store(int64(usual / 2))
		}
		f.serve(2*time.Second, never) // they hear first what came meanwhile
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

// A judge that slept past the time at which a version may be found good hears first that it turned bad meanwhile.
func TestJudgeThatWakesHearsFirst(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.order("s", "b", usual)
		f.serve(usual/4, never)
		first := f.judge("s", 0)
		f.pause(first, 500*time.Millisecond)
		f.serve(300*time.Millisecond, 0)
		f.node(first).slept.Store(int64(usual / 2))
		f.serve(time.Second, 0)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}

func TestJudgeThatStartsLateKeepsTheDeadline(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.order("s", "missing", usual)
		f.serve(usual/2, never)
		for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
			f.kill(id)
		}
		for _, id := range []string{"n0", "n1", "n2", "n3", "n4"} {
			f.start(id)
		}
		f.serve(usual/2, never)
		is.Equal(f.store.phases("s"), rollsBack)
	})
}
