package reachability

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// link delivers datagrams between nodes.
type link struct {
	nodes map[string]*Datagrams // by address

	mu sync.Mutex
	// lost reports whether a datagram between two nodes is dropped.
	lost func(from, to string) bool
}

// drop sets the function that reports which datagrams are dropped.
func (l *link) drop(lost func(from, to string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
}

func (l *link) drops(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost(from, to)
}

// linkEnd is the Sender of one node.
type linkEnd struct {
	link *link
	from string
}

func (e linkEnd) Send(to string, message peer.Message) {
	if e.link.drops(e.from, to) {
		return
	}
	time.AfterFunc(time.Millisecond, func() { e.link.nodes[to].Handle(e.from, *message.Reachability) })
}

// newLink starts a tracker on every node and connects the trackers.
func newLink(t *testing.T, network *testNetwork) (*link, map[string]*Tracker) {
	t.Helper()
	l := &link{nodes: map[string]*Datagrams{}, lost: func(string, string) bool { return false }}
	trackers := map[string]*Tracker{}
	ctx, cancel := context.WithCancel(t.Context())
	for _, node := range network.nodes {
		datagrams := NewDatagrams(linkEnd{l, node.Address})
		l.nodes[node.Address] = datagrams
		tracker := New(Deps{Config: DefaultConfig(), Self: node, Pinger: datagrams, Nodes: func() []catalog.NodeRecord { return network.nodes }})
		datagrams.OnZoneLost(tracker.Suspect)
		go tracker.Run(ctx)
		trackers[node.ID] = tracker
	}
	synctest.Wait()
	t.Cleanup(func() {
		cancel()
		time.Sleep(time.Minute)
	})
	return l, trackers
}

// Both sides detect a one-way partition and its end.
func TestOneWayCutIsDetectedOnBothSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newTestNetwork(5, near, far, mid)
		l, trackers := newLink(t, network)
		l.drop(func(from, to string) bool { return from[:3] == far && to[:3] != far })
		trackers["near-0"].Suspect(far)
		trackers["far-0"].Suspect(near)
		time.Sleep(checkTime())
		is.True(!trackers["near-0"].Reaches(far))
		is.True(!trackers["far-0"].Reaches(near))
		is.True(trackers["near-0"].Reaches(mid))
		l.drop(func(string, string) bool { return false })
		time.Sleep(time.Second)
		is.True(trackers["near-0"].Reaches(far))
		is.True(trackers["far-0"].Reaches(near))
	})
}

// If one node loses a zone, the other nodes of its own zone check and lose that zone soon after, without requests of their
// own.
func TestAnnouncementSpreadsLossWithinZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newTestNetwork(5, near, far, mid)
		l, trackers := newLink(t, network)
		l.drop(func(from, to string) bool { return (from[:3] == far) != (to[:3] == far) })
		trackers["near-0"].Suspect(far)
		time.Sleep(4 * checkTime())
		for _, id := range []string{"near-0", "near-1", "near-2", "near-3", "near-4"} {
			is.True(!trackers[id].Reaches(far))
		}
	})
}

// A false announcement from another node only causes a check.
func TestFalseAnnouncementMarksNoZoneLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := newTestNetwork(5, near, far)
		l, trackers := newLink(t, network)
		l.nodes["near-0"].Handle("near-1", peer.Reachability{Lost: far})
		time.Sleep(time.Second)
		is.True(trackers["near-0"].Reaches(far))
	})
}

// The number of pending pings is bounded, and each ends with its context.
func TestPendingPingsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDatagrams(linkEnd{&link{lost: func(string, string) bool { return true }}, "a"})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for range 2 * maxPending {
			go d.Ping(ctx, catalog.NodeRecord{Address: "b"})
		}
		synctest.Wait()
		is.Equal(d.count(), maxPending)
		time.Sleep(2 * time.Second)
		is.Equal(d.count(), 0)
	})
}

// count returns the number of pending pings.
func (d *Datagrams) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pending.Len()
}
