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

// fleet returns n addresses.
type fleet int

func (f fleet) Others(n int) []string {
	addresses := make([]string, 0, n)
	for index := range min(n, int(f)) {
		addresses = append(addresses, fmt.Sprint("node-", index))
	}
	return addresses
}

// recorder records what is sent.
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

// Packed observations keep the leaf's key, and its values to within a unit; no positive value becomes
// zero.
func TestPackKeepsObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := balancer.Observation{
			Leaf:     balancer.LeafKey(rapid.Uint32().Draw(t, "leaf")),
			Slowness: rapid.Float64Range(0, 30).Draw(t, "slowness"),
			Silence:  time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "silence")),
		}
		got := unpack(append(pack([]balancer.Observation{seen, seen}), 1, 2))
		if len(got) != 2 || got[0] != got[1] || got[0].Leaf != seen.Leaf {
			t.Fatalf("got %v of %v", got, seen)
		}
		if math.Abs(got[0].Slowness-seen.Slowness) > slownessUnit || (seen.Slowness > 0) != (got[0].Slowness > 0) {
			t.Fatalf("slowness %v of %v", got[0].Slowness, seen.Slowness)
		}
		if (got[0].Silence-seen.Silence).Abs() > silenceUnit || (seen.Silence > 0) != (got[0].Silence > 0) {
			t.Fatalf("silence %v of %v", got[0].Silence, seen.Silence)
		}
	})
}

// The observations of one node reach others in one batch, with the newest of each leaf.
func TestObservationsAreHeard(t *testing.T) {
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
		heard := map[balancer.LeafKey]balancer.Observation{}
		other := New(DefaultConfig(), fleet(0), sent, func(o balancer.Observation) { heard[o.Leaf] = o })
		other.Handle(sent.sent[0].LeafReports)
		is.Equal(heard, map[balancer.LeafKey]balancer.Observation{7: {Leaf: 7, Slowness: 4}, 8: {Leaf: 8, Silence: time.Second}})
		cancel()
		synctest.Wait()
	})
}

// However much is observed, the bytes sent stay within the limit, and every datagram fits.
func TestBytesAreBounded(t *testing.T) {
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
			size := base64Bytes(len(message.LeafReports)) + envelopeBytes
			is.True(size <= peer.MaximumDatagram)
			total += size
		}
		is.True(total <= cfg.BurstBytes+cfg.BytesPerSecond*int(span/time.Second+1))
		is.True(total > cfg.BurstBytes)
		cancel()
		synctest.Wait()
	})
}

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{Fanout: -1, BatchDelay: -1}.Validate())), 4)
}
