package warmup

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

const (
	testService = "s"
	testLeaf    = "leaf"
)

// fakeFleet is one node's view of the fleet.
type fakeFleet struct {
	self  string
	nodes []catalog.NodeRecord
}

func (f *fakeFleet) Nodes() []catalog.NodeRecord     { return f.nodes }
func (f *fakeFleet) Gatherers() []catalog.NodeRecord { return f.nodes }
func (f *fakeFleet) IsRegistered() bool {
	return slices.ContainsFunc(f.nodes, func(node catalog.NodeRecord) bool { return node.ID == f.self })
}

// fatalReporter is implemented by testing.T and rapid.T.
type fatalReporter interface{ Fatal(...any) }

func put(t fatalReporter, cat *catalog.Catalog, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	wrapped, err := catalog.NewDocument("", content, nil)
	if err != nil {
		t.Fatal(err)
	}
	cat.Apply(catalog.Change{Entry: catalog.Entry{Key: key, Value: wrapped, Revision: cat.Revision() + 1}, Previous: cat.Revision()})
}

// newCatalog returns a catalog with one leaf that is cold for a minute and whose service has the given cold rate.
func newCatalog(t fatalReporter, perSecond float64, gathered bool) *catalog.Catalog {
	cat := catalog.New(nil)
	put(t, cat, catalog.LeafKey(testLeaf), leafset.Record{
		Name: testLeaf, Service: testService, Zone: "east", Address: "127.0.0.1:1", State: leafset.Ready, WarmupMillis: time.Minute.Milliseconds(),
	})
	route := routing.Route{Host: "h", Prefix: "/", Repeatability: routing.Repeatable, Service: testService}
	if gathered {
		route.Service, route.Gathered = "", []string{testService}
	}
	put(t, cat, catalog.RoutesKey, routing.Configuration{
		Routes: []routing.Route{route}, Services: []routing.Service{{Name: testService, ColdRequestsPerSecond: perSecond}},
	})
	return cat
}

func fleetOf(ids ...int) []catalog.NodeRecord {
	nodes := make([]catalog.NodeRecord, len(ids))
	for i, id := range ids {
		nodes[i] = catalog.NodeRecord{ID: fmt.Sprintf("n%d", id), Zone: []string{"east", "west"}[id%2]}
	}
	return nodes
}

// A cold leaf gets no more requests in any second than its capacity, even if all nodes use their rate and learn of
// started and ended nodes at different times.
func TestColdLeafRateStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Excess: rapid.Float64Range(1, 3).Draw(t, "excess"), Slack: rapid.Float64Range(1, 10).Draw(t, "slack")}
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		gathered := rapid.Bool().Draw(t, "gathered")
		cat := newCatalog(t, perSecond, gathered)
		now := time.Now()
		size := rapid.IntRange(1, 30).Draw(t, "nodes")
		current := make([]int, size)
		for id := range current {
			current[id] = id
		}
		fleet := fleetOf(current...)
		var limiters []*Limiter
		var seen []*fakeFleet
		join := func(id int) {
			self := fleetOf(id)[0]
			view := &fakeFleet{self: self.ID, nodes: fleet}
			limiter := New(cfg, cat, view, self)
			limiter.now = func() time.Time { return now }
			limiters, seen = append(limiters, limiter), append(seen, view)
		}
		for _, id := range current {
			join(id)
		}
		// senderReserve allows at most as many changes per second as there are senders.
		changeEvery := time.Second / time.Duration(cfg.divide(perSecond, gathered).senders)
		var sent []time.Time
		next := now.Add(changeEvery)
		for step := range 300 {
			now = now.Add(10 * time.Millisecond)
			if !now.Before(next) {
				next = now.Add(changeEvery + time.Millisecond)
				if id := rapid.IntRange(0, 2*size).Draw(t, "changed"); slices.Contains(current, id) && len(current) > 1 {
					current = slices.DeleteFunc(current, func(other int) bool { return other == id })
					fleet = fleetOf(current...)
				} else if !slices.Contains(current, id) {
					current = append(current, id)
					fleet = fleetOf(current...)
					join(id)
				}
			}
			for i := range limiters {
				if (step+i)%7 == 0 { // nodes learn of changes at different times
					seen[i].nodes = fleet
				}
				if limiters[i].Take(testLeaf) {
					sent = append(sent, now)
				}
			}
		}
		checkWindows(t, sent, cfg.capacity(perSecond))
	})
}

// checkWindows fails if the number of requests sent within any second exceeds the limit.
func checkWindows(t *rapid.T, sent []time.Time, limit float64) {
	first := 0
	for last := range sent {
		for sent[last].Sub(sent[first]) >= time.Second {
			first++
		}
		if count := last - first + 1; float64(count) > limit {
			t.Fatalf("%d requests were sent within a second, want at most %v", count, limit)
		}
	}
}

// The senders, which are the same on all nodes, use most of the leaf's rate.
func TestSendersUseMostOfTheRate(t *testing.T) {
	is := is.New(t)
	cfg := Config{Excess: 1.5, Slack: 5}
	cat := newCatalog(t, 6, true)
	now := time.Now()
	ids := make([]int, 20)
	for id := range ids {
		ids[id] = id
	}
	fleet := &fakeFleet{nodes: fleetOf(ids...)}
	senders, sent := 0, 0
	for _, node := range fleet.nodes {
		limiter := New(cfg, cat, &fakeFleet{self: node.ID, nodes: fleet.nodes}, node)
		at := now
		limiter.now = func() time.Time { return at }
		own := 0
		for range 1000 {
			at = at.Add(10 * time.Millisecond)
			if limiter.Take(testLeaf) {
				own++
			}
		}
		if own > 0 {
			senders++
			is.Equal(node.Zone, "east") // nodes of the leaf's zone come first
		}
		sent += own
	}
	is.Equal(senders, gatherersPerLeaf)
	is.True(sent >= 45 && sent <= 55) // 5 per second for 10 s: the capacity of 14 divided by senderReserve, less one request per sender
}

// Warm leafs, leafs of services without a cold rate and leafs that are not in discovery have no limit. A node that is
// not registered sends nothing to cold leafs.
func TestOnlyRegisteredNodesSendToColdLeafs(t *testing.T) {
	is := is.New(t)
	cat := newCatalog(t, 6, false)
	now := time.Now()
	nodes := fleetOf(0)
	fleet := &fakeFleet{self: nodes[0].ID, nodes: nodes}
	limiter := New(Config{Excess: 1.5, Slack: 5}, cat, fleet, nodes[0])
	limiter.now = func() time.Time { return now }
	cold, _ := cat.View().Leafs.ByID(testLeaf)
	is.True(limiter.Take("remembered"))
	fleet.nodes = nil
	is.True(!limiter.HasToken(cold))
	now = now.Add(time.Second)
	is.True(!limiter.Take(testLeaf))
	fleet.nodes = nodes
	is.True(!limiter.HasToken(cold)) // no token was added while the node was not registered
	now = now.Add(2 * time.Second)
	is.True(limiter.HasToken(cold))
	is.True(limiter.HasToken(cold)) // HasToken takes no token
	is.True(limiter.Take(testLeaf))
	is.True(!limiter.Take(testLeaf))
	now = now.Add(2 * time.Minute)
	for range 20 {
		is.True(limiter.HasToken(cold) && limiter.Take(testLeaf))
	}
	now = now.Add(-2 * time.Minute)
	unlimited := New(DefaultConfig(), newCatalog(t, 0, false), fleet, nodes[0])
	for range 20 {
		is.True(unlimited.Take(testLeaf))
	}
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{Slack: -1}.Validate())), 2)
}
