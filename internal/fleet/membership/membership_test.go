package membership

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/peer/peertest"
)

// nopListener is a Listener that provides nothing and ignores what it receives.
type nopListener struct{}

func (nopListener) Digest() peer.Digest                            { return peer.Digest{} }
func (nopListener) Notices() []peer.LeafNotice                     { return nil }
func (nopListener) Receive(string, peer.Digest, []peer.LeafNotice) {}

type handler struct{ members *Membership }

func (h handler) HandleDatagram(message peer.Message) { h.members.HandleDatagram(message) }

func (h handler) HandleCall(_ context.Context, message peer.Message) peer.Message {
	members, known := h.members.HandleJoin(*message.Join)
	return peer.Message{Welcome: &peer.Welcome{Zone: h.members.Self().Zone, Members: members, Known: known}}
}

type zone struct {
	network *peertest.Network
	members []*Membership
	cancels []context.CancelFunc
}

func newZone(t *testing.T, size int) *zone {
	z := &zone{network: peertest.NewNetwork(3, time.Millisecond)}
	for number := range size {
		z.start(t, number, int64(1))
	}
	for range 2 { // nodes join repeatedly
		for _, member := range z.members[1:] {
			if _, _, err := member.Join(t.Context(), "n0"); err != nil {
				t.Fatal(err)
			}
		}
	}
	return z
}

func (z *zone) start(t *testing.T, number int, incarnation int64) *Membership {
	address := fmt.Sprintf("n%d", number)
	transport := z.network.Attach(address)
	member := New(DefaultConfig(), peer.Member{ID: address, Address: address, Zone: "z", Incarnation: incarnation}, transport, nopListener{}, uint64(number))
	transport.Serve(handler{member})
	ctx, cancel := context.WithCancel(t.Context())
	go member.Run(ctx)
	z.members = append(z.members, member)
	z.cancels = append(z.cancels, cancel)
	return member
}

func (z *zone) stop() {
	for _, cancel := range z.cancels {
		cancel()
	}
	time.Sleep(time.Minute)
}

// seenBy returns how many nodes consider a member usable.
func (z *zone) seenBy(id string) int {
	count := 0
	for _, member := range z.members {
		for _, known := range member.Members() {
			if known.ID == id && member.Self().ID != id {
				count++
			}
		}
	}
	return count
}

func TestJoinedNodesListEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t, 30)
		defer z.stop()
		time.Sleep(time.Minute)
		for _, member := range z.members {
			is.Equal(len(member.Members()), 30)
		}
	})
}

func TestDeadNodeIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t, 30)
		defer z.stop()
		time.Sleep(time.Minute)
		z.cancels[7]()
		z.network.Remove("n7")
		time.Sleep(30 * time.Second)
		is.Equal(z.seenBy("n7"), 0)
		is.Equal(z.seenBy("n8"), 29) // including the stopped node's own list
	})
}

// A node that was frozen until it and the other nodes considered each other dead is alive again after it rejoins.
func TestFrozenNodeRejoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t, 20)
		defer z.stop()
		time.Sleep(20 * time.Second)
		z.network.Freeze("n5", true)
		time.Sleep(time.Minute)
		is.Equal(z.seenBy("n5"), 0)
		z.network.Freeze("n5", false)
		for range 2 { // nodes join repeatedly
			_, _, err := z.members[5].Join(t.Context(), "n0")
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		is.Equal(len(z.members[5].Members()), 20)
		is.Equal(z.seenBy("n5"), 19)
	})
}

// With a fifth of all datagrams lost, few nodes consider another node dead at any time, and the lists are
// complete again after the loss has ended.
func TestDatagramLossCausesFewFalseDeaths(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size, checks = 25, 30
		z := newZone(t, size)
		defer z.stop()
		time.Sleep(20 * time.Second)
		z.network.SetLoss(0.2)
		falseDeaths := 0
		for range checks {
			time.Sleep(10 * time.Second)
			for _, member := range z.members {
				falseDeaths += member.Counts()[peer.Dead]
			}
		}
		is.True(falseDeaths < checks*size*(size-1)/200) // under 0.5% of all node pairs
		z.network.SetLoss(0)
		for _, member := range z.members[1:] {
			_, _, err := member.Join(t.Context(), "n0")
			is.NoErr(err)
		}
		time.Sleep(time.Minute)
		for _, member := range z.members[1:] {
			_, _, err := member.Join(t.Context(), "n0")
			is.NoErr(err)
			is.Equal(len(member.Members()), size)
		}
	})
}

func TestPlannedStopIsSeenWithoutSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t, 20)
		defer z.stop()
		time.Sleep(20 * time.Second)
		z.members[3].Leave()
		time.Sleep(5 * time.Second)
		is.Equal(z.seenBy("n3"), 0)
	})
}

// A new process with the ID of a dead node replaces its predecessor in the lists.
func TestRestartedNodeReplacesDeadPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		z := newZone(t, 10)
		defer z.stop()
		time.Sleep(20 * time.Second)
		z.cancels[4]()
		z.network.Remove("n4")
		time.Sleep(30 * time.Second)
		is.Equal(z.seenBy("n4"), 0)
		restarted := z.start(t, 4, 2)
		_, _, err := restarted.Join(t.Context(), "n0")
		is.NoErr(err)
		time.Sleep(20 * time.Second)
		is.True(z.seenBy("n4") >= 9)
	})
}
