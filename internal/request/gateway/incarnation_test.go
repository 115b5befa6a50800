package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// putIncarnation adds an incarnation of the leaf "s0a" to the catalog, and returns the leaf, its target and its
// candidate.
func putIncarnation(t *testing.T, g *Gateway, born int64) (*leafset.Leaf, leafTarget, balancer.Candidate) {
	t.Helper()
	put(t, g.catalog, catalog.LeafKey("s0a"), leafset.Record{Name: "s0a", Service: "s0", Address: "127.0.0.1:1", State: leafset.Ready, Born: born})
	leaf, found := g.catalog.View().Leafs.ByName("s0a")
	if !found {
		t.Fatal("the leaf is not in the catalog")
	}
	var targets []leafTarget
	candidates := g.appendUsable(nil, queriedService{name: "s0", maximumConnections: 1}, []*leafset.Leaf{leaf}, &targets)
	return leaf, targets[0], candidates[0]
}

// The state of a leaf belongs to one incarnation: whether it is leaving, its load and slowness, its connections, and
// whether discovery lists it. Requests contain the name that the leaf itself uses.
func TestLeafStateBelongsToOneIncarnation(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	first, firstTarget, firstCandidate := putIncarnation(t, g, 1000)
	choose := func(candidate balancer.Candidate) *balancer.Leaf {
		return g.balancer.Choose([]balancer.Candidate{candidate}, nil).Leaf
	}
	kept := choose(firstCandidate)
	g.balancer.SetLeaving(first.ID, time.Now().Add(time.Minute))
	is.True(choose(firstCandidate) == nil)

	second, secondTarget, secondCandidate := putIncarnation(t, g, 2000)
	fresh := choose(secondCandidate)
	is.True(fresh != nil && fresh != kept)                              // the balancer keeps separate state (leaving, load, slowness, ejection)
	is.True(balancer.KeyOf(first.ID) != balancer.KeyOf(second.ID))      // gossip uses separate keys
	is.True(firstTarget.LeafID != secondTarget.LeafID)                  // connections and process checks are separate
	is.Equal(secondTarget.Name, "s0a")                                  // the name in requests stays
	is.True(!g.isListed(first.ID) && g.isListed(second.ID))             // only the current incarnation is evidence of a crash
	is.True(!g.memory.MaySend(first.ID) && g.memory.MaySend(second.ID)) // queued requests are sent only to the current incarnation
	put(t, g.catalog, catalog.LeafKey("s0a"), leafset.Record{Name: "s0a", Service: "s0", Address: "127.0.0.1:1", State: leafset.Draining, Born: 1000})
	is.True(g.isListed(second.ID)) // a late report about the first incarnation is ignored
}
