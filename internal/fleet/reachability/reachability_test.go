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

// testNetwork is the Prober of a tracker: the nodes that it pings, and how they answer.
type testNetwork struct {
	mu    sync.Mutex
	nodes []catalog.NodeRecord
	// silent are the zones and nodes that don't answer.
	silent map[string]bool
	// delay is the round trip of a ping.
	delay     time.Duration
	probed    map[string]int // by zone
	zonesLost []string       // "zone of the receiver of lost zone"
}

func newTestNetwork(nodes int, zones ...string) *testNetwork {
	w := &testNetwork{silent: map[string]bool{}, delay: time.Millisecond, probed: map[string]int{}}
	for _, zone := range zones {
		for index := range nodes {
			id := fmt.Sprintf("%s-%d", zone, index)
			w.nodes = append(w.nodes, catalog.NodeRecord{ID: id, Zone: zone, Address: id})
		}
	}
	return w
}

func (w *testNetwork) Ping(ctx context.Context, node catalog.NodeRecord) bool {
	w.mu.Lock()
	w.probed[node.Zone]++
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

func (w *testNetwork) SendZoneLost(node catalog.NodeRecord, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zonesLost = append(w.zonesLost, node.Zone+" of "+zone)
}

// set makes zones or nodes silent, or lets them answer.
func (w *testNetwork) set(isSilent bool, names ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range names {
		w.silent[name] = isSilent
	}
}

func (w *testNetwork) count(zone string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.probed[zone]
}

// tracker starts the tracker of a node in the near zone.
func (w *testNetwork) tracker(t *testing.T) *Tracker {
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
func within(t *testing.T, test func(is *is.I, w *testNetwork, tracker *Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newTestNetwork(5, near, mid, far)
		test(is.New(t), w, w.tracker(t))
	})
}

// checkTime is the longest that a check takes.
func checkTime() time.Duration {
	cfg := DefaultConfig()
	return cfg.FirstWait + cfg.Wait + time.Millisecond
}

// A zone that is cut off is lost after one check, and that is announced to some nodes of the own zone.
func TestCutZoneIsLost(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(!tracker.Reaches(far))
		is.True(tracker.Reaches(mid))
		is.True(tracker.Reaches(near))
		w.mu.Lock()
		defer w.mu.Unlock()
		is.Equal(w.zonesLost, []string{"near of far", "near of far", "near of far", "near of far"})
	})
}

// A zone that is connected again is reachable within a second, without any request.
func TestHealedZoneIsBack(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
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

// A node that lost one zone checks the others by itself, and notices a second lost zone without an announcement.
func TestLossOfOneZoneHasTheOthersLookedAt(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far, mid)
		tracker.Suspect(far)
		time.Sleep(2 * checkTime())
		is.True(!tracker.Reaches(far))
		is.True(!tracker.Reaches(mid))
	})
}

// A node that checked right before a cut, and receives an announcement in the pause that follows, checks again by itself.
func TestWordInThePauseIsLookedIntoAfterIt(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(tracker.Reaches(far))
		w.set(true, far)
		tracker.SuspectAndRecheck(far)
		time.Sleep(time.Second)
		is.True(!tracker.Reaches(far))
	})
}

// A lost zone is pinged by one datagram at a time.
func TestLostZoneIsAskedSparsely(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		before := w.count(far)
		time.Sleep(10 * time.Second)
		is.True(w.count(far)-before <= 40)
	})
}

// A single silent leaf causes no check.
func TestOneDeadLeafIsNotLookedInto(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		for range 10 {
			tracker.NoResponse(far, "leaf")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(w.count(far), 0)
	})
}

// Silent leafs among others that respond cause no check either.
func TestSilentLeafsAmongOthersAreNotLookedInto(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		for index := range 10 {
			tracker.NoResponse(far, fmt.Sprint("leaf", index))
			tracker.Responded(far)
		}
		time.Sleep(time.Second)
		is.Equal(w.count(far), 0)
	})
}

// Leafs that are slow or paused together don't make a zone lost whose nodes answer.
func TestSlowLeafsDontLoseAZone(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		for range 20 {
			tracker.NoResponse(far, "leaf 1")
			tracker.NoResponse(far, "leaf 2")
			time.Sleep(100 * time.Millisecond)
			is.True(tracker.Reaches(far))
		}
		is.True(w.count(far) <= 5*firstProbed) // one small check each pause
	})
}

// Two silent leafs of a zone that is cut off make it lost.
func TestTwoSilentLeafsOfACutZone(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far)
		tracker.NoResponse(far, "leaf 1")
		tracker.NoResponse(far, "leaf 2")
		time.Sleep(checkTime())
		is.True(!tracker.Reaches(far))
	})
}

// If no other zone answers either, this node itself is late or cut off: no zone is lost.
func TestIsolatedNodeLosesNothing(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, near, mid, far)
		tracker.Suspect(far)
		tracker.Suspect(mid)
		time.Sleep(2 * time.Second)
		is.True(!tracker.AnyLost())
	})
}

// If all answers are late, as on a node that was frozen, no zone is lost.
func TestFrozenNodeLosesNothing(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.delay = 300 * time.Millisecond
		tracker.Suspect(far)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			is.True(tracker.Reaches(far))
		}
	})
}

// The machine is suspended in the middle of a check, after other zones answered and before the checked one did.
func TestSuspendedNodeLosesNothing(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		var suspendedFor atomic.Int64
		tracker.deps.Clock = func() time.Time { return time.Now().Add(time.Duration(suspendedFor.Load())) }
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(DefaultConfig().FirstWait + DefaultConfig().Wait/2)
		suspendedFor.Store(int64(10 * time.Second))
		w.set(false, far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.Equal(w.zonesLost, nil) // nor was it lost meanwhile
	})
}

// The response of a leaf during a check outweighs the silence of nodes.
func TestAnswerOfALeafOutweighsSilentNodes(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(DefaultConfig().FirstWait + DefaultConfig().Wait/2)
		tracker.Responded(far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
	})
}

// The response of a leaf ends the loss of a zone.
func TestAnswerOfALeafBringsAZoneBack(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(!tracker.Reaches(far))
		tracker.Responded(far)
		is.True(tracker.Reaches(far))
	})
}

// A zone with too few nodes is never lost.
func TestZoneOfFewNodesIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTestNetwork(DefaultConfig().LeastNodes-1, near, far)
		tracker := w.tracker(t)
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(2 * time.Second)
		is.True(tracker.Reaches(far))
	})
}

// A zone with longer round trips than a check waits is lost once at most: its round trip is learnt.
func TestLongWayIsLearnt(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.delay = 30 * time.Millisecond // the answers of the controls still count
		for range 5 {
			tracker.Suspect(far)
			time.Sleep(time.Second)
			is.True(tracker.Reaches(far))
		}
		w.mu.Lock()
		probed := w.probed[far]
		w.mu.Unlock()
		is.Equal(probed, firstProbed+DefaultConfig().LeastNodes+4*firstProbed) // later checks wait long enough
	})
}

// A node that lost most of the fleet is cut off; a node that lost a small part isn't.
func TestIsCutOff(t *testing.T) {
	within(t, func(is *is.I, w *testNetwork, tracker *Tracker) {
		w.set(true, far, mid)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(!tracker.IsCutOff())
		tracker.Suspect(mid)
		time.Sleep(checkTime())
		is.True(tracker.IsCutOff())
	})
}

// However many nodes of a zone crashed together, a single live one ends its loss after a round of pings.
func TestOneLivingNodeKeepsAZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(DefaultConfig().LeastNodes, 12).Draw(rt, "nodes")
		living := rapid.IntRange(0, nodes-1).Draw(rt, "living")
		synctest.Test(t, func(t *testing.T) {
			w := newTestNetwork(nodes, near, far)
			for index := range nodes {
				w.set(index != living, fmt.Sprintf("%s-%d", far, index))
			}
			tracker := w.tracker(t)
			tracker.Suspect(far)
			time.Sleep(checkTime() + time.Duration(nodes)*DefaultConfig().ProbeInterval)
			if !tracker.Reaches(far) {
				t.Error("lost")
			}
		})
	})
}

// To a nil tracker, and to one that is disabled, all zones are reachable, and neither pings.
func TestOffAsksNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var none *Tracker
		none.Suspect(far)
		none.NoResponse(far, "leaf")
		none.Responded(far)
		is.True(none.Reaches(far) && !none.IsCutOff())
		w := newTestNetwork(5, near, far)
		tracker := w.tracker(t)
		tracker.deps.Config.Enabled = false
		w.set(true, far)
		tracker.Suspect(far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.Equal(w.count(far), 0)
	})
}

// Validate names every invalid field.
func TestValidateNamesEveryField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := Config{Wait: 2 * answerLimit, LeastNodes: 1, Pause: -1, Fanout: -1}
	is.Equal(len(failure.Faults(bad.Validate())), 6)
}
