package canary

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// member is one node of a fleet during a spec.
type member struct {
	fleet    *one
	splitter *Splitter
}

// arrival is a request to a node at a time of the spec.
type arrival struct {
	at   time.Duration
	node int
}

// arrivals spreads the requests of a fleet over the spec, with a mean number for each node.
func arrivals(source *rand.Rand, nodes int, each float64) []arrival {
	count := int(float64(nodes)*each + 0.5)
	made := make([]arrival, 0, count)
	for range count {
		made = append(made, arrival{time.Duration(source.Float64() * float64(lasts)), source.IntN(nodes)})
	}
	slices.SortFunc(made, func(a, b arrival) int { return int(a.at - b.at) })
	return made
}

// The version gets no more than its share and the slack, whatever the fleet: its nodes learn of the spec at
// different times, see different numbers of nodes, join and restart.
func TestBoundHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 300).Draw(t, "nodes")
		each := rapid.Float64Range(0.1, 50).Draw(t, "requests of a node")
		slack := rapid.SampledFrom([]float64{0, 50}).Draw(t, "slack")
		restarts := rapid.Float64Range(0, 0.2).Draw(t, "restarts")
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		built := newSite(t)
		begin := func(share float64) member {
			fleet := &one{share}
			made := member{fleet, built.splitter(config(slack), fleet)}
			made.splitter.random = source.Float64
			return made
		}
		seen := func() float64 { return 1 / (float64(nodes) * (0.9 + 0.1*source.Float64())) }
		fleet := make([]member, nodes)
		for index := range fleet {
			fleet[index] = begin(seen())
		}
		built.startRollout()
		start, requests, forCanary := built.clock, 0.0, 0.0
		for _, one := range arrivals(source, nodes, each) {
			built.clock = start.Add(one.at)
			node := &fleet[one.node]
			if source.Float64() < restarts {
				*node = begin(seen())
			}
			if source.Float64() < 0.1 {
				node.fleet.share = seen()
			}
			requests++
			forCanary += float64(decide(node.splitter, 1, source.IntN(4) == 0))
			if allowed := 0.1*requests + slack; forCanary > allowed {
				t.Fatalf("%v of %v requests of %d nodes were drawn, %v are allowed", forCanary, requests, nodes, allowed)
			}
		}
	})
}

// At least half of the bound is used if there are enough requests.
func TestBoundIsUsed(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 2))
	for _, nodes := range []int{1, 20, 87} {
		built := newSite(t)
		fleet := make([]*Splitter, nodes)
		for index := range fleet {
			fleet[index] = built.splitter(config(50), &one{1 / float64(nodes)})
			fleet[index].random = source.Float64
		}
		built.startRollout()
		for _, splitter := range fleet {
			splitter.Refresh()
		}
		start, forCanary := built.clock, 0
		made := arrivals(source, nodes, 2000/float64(nodes))
		for _, one := range made {
			built.clock = start.Add(one.at)
			forCanary += decide(fleet[one.node], 1, false)
		}
		is.True(float64(forCanary) >= 0.5*(0.1*float64(len(made))+50))
	}
}

// Of many nodes with one request each some send it to the version, not all or none.
func TestNodesWithARequestEachStartAtRandom(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(3, 4))
	built := newSite(t)
	fleet := make([]*Splitter, 400)
	for index := range fleet {
		fleet[index] = built.splitter(config(50), &one{1.0 / 400})
		fleet[index].random = source.Float64
	}
	built.startRollout()
	forCanary := 0
	for _, splitter := range fleet {
		forCanary += decide(splitter, 1, false)
	}
	is.True(forCanary > 10 && forCanary < 60)
}

// The slack is released in the second quarter of the spec. A node that found the spec when it started has none, and
// one whose fleet has grown has less.
func TestSlackIsReleasedOnce(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 50)
	is.Equal(decide(splitter, 100, false), 8)
	built.pass(lasts / 4)
	is.Equal(decide(splitter, 1, false), 0)
	built.pass(lasts / 8)
	is.Equal(decide(splitter, 99, false), 28)
	built.pass(lasts / 8)
	is.Equal(decide(splitter, 100, false), 28)

	late := built.splitter(config(50), &one{1})
	is.Equal(decide(late, 100, false), 8)

	built, splitter, _ = started(t, 50)
	built.pass(lasts / 2)
	splitter.fleet.(*one).share = 0.25
	is.Equal(decide(splitter, 1, false), 1)
	splitter.fleet.(*one).share = 1
	is.Equal(decide(splitter, 99, false), 17)
}

// Requests that must run at most once get what repeatable ones left of the slack after its release.
func TestOnceOnlyRequestsGetWhatIsLeft(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 50)
	is.Equal(decide(splitter, 100, true), 0)
	built.pass(3 * lasts / 8)
	is.Equal(decide(splitter, 100, false), 16+20-5)
	is.Equal(decide(splitter, 100, true), 0)
	built.pass(lasts / 8)
	is.Equal(decide(splitter, 100, true), 40)
	is.Equal(decide(splitter, 100, false), 40+40-31-40)
}

// Repeatable requests leave a share of the slack to requests that must run at most once, however many they are.
func TestShareOfTheSlackIsForOnceOnlyRequests(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 50)
	is.Equal(decide(splitter, 10, true), 0)
	built.pass(lasts / 2)
	is.Equal(decide(splitter, 990, false), 80+30)
	is.Equal(decide(splitter, 100, true), 10+8) // the requests themselves add to the share
	is.Equal(decide(splitter, 900, false), 72-8+8)
}

// Without requests that must run at most once no slack is reserved.
func TestNoSlackIsKeptWithoutOnceOnlyRequests(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 50)
	built.pass(lasts / 2)
	is.Equal(decide(splitter, 1000, false), 80+40)
}

// A decision by which nothing could be sent is available to another request.
func TestReturnedDrawIsMadeAgain(t *testing.T) {
	is := is.New(t)
	_, splitter, _ := started(t, 0)
	is.Equal(decide(splitter, 12, false), 0)
	request := Request{Service: "s"}
	decision := splitter.Decide(request)
	is.True(decision.First == Target && decision.IsBounded)
	is.Equal(decide(splitter, 1, false), 0)
	splitter.Refund(request, decision)
	is.Equal(decide(splitter, 1, false), 1)
}

// A decision of a spec that was replaced meanwhile does not add to the budget of the next one.
func TestDrawOfAnotherOrderIsNotReturned(t *testing.T) {
	is := is.New(t)
	built, splitter, _ := started(t, 0)
	is.Equal(decide(splitter, 12, false), 0)
	request := Request{Service: "s"}
	decision := splitter.Decide(request)
	is.True(decision.IsBounded)
	built.startRollout()
	is.Equal(decide(splitter, 13, false), 1)
	splitter.Refund(request, decision)
	is.Equal(decide(splitter, 11, false), 0)
}

// Requests that no leaf of the serving version can take earn no share; they get what there is of the slack.
func TestUnservedRequestsGetTheSlackOnly(t *testing.T) {
	is := is.New(t)
	unserved := func(s *Splitter, n int) int {
		forCanary := 0
		for range n {
			if s.Decide(Request{Service: "s", Unserved: true}).First == Target {
				forCanary++
			}
		}
		return forCanary
	}
	_, splitter, _ := started(t, 0)
	is.Equal(unserved(splitter, 1000), 0)
	is.Equal(decide(splitter, 100, false), 8)
	is.Equal(unserved(splitter, 1000), 0)
	built, splitter, _ := started(t, 50)
	built.pass(lasts / 2)
	is.Equal(unserved(splitter, 1000), 40)
	is.Equal(decide(splitter, 100, false), 8)
}
