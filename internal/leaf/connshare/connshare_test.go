package connshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

type fixedFleet []catalog.NodeRecord

func (f fixedFleet) Nodes() []catalog.NodeRecord     { return f }
func (f fixedFleet) Gatherers() []catalog.NodeRecord { return f }

// fleetOf returns nodes that are spread evenly over zones.
func fleetOf(nodes, zones int) fixedFleet {
	fleet := make(fixedFleet, nodes)
	for index := range fleet {
		fleet[index] = catalog.NodeRecord{ID: fmt.Sprintf("node-%03d", index), Zone: zoneName(index % zones)}
	}
	return fleet
}

func zoneName(index int) string { return fmt.Sprintf("zone-%d", index) }

// leafs returns leafs that are spread evenly over zones.
func leafs(count, zones int) []*leafset.Leaf {
	list := make([]*leafset.Leaf, count)
	for index := range list {
		list[index] = leafset.NewLeaf(leafset.Record{Name: fmt.Sprintf("leaf-%02d", index), Zone: zoneName(index % zones)}, 0, time.Time{})
	}
	return list
}

// No leaf gets more connections than its limit, apart from one (two after a restart) for rounding, even if all nodes
// lost power and restarted while the leaf still counts their old connections. Limits that are too small for one
// connection per node are skipped.
func TestAllotmentsStayWithinLeafLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 120).Draw(t, "nodes")
		count := rapid.IntRange(1, 20).Draw(t, "leafs")
		limit := rapid.IntRange(8, 120).Draw(t, "limit")
		nodeZones := rapid.IntRange(1, 6).Draw(t, "zones of nodes")
		leafZones := rapid.IntRange(1, 6).Draw(t, "zones of leafs")
		cfg := DefaultConfig()
		if float64(nodes) > cfg.FractionAfterStart*float64(limit*count) {
			t.Skip("the limit is too small for one connection per node")
		}
		fleet := fleetOf(nodes, nodeZones)
		for _, span := range []time.Duration{0, cfg.StartSpan} {
			open := map[string]int{}
			for _, node := range fleet {
				allocator := New(cfg, fleet, node)
				allocator.now = func() time.Time { return allocator.started.Add(span) }
				own := 0
				for _, allotted := range allocator.Allot("s", true, leafs(count, leafZones), limit) {
					own += allotted.Connections
					open[allotted.Leaf.ID] += allotted.Connections
				}
				if own == 0 {
					t.Fatal("a node was allotted no connection to the service")
				}
			}
			generations := 1
			if span == 0 {
				generations = 2
			}
			for id, sum := range open {
				// sum-1: if the nodes can't be divided evenly among the leafs, a leaf gets one connection more.
				if generations*(sum-1) > limit {
					t.Fatalf("%s has %d connections with a limit of %d, %v after the start", id, sum, limit, span)
				}
			}
		}
	})
}

func TestLeafsWithoutLimitAreAllUsed(t *testing.T) {
	is := is.New(t)
	used := New(DefaultConfig(), fleetOf(2, 1), fleetOf(2, 1)[0]).Allot("s", true, leafs(3, 1), 0)
	is.Equal(len(used), 3)
	for _, allotted := range used {
		is.Equal(allotted.Connections, DefaultConfig().Unlimited)
	}
	is.Equal(len(New(DefaultConfig(), fixedFleet{}, catalog.NodeRecord{ID: "a"}).Allot("s", true, nil, 5)), 0)
}

// A node that is allotted no connection to a leaf may still open an extra one.
func TestUnallottedLeafsGetExtraConnections(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(64, 1)
	allocator := New(DefaultConfig(), fleet, fleet[7])
	for _, allotted := range allocator.Allot("s", true, leafs(3, 1), 54) { // a new node has no extra connections to its own leafs
		is.Equal(allotted.LastResort, allotted.Connections == 0)
		is.Equal(allotted.Connections+allotted.ExtraConnections, 1)
	}
	allocator.now = func() time.Time { return allocator.started.Add(DefaultConfig().StartSpan) }
	own, tried := 0, 0
	for _, allotted := range allocator.Allot("s", true, leafs(3, 1), 54) {
		own += allotted.Connections
		tried += allotted.Connections + allotted.ExtraConnections
	}
	is.Equal(own, 2)
	is.Equal(tried, 5)
}

// If a leaf can't accept a connection from every node, each node of its zone gets one, and the nodes of other zones
// share the rest evenly.
func TestLeafsOfOwnZoneAreAllottedFirst(t *testing.T) {
	is := is.New(t)
	const nodes, zones, limit = 60, 3, 52
	fleet := fleetOf(nodes, zones)
	open := map[string]int{}
	for _, node := range fleet {
		allocator := New(DefaultConfig(), fleet, node)
		allocator.now = func() time.Time { return allocator.started.Add(DefaultConfig().StartSpan) }
		for _, allotted := range allocator.Allot("s", true, leafs(3, zones), limit) {
			open[allotted.Leaf.ID] += allotted.Connections
			is.True(allotted.Leaf.Zone != node.Zone || allotted.Connections == 1)
		}
	}
	is.Equal(open, map[string]int{"leaf-00": 40, "leaf-01": 40, "leaf-02": 40})
}

// Nodes in a zone without leafs and a node that is not yet registered are allotted connections, too.
func TestEveryNodeIsAllottedLeafs(t *testing.T) {
	is := is.New(t)
	fleet := fleetOf(64, 4)
	unknown := catalog.NodeRecord{ID: "node-new", Zone: zoneName(3)}
	open := map[string]int{}
	for _, node := range append(fleetOf(64, 4), unknown) {
		allocator := New(DefaultConfig(), fleet, node)
		allocator.now = func() time.Time { return allocator.started.Add(DefaultConfig().StartSpan) }
		own := 0
		for _, allotted := range allocator.Allot("s", true, leafs(3, 3), 54) {
			own += allotted.Connections
			open[allotted.Leaf.ID] += allotted.Connections
		}
		is.Equal(own, 2)
	}
	for _, sum := range open {
		is.True(sum <= 54)
	}
}

// Cached allotments are recomputed when the nodes, the leafs, the limit or isNew changes.
func TestAllotmentsFollowInputs(t *testing.T) {
	is := is.New(t)
	allocator := New(DefaultConfig(), fleetOf(60, 3), fleetOf(60, 3)[0])
	now := allocator.started
	allocator.now = func() time.Time { return now }
	shards := leafs(3, 3)
	shares := func(leafs []*leafset.Leaf, limit int) int {
		sum := 0
		for _, allotted := range allocator.Allot("s", true, leafs, limit) {
			sum += allotted.Connections
		}
		return sum
	}
	is.Equal(shares(shards, 52), 1)
	now = now.Add(DefaultConfig().StartSpan)
	is.Equal(shares(shards, 52), 2)
	is.Equal(shares(shards, 200), 9)
	is.Equal(shares(leafs(1, 1), 52), 1)
	allocator.fleet = fleetOf(6, 3)
	is.Equal(shares(shards, 52), 21)
}

// Leafs of two versions of a service are allotted separately, and both results are cached.
func TestVersionsAreAllottedSeparately(t *testing.T) {
	is := is.New(t)
	allocator := New(DefaultConfig(), fleetOf(60, 3), fleetOf(60, 3)[0])
	before, after := leafs(3, 3), leafs(3, 3)
	for _, leaf := range after {
		leaf.Version = "v2"
	}
	first := allocator.Allot("s", false, before, 52)
	other := allocator.Allot("s", false, after, 52)
	is.True(leafset.SameSlice(allocator.Allot("s", false, before, 52), first))
	is.True(leafset.SameSlice(allocator.Allot("s", false, after, 52), other))
	is.Equal(other[0].Leaf.Version, "v2")
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{StartSpan: -1, Extra: -1}.Validate())), 5)
}
