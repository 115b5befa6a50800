package gateway

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// partitionedPinger is a Pinger for which the nodes in some zones do not answer.
type partitionedPinger map[string]bool

func (p partitionedPinger) Ping(_ context.Context, node catalog.NodeRecord) bool {
	return !p[node.Zone]
}
func (p partitionedPinger) SendZoneLost(catalog.NodeRecord, string) {}

// trackerWithout returns the reachability tracker of a node in the near zone that cannot reach some of the zones, with
// five nodes each. It stops at the end of the test.
func trackerWithout(t *testing.T, lost ...string) *reachability.Tracker {
	t.Helper()
	pinger := partitionedPinger{}
	for _, zone := range lost {
		pinger[zone] = true
	}
	var nodes []catalog.NodeRecord
	for _, zone := range []string{zoneNear, zoneFar, zoneFarther} {
		for index := range 5 {
			id := fmt.Sprint(zone, index)
			nodes = append(nodes, catalog.NodeRecord{ID: id, Zone: zone, Address: id})
		}
	}
	zones := reachability.New(reachability.Deps{
		Config: reachability.DefaultConfig(), Self: nodes[0], Pinger: pinger, Nodes: func() []catalog.NodeRecord { return nodes },
	})
	ctx, cancel := context.WithCancel(t.Context())
	go zones.Run(ctx)
	t.Cleanup(cancel)
	time.Sleep(time.Millisecond)
	for _, zone := range lost {
		zones.Suspect(zone)
	}
	for range 400 {
		if !zones.Reaches(lost[len(lost)-1]) && !zones.Reaches(lost[0]) {
			return zones
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the zones are still considered reachable")
	return nil
}

// placeLeafs places the leafs of a gateway's services: the first near services have a leaf each in the near and far
// zones, the others two leafs in the far zone.
func placeLeafs(t *testing.T, g *Gateway, near int) {
	t.Helper()
	for index := range shardCount {
		service := fmt.Sprintf("s%d", index)
		zones := []string{zoneNear, zoneFar}
		if index >= near {
			zones = []string{zoneFar, zoneFar}
		}
		for replica, zone := range zones {
			id := service + string(rune('a'+replica))
			put(t, g.catalog, catalog.LeafKey(id), leafset.Record{Name: id, Service: service, Address: "127.0.0.1:1", Zone: zone, State: leafset.Ready})
		}
	}
}

// answerNearOnly returns an answer function for scriptedLeafs: only leafs in the near zone answer.
func answerNearOnly(g func() *Gateway) func(leaf string) (time.Duration, *leafhttp.Response, error) {
	return func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if listed, _ := g().catalog.View().Leafs.ByID(leaf); listed.Zone == zoneFar {
			return time.Hour, answered(200, leaf), nil
		}
		return time.Millisecond, answered(200, records(leaf)), nil
	}
}

// inPartition runs a test of a node in the near zone that cannot reach the far zone.
func inPartition(t *testing.T, nearServices int, test func(is *is.I, g *Gateway, leafs *scriptedLeafs)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var g *Gateway
		leafs := &scriptedLeafs{answer: answerNearOnly(func() *Gateway { return g })}
		g, _ = newGateway(t, leafs)
		placeLeafs(t, g, nearServices)
		time.Sleep(time.Minute)
		g.zones = trackerWithout(t, zoneFar)
		test(is.New(t), g, leafs)
	})
}

// A request that needs leafs in an unreachable zone is refused at once as not run, and no leaf is queried.
func TestRequestNeedingUnreachableZoneIsRefused(t *testing.T) {
	inPartition(t, 7, func(is *is.I, g *Gateway, leafs *scriptedLeafs) {
		started := time.Now()
		_, err := g.Serve(context.Background(), newRequest("/pages/1")) // 8 of 10 parts are required
		failed := failure.From(err)
		is.Equal(failed.Execution, failure.NotRun)
		is.Equal(failed.Code, failure.Overloaded)
		is.True(failed.RetryAfter > 0)
		is.Equal(time.Since(started), time.Duration(0))
		is.Equal(len(leafs.queried), 0)
	})
}

// If enough services are reachable, only their leafs are queried.
func TestOnlyReachableLeafsAreQueried(t *testing.T) {
	inPartition(t, 8, func(is *is.I, g *Gateway, leafs *scriptedLeafs) {
		answer, err := g.Serve(context.Background(), newRequest("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 2)
		is.Equal(len(leafs.queried), 8)
		for _, leaf := range leafs.queried {
			is.True(strings.HasSuffix(leaf, "a")) // the leaf in the near zone
		}
	})
}

// A single request goes to a reachable leaf at once.
func TestSingleRequestGoesToReachableLeaf(t *testing.T) {
	inPartition(t, 1, func(is *is.I, g *Gateway, leafs *scriptedLeafs) {
		for range 20 {
			started := time.Now()
			_, err := g.Serve(context.Background(), newRequest("/once/1"))
			is.NoErr(err)
			is.Equal(time.Since(started), time.Millisecond)
		}
		for _, leaf := range leafs.queried {
			is.Equal(leaf, "s0a")
		}
	})
}

// A request whose only leafs are in an unreachable zone is refused at once.
func TestSingleRequestNeedingUnreachableZoneIsRefused(t *testing.T) {
	inPartition(t, 0, func(is *is.I, g *Gateway, leafs *scriptedLeafs) {
		_, err := g.Serve(context.Background(), newRequest("/once/1"))
		is.Equal(failure.From(err).Execution, failure.NotRun)
		is.Equal(len(leafs.queried), 0)
	})
}

// A node is not ready if it can reach neither most of the fleet nor the leafs of every route. It is ready if it can
// serve all routes or reach most of the fleet.
func TestNodeIsReadyUnlessOtherZonesServeBetter(t *testing.T) {
	cases := []struct {
		name  string
		near  int
		lost  []string
		ready bool
	}{
		{"most zones and a route lost", 7, []string{zoneFar, zoneFarther}, false},
		{"most zones lost, all routes served", 8, []string{zoneFar, zoneFarther}, true},
		{"a route lost, most of the fleet reachable", 7, []string{zoneFar}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g, _ := newGateway(t, &scriptedLeafs{})
				placeLeafs(t, g, c.near)
				is.True(g.Ready())
				g.zones = trackerWithout(t, c.lost...)
				is.Equal(g.Ready(), c.ready)
			})
		})
	}
}

// No groups are sent to nodes in an unreachable zone.
func TestGroupsAreNotSentToUnreachableZone(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("n1"), far("f1"))
	root := tr.nodes["n1"].gateway
	is.Equal(len(root.root.groups(root.catalog.View().Routes.Match("h", "/pages/1"))), 1)
	root.zones = trackerWithout(t, zoneFar)
	root.root.zones = root.zones
	is.Equal(len(root.root.groups(root.catalog.View().Routes.Match("h", "/pages/1"))), 0)
}

// An intermediate that refuses connections causes a probe of its zone.
func TestUnreachableIntermediateCausesZoneProbe(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("n1"), far("f1"))
	root := tr.nodes["n1"].gateway
	pinged := make(chan string, 100)
	nodes := []catalog.NodeRecord{near("n1")}
	for index := range 5 {
		node := far(fmt.Sprint("f", index))
		node.Address = node.ID
		nodes = append(nodes, node)
	}
	root.zones = reachability.New(reachability.Deps{
		Config: reachability.DefaultConfig(), Self: near("n1"), Pinger: recordingPinger(pinged),
		Nodes: func() []catalog.NodeRecord { return nodes },
	})
	root.root.zones = root.zones
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go root.zones.Run(ctx)
	time.Sleep(10 * time.Millisecond)
	tr.nodes["f1"].listener.Close()
	_, _ = tr.serve("n1") // the outcome is checked by other tests
	select {
	case zone := <-pinged:
		is.Equal(zone, zoneFar)
	case <-time.After(10 * time.Second):
		t.Fatal("the zone was not probed")
	}
}

// recordingPinger is a Pinger that records the zones of the pinged nodes, none of which answers.
type recordingPinger chan string

func (p recordingPinger) Ping(_ context.Context, node catalog.NodeRecord) bool {
	select {
	case p <- node.Zone:
	default:
	}
	return false
}
func (p recordingPinger) SendZoneLost(catalog.NodeRecord, string) {}
