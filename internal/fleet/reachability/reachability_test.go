package reachability

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
)

const (
	near = "near"
	far  = "far"
	mid  = "mid"
)

// world is the nodes that a tracker asks, and how they answer.
type world struct {
	mu    sync.Mutex
	nodes []catalog.NodeRecord
	// silent are the zones and nodes that answer nothing.
	silent map[string]bool
	// delay is what an answer takes.
	delay time.Duration
	asked map[string]int // by zone
	told  []string
}

func newWorld(nodes int, zones ...string) *world {
	w := &world{silent: map[string]bool{}, delay: time.Millisecond, asked: map[string]int{}}
	for _, zone := range zones {
		for index := range nodes {
			id := fmt.Sprintf("%s-%d", zone, index)
			w.nodes = append(w.nodes, catalog.NodeRecord{ID: id, Zone: zone, Address: id})
		}
	}
	return w
}

func (w *world) Ping(ctx context.Context, node catalog.NodeRecord) bool {
	w.mu.Lock()
	w.asked[node.Zone]++
	isSilent, delay := w.silent[node.Zone] || w.silent[node.ID], w.delay
	w.mu.Unlock()
	if isSilent {
		<-ctx.Done()
		return false
	}
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

func (w *world) AnnounceLost(node catalog.NodeRecord, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told = append(w.told, node.Zone+" of "+zone)
}

// set makes zones or nodes silent, or lets them answer.
func (w *world) set(isSilent bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.silent[name] = isSilent
	}
}

func (w *world) count(zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked[zone]
}

// tracker starts the tracker of a node in the near zone.
func (w *world) tracker(t *testing.T) *Tracker {
	t.Helper()
	tracker := New(Deps{
		Config: DefaultConfig(), Self: w.nodes[0], Prober: w,
		Nodes: func() []catalog.NodeRecord { return w.nodes },
	})
	ctx, cancel := context.WithCancel(t.Context())
	go tracker.Run(ctx)
	synctest.Wait()
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return tracker
}

// within runs a test in virtual time with three zones of five nodes.
func within(t *testing.T, test func(is *is.I, w *world, tracker *Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(5, near, mid, far)
		test(is.New(t), w, w.tracker(t))
	})
}

// lookTime is what a look takes at most.
func lookTime() time.Duration {
	cfg := DefaultConfig()
	return cfg.FirstWait + cfg.Wait + time.Millisecond
}

// A zone that is cut off is lost after one look, and some nodes of the own zone are told.
func TestCutZoneIsLost(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(lookTime())
		is.True(!tracker.Reaches(far))
		is.True(tracker.Reaches(mid))
		is.True(tracker.Reaches(near))
		w.mu.Lock()
		defer w.mu.Unlock()
		is.Equal(w.told, []string{"near of far", "near of far", "near of far", "near of far"})
	})
}

// A zone that is healed is back within a second, without any request.
func TestHealedZoneIsBack(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(5 * time.Second)
		is.True(!tracker.Reaches(far))
		w.set(false, far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.True(!tracker.AnyLost())
	})
}

// A node that lost one zone looks at the others by itself: of a zone cut off from all, it learns without being told.
func TestLossOfOneZoneHasTheOthersLookedAt(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far, mid)
		tracker.Suspect(far)
		time.Sleep(2 * lookTime())
		is.True(!tracker.Reaches(far))
		is.True(!tracker.Reaches(mid))
	})
}

// A node that looked right before a cut, and is told of it in the pause that follows, looks again by itself.
func TestWordInThePauseIsLookedIntoAfterIt(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		tracker.Suspect(far)
		time.Sleep(lookTime())
		is.True(tracker.Reaches(far))
		w.set(true, far)
		tracker.SuspectAndRecheck(far)
		time.Sleep(time.Second)
		is.True(!tracker.Reaches(far))
	})
}

// A lost zone is asked by one datagram at a time.
func TestLostZoneIsAskedSparsely(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(lookTime())
		before := w.count(far)
		time.Sleep(10 * time.Second)
		is.True(w.count(far)-before <= 40)
	})
}

// One leaf that is silent is no reason to look.
func TestOneDeadLeafIsNotLookedInto(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		for range 10 {
			tracker.NoResponse(far, "leaf")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(w.count(far), 0)
	})
}

// Silent leafs among others that answer are no reason either.
func TestSilentLeafsAmongOthersAreNotLookedInto(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		for index := range 10 {
			tracker.NoResponse(far, fmt.Sprint("leaf", index))
			tracker.Responded(far)
		}
		time.Sleep(time.Second)
		is.Equal(w.count(far), 0)
	})
}

// Leafs that are slow or paused together don't lose a zone whose nodes answer.
func TestSlowLeafsDontLoseAZone(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		for range 20 {
			tracker.NoResponse(far, "leaf 1")
			tracker.NoResponse(far, "leaf 2")
			time.Sleep(100 * time.Millisecond)
			is.True(tracker.Reaches(far))
		}
		is.True(w.count(far) <= 5*firstAsked) // one small look each pause
	})
}

// Two silent leafs of a zone that is cut off are enough.
func TestTwoSilentLeafsOfACutZone(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far)
		tracker.NoResponse(far, "leaf 1")
		tracker.NoResponse(far, "leaf 2")
		time.Sleep(lookTime())
		is.True(!tracker.Reaches(far))
	})
}

// Where no other zone answers either, it is this node that is late or cut off: nothing is lost.
func TestIsolatedNodeLosesNothing(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, near, mid, far)
		tracker.Suspect(far)
		tracker.Suspect(mid)
		time.Sleep(2 * time.Second)
		is.True(!tracker.AnyLost())
	})
}

// All answers are late, as for a node that was frozen: nothing is lost.
func TestFrozenNodeLosesNothing(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.delay = 300 * time.Millisecond
		tracker.Suspect(far)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			is.True(tracker.Reaches(far))
		}
	})
}

// The machine is suspended in the middle of a look, after other zones answered and before the one that is looked at did.
func TestSuspendedNodeLosesNothing(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		var slept atomic.Int64
		tracker.deps.Clock = func() time.Time { return time.Now().Add(time.Duration(slept.Load())) }
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(DefaultConfig().FirstWait + DefaultConfig().Wait/2)
		slept.Store(int64(10 * time.Second))
		w.set(false, far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.Equal(w.told, nil) // nor was it lost meanwhile
	})
}

// A leaf's answer that comes during a look outweighs the silence of nodes.
func TestAnswerOfALeafOutweighsSilentNodes(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(DefaultConfig().FirstWait + DefaultConfig().Wait/2)
		tracker.Responded(far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
	})
}

// An answer of a leaf brings a lost zone back at once.
func TestAnswerOfALeafBringsAZoneBack(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(lookTime())
		is.True(!tracker.Reaches(far))
		tracker.Responded(far)
		is.True(tracker.Reaches(far))
	})
}

// A zone with too few nodes to tell is never lost.
func TestZoneOfFewNodesIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(DefaultConfig().LeastNodes-1, near, far)
		tracker := w.tracker(t)
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(2 * time.Second)
		is.True(tracker.Reaches(far))
	})
}

// A zone whose answers take longer than a look waits is lost once at most: its way is learnt.
func TestLongWayIsLearnt(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.delay = 30 * time.Millisecond // as long as the others' answers still count
		for range 5 {
			tracker.Suspect(far)
			time.Sleep(time.Second)
			is.True(tracker.Reaches(far))
		}
		w.mu.Lock()
		asked := w.asked[far]
		w.mu.Unlock()
		is.Equal(asked, firstAsked+DefaultConfig().LeastNodes+4*firstAsked) // later looks wait long enough
	})
}

// A node that lost most of the fleet is cut off; one that lost a small part is not.
func TestIsCutOff(t *testing.T) {
	within(t, func(is *is.I, w *world, tracker *Tracker) {
		w.set(true, far, mid)
		tracker.Suspect(far)
		time.Sleep(lookTime())
		is.True(!tracker.IsCutOff())
		tracker.Suspect(mid)
		time.Sleep(lookTime())
		is.True(tracker.IsCutOff())
	})
}

// However many nodes of a zone died together, one that lives brings it back after a turn of questions.
func TestOneLivingNodeKeepsAZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(DefaultConfig().LeastNodes, 12).Draw(rt, "nodes")
		living := rapid.IntRange(0, nodes-1).Draw(rt, "living")
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(nodes, near, far)
			for index := range nodes {
				w.set(index != living, fmt.Sprintf("%s-%d", far, index))
			}
			tracker := w.tracker(t)
			tracker.Suspect(far)
			time.Sleep(lookTime() + time.Duration(nodes)*DefaultConfig().ProbeInterval)
			if !tracker.Reaches(far) {
				t.Error("lost")
			}
		})
	})
}

// A nil tracker, and one that is switched off, hold all zones for in reach and ask nothing.
func TestOffAsksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var none *Tracker
		none.Suspect(far)
		none.NoResponse(far, "leaf")
		none.Responded(far)
		is.True(none.Reaches(far) && !none.IsCutOff())
		w := newWorld(5, near, far)
		tracker := w.tracker(t)
		tracker.deps.Config.Enabled = false
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.Equal(w.count(far), 0)
	})
}

// Validate names every field at fault.
func TestValidateNamesEveryField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := Config{Wait: 2 * answerLimit, LeastNodes: 1, Pause: -1, Fanout: -1}
	is.Equal(len(failure.Faults(bad.Validate())), 6)
}
