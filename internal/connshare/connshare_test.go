package connshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leafset"
)

type fixedFleet []string

func (f fixedFleet) IDs() []string { return f }

func leafs(count int) []*leafset.Leaf {
	list := make([]*leafset.Leaf, count)
	for index := range list {
		list[index] = &leafset.Leaf{Record: leafset.Record{ID: fmt.Sprintf("leaf-%02d", index)}}
	}
	return list
}

// However many nodes there are, no leaf gets more connections than its limit, also when every
// node lost power a moment ago and the leaf still counts the connections of all of them. The
// exception is a limit too small for every node to have one leaf of the service.
func TestNoLeafIsOverItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 120).Draw(t, "nodes")
		count := rapid.IntRange(1, 20).Draw(t, "leafs")
		limit := rapid.IntRange(8, 120).Draw(t, "limit")
		config := DefaultConfig()
		if float64(nodes) > config.ShareAfterStart*float64(limit*count) {
			t.Skip("too few connections for one a node")
		}
		var fleet fixedFleet
		for index := range nodes {
			fleet = append(fleet, fmt.Sprintf("node-%03d", index))
		}
		for _, span := range []time.Duration{0, config.StartSpan} {
			open := map[string]int{}
			for _, id := range fleet {
				dealer := New(config, fleet, id)
				dealer.now = func() time.Time { return dealer.started.Add(span) }
				own := 0
				for _, dealt := range dealer.Deal("s", leafs(count), limit) {
					own += dealt.Connections
					open[dealt.Leaf.ID] += dealt.Connections
				}
				if own == 0 {
					t.Fatal("a node has no connection to the service")
				}
			}
			generations := 1
			if span == 0 {
				generations = 2
			}
			for id, sum := range open {
				// Nodes may not divide evenly by the leafs.
				if generations*(sum-1) > limit {
					t.Fatalf("%s has %d of %d connections after %v", id, sum, limit, span)
				}
			}
		}
	})
}

func TestWithoutALimitEveryLeafIsUsed(t *testing.T) {
	is := is.New(t)
	used := New(DefaultConfig(), fixedFleet{"a", "b"}, "a").Deal("s", leafs(3), 0)
	is.Equal(len(used), 3)
	for _, dealt := range used {
		is.Equal(dealt.Connections, DefaultConfig().Unlimited)
	}
	is.Equal(len(New(DefaultConfig(), fixedFleet{}, "a").Deal("s", nil, 5)), 0)
}

// Where a node has no part of a leaf, it may still try a spare connection there.
func TestEveryLeafMayBeTried(t *testing.T) {
	is := is.New(t)
	var fleet fixedFleet
	for index := range 64 {
		fleet = append(fleet, fmt.Sprintf("node-%03d", index))
	}
	dealer := New(DefaultConfig(), fleet, fleet[7])
	for _, dealt := range dealer.Deal("s", leafs(3), 54) { // a new node keeps to its part
		is.Equal(dealt.LastResort, dealt.Connections == 0)
		is.Equal(dealt.Connections+dealt.Spare, 1)
	}
	dealer.now = func() time.Time { return dealer.started.Add(DefaultConfig().StartSpan) }
	own, tried := 0, 0
	for _, dealt := range dealer.Deal("s", leafs(3), 54) {
		own += dealt.Connections
		tried += dealt.Connections + dealt.Spare
	}
	is.Equal(own, 2)
	is.Equal(tried, 5)
}

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{StartSpan: -1, Spare: -1}.Validate())), 5)
}
