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

// views is the fleet as one node knows it.
type views struct {
	self  string
	nodes []catalog.NodeRecord
}

func (v *views) Nodes() []catalog.NodeRecord     { return v.nodes }
func (v *views) Gatherers() []catalog.NodeRecord { return v.nodes }
func (v *views) IsRegistered() bool {
	return slices.ContainsFunc(v.nodes, func(node catalog.NodeRecord) bool { return node.ID == v.self })
}

// fatal is implemented by the states of tests and of property checks.
type fatal interface{ Fatal(...any) }

func put(t fatal, known *catalog.Catalog, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	wrapped, err := catalog.NewDocument("", content, nil)
	if err != nil {
		t.Fatal(err)
	}
	known.Apply(catalog.Change{Entry: catalog.Entry{Key: key, Value: wrapped, Revision: known.Revision() + 1}, Previous: known.Revision()})
}

// newCatalog returns a catalog with one leaf that is cold for a minute, of a service of a rate.
func newCatalog(t fatal, perSecond float64, gathered bool) *catalog.Catalog {
	known := catalog.New(nil)
	put(t, known, catalog.LeafKey(testLeaf), leafset.Record{
		Name: testLeaf, Service: testService, Zone: "east", Address: "127.0.0.1:1", State: leafset.Ready, WarmupMillis: time.Minute.Milliseconds(),
	})
	route := routing.Route{Host: "h", Prefix: "/", Repeatability: routing.Repeatable, Service: testService}
	if gathered {
		route.Service, route.Gathered = "", []string{testService}
	}
	put(t, known, catalog.RoutesKey, routing.Configuration{
		Routes: []routing.Route{route}, Services: []routing.Service{{Name: testService, ColdRequestsPerSecond: perSecond}},
	})
	return known
}

func fleetOf(ids ...int) []catalog.NodeRecord {
	nodes := make([]catalog.NodeRecord, len(ids))
	for i, id := range ids {
		nodes[i] = catalog.NodeRecord{ID: fmt.Sprintf("n%d", id), Zone: []string{"east", "west"}[id%2]}
	}
	return nodes
}

// Even if all nodes send as much as they may and learn of joins and deaths at different moments,
// a cold leaf gets no more in any second than it can take.
func TestColdLeafGetsNoMoreThanItBears(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Excess: rapid.Float64Range(1, 3).Draw(t, "excess"), Slack: rapid.Float64Range(1, 10).Draw(t, "slack")}
		perSecond := rapid.Float64Range(1, 40).Draw(t, "per second")
		gathered := rapid.Bool().Draw(t, "gathered")
		known := newCatalog(t, perSecond, gathered)
		now := time.Now()
		size := rapid.IntRange(1, 30).Draw(t, "nodes")
		current := make([]int, size)
		for id := range current {
			current[id] = id
		}
		fleet := fleetOf(current...)
		var limiters []*Limiter
		var seen []*views
		join := func(id int) {
			self := fleetOf(id)[0]
			view := &views{self: self.ID, nodes: fleet}
			limiter := New(config, known, view, self)
			limiter.now = func() time.Time { return now }
			limiters, seen = append(limiters, limiter), append(seen, view)
		}
		for _, id := range current {
			join(id)
		}
		// At most as many changes a second as there are senders: viewReserve is for these.
		changeEvery := time.Second / time.Duration(config.divide(perSecond, gathered).senders)
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
				if (step+i)%7 == 0 { // nodes learn one after the other
					seen[i].nodes = fleet
				}
				if limiters[i].Take(testLeaf) {
					sent = append(sent, now)
				}
			}
		}
		checkWindows(t, sent, config.capacity(perSecond))
	})
}

// checkWindows fails if more was sent within any second than is allowed.
func checkWindows(t *rapid.T, sent []time.Time, most float64) {
	first := 0
	for last := range sent {
		for sent[last].Sub(sent[first]) >= time.Second {
			first++
		}
		if count := last - first + 1; float64(count) > most {
			t.Fatalf("%d requests within a second, %v allowed", count, most)
		}
	}
}

// The leaf gets most of its rate from the senders, and all nodes choose the same ones.
func TestSendersUseTheRate(t *testing.T) {
	is := is.New(t)
	config := Config{Excess: 1.5, Slack: 5}
	known := newCatalog(t, 6, true)
	now := time.Now()
	ids := make([]int, 20)
	for id := range ids {
		ids[id] = id
	}
	fleet := &views{nodes: fleetOf(ids...)}
	senders, sent := 0, 0
	for _, node := range fleet.nodes {
		limiter := New(config, known, &views{self: node.ID, nodes: fleet.nodes}, node)
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
	is.True(sent >= 45 && sent <= 55) // 5 a second for 10 s: the rate of 6, less the reserve for other views
}

// Warm leafs, those of services without a rate and those that discovery does not know have no limit; a node
// that the others don't know sends nothing to a cold one.
func TestOnlyKnownNodesAskColdLeafs(t *testing.T) {
	is := is.New(t)
	known := newCatalog(t, 6, false)
	now := time.Now()
	nodes := fleetOf(0)
	fleet := &views{self: nodes[0].ID, nodes: nodes}
	limiter := New(Config{Excess: 1.5, Slack: 5}, known, fleet, nodes[0])
	limiter.now = func() time.Time { return now }
	cold, _ := known.View().Leafs.ByID(testLeaf)
	is.True(limiter.Take("remembered"))
	fleet.nodes = nil
	is.True(!limiter.HasToken(cold))
	now = now.Add(time.Second)
	is.True(!limiter.Take(testLeaf))
	fleet.nodes = nodes
	is.True(!limiter.HasToken(cold)) // no token was added meanwhile
	now = now.Add(2 * time.Second)
	is.True(limiter.HasToken(cold))
	is.True(limiter.HasToken(cold)) // HasToken takes none
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

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{Slack: -1}.Validate())), 2)
}
