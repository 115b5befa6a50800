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

// testNetwork is a Pinger that simulates the nodes that a tracker pings.
type testNetwork struct {
	mu    sync.Mutex
	nodes []catalog.NodeRecord
	// silent holds the zones and nodes that don't answer.
	silent map[string]bool
	// delay is the round-trip time of a ping.
	delay     time.Duration
	pings     map[string]int // by zone
	zonesLost []string       // announcements, as "<zone of the receiver> of <lost zone>"
}

func newTestNetwork(nodes int, zones ...string) *testNetwork {
	network := &testNetwork{silent: map[string]bool{}, delay: time.Millisecond, pings: map[string]int{}}
	for _, zone := range zones {
		for index := range nodes {
			id := fmt.Sprintf("%s-%d", zone, index)
			network.nodes = append(network.nodes, catalog.NodeRecord{ID: id, Zone: zone, Address: id})
		}
	}
	return network
}

func (n *testNetwork) Ping(ctx context.Context, node catalog.NodeRecord) bool {
	n.mu.Lock()
	n.pings[node.Zone]++
	isSilent, delay := n.silent[node.Zone] || n.silent[node.ID], n.delay
	n.mu.Unlock()
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

func (n *testNetwork) SendZoneLost(node catalog.NodeRecord, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zonesLost = append(n.zonesLost, node.Zone+" of "+zone)
}

// set makes zones or nodes silent, or lets them answer.
func (n *testNetwork) set(isSilent bool, names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		n.silent[name] = isSilent
	}
}

func (n *testNetwork) count(zone string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pings[zone]
}

// tracker starts the tracker of the first node in the near zone.
func (n *testNetwork) tracker(t *testing.T) *Tracker {
	t.Helper()
	tracker := New(Deps{
		Config: DefaultConfig(), Self: n.nodes[0], Pinger: n,
		Nodes: func() []catalog.NodeRecord { return n.nodes },
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

// withTracker runs a test in virtual time with three zones of five nodes each.
func withTracker(t *testing.T, test func(is *is.I, network *testNetwork, tracker *Tracker)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := newTestNetwork(5, near, mid, far)
		test(is.New(t), network, network.tracker(t))
	})
}

// checkTime returns how long a check takes at most.
func checkTime() time.Duration {
	cfg := DefaultConfig()
	return cfg.FirstWait + cfg.Wait + time.Millisecond
}

// A zone that is cut off is lost after one check, and the node announces the loss to some nodes of its own zone.
func TestPartitionedZoneIsLost(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(!tracker.Reaches(far))
		is.True(tracker.Reaches(mid))
		is.True(tracker.Reaches(near))
		network.mu.Lock()
		defer network.mu.Unlock()
		is.Equal(network.zonesLost, []string{"near of far", "near of far", "near of far", "near of far"})
	})
}

// A zone is reachable within a second after a partition has ended, even without requests.
func TestZoneIsReachableAfterPartition(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(5 * time.Second)
		is.True(!tracker.Reaches(far))
		network.set(false, far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.True(!tracker.AnyLost())
	})
}

// A node that lost one zone checks the others, and detects the loss of a second zone without an announcement.
func TestLossOfOneZoneChecksTheOthers(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far, mid)
		tracker.Suspect(far)
		time.Sleep(2 * checkTime())
		is.True(!tracker.Reaches(far))
		is.True(!tracker.Reaches(mid))
	})
}

// A node that checked a zone right before a partition, and receives an announcement during the following pause, checks the
// zone again after the pause.
func TestAnnouncementDuringPauseCausesRecheck(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(tracker.Reaches(far))
		network.set(true, far)
		tracker.SuspectAndRecheck(far)
		time.Sleep(time.Second)
		is.True(!tracker.Reaches(far))
	})
}

// A node sends one ping to a lost zone per ping interval.
func TestPingsOfLostZoneAreRateLimited(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		before := network.count(far)
		time.Sleep(10 * time.Second)
		is.True(network.count(far)-before <= 40)
	})
}

func TestSingleSilentLeafCausesNoCheck(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		for range 10 {
			tracker.NoResponse(far, "leaf")
			time.Sleep(100 * time.Millisecond)
		}
		is.Equal(network.count(far), 0)
	})
}

func TestSilentLeafsAmongRespondingOnesCauseNoCheck(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		for index := range 10 {
			tracker.NoResponse(far, fmt.Sprint("leaf", index))
			tracker.Responded(far)
		}
		time.Sleep(time.Second)
		is.Equal(network.count(far), 0)
	})
}

// Leafs that are slow or paused at the same time don't make a zone lost if its nodes answer.
func TestSlowLeafsDoNotMakeZoneLost(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		for range 20 {
			tracker.NoResponse(far, "leaf 1")
			tracker.NoResponse(far, "leaf 2")
			time.Sleep(100 * time.Millisecond)
			is.True(tracker.Reaches(far))
		}
		is.True(network.count(far) <= 5*firstPings) // at most one first step of a check per pause
	})
}

// Two silent leafs cause a check, which detects that their zone is cut off.
func TestTwoSilentLeafsCauseCheckOfZone(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far)
		tracker.NoResponse(far, "leaf 1")
		tracker.NoResponse(far, "leaf 2")
		time.Sleep(checkTime())
		is.True(!tracker.Reaches(far))
	})
}

// If no zone answers, this node itself is cut off, and no zone is lost.
func TestIsolatedNodeMarksNoZoneLost(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, near, mid, far)
		tracker.Suspect(far)
		tracker.Suspect(mid)
		time.Sleep(2 * time.Second)
		is.True(!tracker.AnyLost())
	})
}

// If all answers are late, as on a frozen node, no zone is lost.
func TestFrozenNodeMarksNoZoneLost(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.delay = 300 * time.Millisecond
		tracker.Suspect(far)
		for range 100 {
			time.Sleep(10 * time.Millisecond)
			is.True(tracker.Reaches(far))
		}
	})
}

// A check during which the machine is suspended, after the controls answered and before the checked zone did, marks no zone
// lost.
func TestSuspendedNodeMarksNoZoneLost(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		var suspendedFor atomic.Int64
		tracker.deps.Clock = func() time.Time { return time.Now().Add(time.Duration(suspendedFor.Load())) }
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(DefaultConfig().FirstWait + DefaultConfig().Wait/2)
		suspendedFor.Store(int64(10 * time.Second))
		network.set(false, far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.Equal(network.zonesLost, nil) // the zone was never lost
	})
}

// The response of a leaf during a check overrides the silence of the zone's nodes.
func TestLeafResponseDuringCheckKeepsZoneReachable(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(DefaultConfig().FirstWait + DefaultConfig().Wait/2)
		tracker.Responded(far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
	})
}

func TestLeafResponseEndsLossOfZone(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(!tracker.Reaches(far))
		tracker.Responded(far)
		is.True(tracker.Reaches(far))
	})
}

func TestZoneWithTooFewNodesIsNeverLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newTestNetwork(DefaultConfig().MinNodes-1, near, far)
		tracker := network.tracker(t)
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(2 * time.Second)
		is.True(tracker.Reaches(far))
	})
}

// Checks adapt to a zone with longer round trips than the first wait.
func TestTimeoutAdaptsToLongRoundTrips(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.delay = 30 * time.Millisecond // short enough for the answers of the controls to count
		for range 5 {
			tracker.Suspect(far)
			time.Sleep(time.Second)
			is.True(tracker.Reaches(far))
		}
		network.mu.Lock()
		pings := network.pings[far]
		network.mu.Unlock()
		is.Equal(pings, firstPings+DefaultConfig().MinNodes+4*firstPings) // later checks wait long enough for answers to the first pings
	})
}

// A node is cut off if it lost the zones of more than half of the nodes.
func TestNodeIsCutOffIfMostNodesAreInLostZones(t *testing.T) {
	withTracker(t, func(is *is.I, network *testNetwork, tracker *Tracker) {
		network.set(true, far, mid)
		tracker.Suspect(far)
		time.Sleep(checkTime())
		is.True(!tracker.IsCutOff())
		tracker.Suspect(mid)
		time.Sleep(checkTime())
		is.True(tracker.IsCutOff())
	})
}

// A single live node ends the loss of a zone within one round of pings, however many nodes of the zone crashed.
func TestSingleLiveNodeEndsLossOfZone(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(DefaultConfig().MinNodes, 12).Draw(rt, "nodes")
		living := rapid.IntRange(0, nodes-1).Draw(rt, "living")
		synctest.Test(t, func(t *testing.T) {
			network := newTestNetwork(nodes, near, far)
			for index := range nodes {
				network.set(index != living, fmt.Sprintf("%s-%d", far, index))
			}
			tracker := network.tracker(t)
			tracker.Suspect(far)
			time.Sleep(checkTime() + time.Duration(nodes)*DefaultConfig().PingInterval)
			if !tracker.Reaches(far) {
				t.Error("the zone is lost although one of its nodes answers")
			}
		})
	})
}

// A nil or disabled tracker reports all zones as reachable and sends no pings.
func TestDisabledTrackerSendsNoPings(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var none *Tracker
		none.Suspect(far)
		none.NoResponse(far, "leaf")
		none.Responded(far)
		is.True(none.Reaches(far) && !none.IsCutOff())
		network := newTestNetwork(5, near, far)
		tracker := network.tracker(t)
		tracker.deps.Config.Enabled = false
		network.set(true, far)
		tracker.Suspect(far)
		time.Sleep(time.Second)
		is.True(tracker.Reaches(far))
		is.Equal(network.count(far), 0)
	})
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	bad := Config{Wait: 2 * answerLimit, MinNodes: 1, Pause: -1, FanOut: -1}
	is.Equal(len(failure.Faults(bad.Validate())), 6)
}
