package leafgossip

import (
	"context"
	"fmt"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// fleet is a number of nodes with generated addresses.
type fleet int

func (f fleet) Others(n int) []string {
	addresses := make([]string, 0, n)
	for index := range min(n, int(f)) {
		addresses = append(addresses, fmt.Sprint("node-", index))
	}
	return addresses
}

// recorder records the messages that are sent.
type recorder struct {
	mu   sync.Mutex
	sent []peer.Message
}

func (r *recorder) Send(_ string, message peer.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = append(r.sent, message)
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.sent)
}

// Packing preserves the leaf's key, and the values to within a unit. No positive value becomes zero.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observation := balancer.Observation{
			Leaf:     balancer.LeafKey(rapid.Uint32().Draw(t, "leaf")),
			Slowness: rapid.Float64Range(0, 30).Draw(t, "slowness"),
			Silence:  time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "silence")),
		}
		unpacked := unpack(append(pack([]balancer.Observation{observation, observation}), 1, 2))
		if len(unpacked) != 2 || unpacked[0] != unpacked[1] || unpacked[0].Leaf != observation.Leaf {
			t.Fatalf("unpacked %v, want two of %v", unpacked, observation)
		}
		if math.Abs(unpacked[0].Slowness-observation.Slowness) > slownessUnit || (observation.Slowness > 0) != (unpacked[0].Slowness > 0) {
			t.Fatalf("unpacked slowness %v, want %v within a unit", unpacked[0].Slowness, observation.Slowness)
		}
		if (unpacked[0].Silence-observation.Silence).Abs() > silenceUnit || (observation.Silence > 0) != (unpacked[0].Silence > 0) {
			t.Fatalf("unpacked silence %v, want %v within a unit", unpacked[0].Silence, observation.Silence)
		}
	})
}

// The observations of a node are sent in one batch that contains the newest observation of each leaf.
func TestObservationsAreBatchedAndReceived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		sent := &recorder{}
		g := New(DefaultConfig(), fleet(3), sent, nil)
		go g.Run(ctx)
		g.Enqueue(balancer.Observation{Leaf: 7, Slowness: 3})
		g.Enqueue(balancer.Observation{Leaf: 7, Slowness: 4})
		g.Enqueue(balancer.Observation{Leaf: 8, Silence: time.Second})
		time.Sleep(time.Second)
		is.Equal(sent.count(), 3)
		received := map[balancer.LeafKey]balancer.Observation{}
		other := New(DefaultConfig(), fleet(0), sent, func(o balancer.Observation) { received[o.Leaf] = o })
		other.Handle(sent.sent[0].LeafObservations)
		is.Equal(received, map[balancer.LeafKey]balancer.Observation{7: {Leaf: 7, Slowness: 4}, 8: {Leaf: 8, Silence: time.Second}})
		cancel()
		synctest.Wait()
	})
}

// At any rate of observations, the bytes sent stay within the budget, and no datagram exceeds the maximum size.
func TestSentBytesStayWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		sent := &recorder{}
		cfg := DefaultConfig()
		g := New(cfg, fleet(100), sent, nil)
		go g.Run(ctx)
		const span = 20 * time.Second
		for began := time.Now(); time.Since(began) < span; time.Sleep(time.Millisecond) {
			for leaf := range 40 {
				g.Enqueue(balancer.Observation{Leaf: balancer.LeafKey(time.Now().UnixNano()) + balancer.LeafKey(leaf), Slowness: 5})
			}
		}
		total := 0
		for _, message := range sent.sent {
			size := base64Bytes(len(message.LeafObservations)) + envelopeBytes
			is.True(size <= peer.MaxDatagram)
			total += size
		}
		is.True(total <= cfg.BurstBytes+cfg.BytesPerSecond*int(span/time.Second+1))
		is.True(total > cfg.BurstBytes)
		cancel()
		synctest.Wait()
	})
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{FanOut: -1, BatchDelay: -1}.Validate())), 4)
}
