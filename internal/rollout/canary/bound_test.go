package canary

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// node is one node of a fleet during a rollout.
type node struct {
	fleet    *fakeFleet
	splitter *Splitter
}

// arrival is a request that arrives at a node at a time after the start of the spec.
type arrival struct {
	at   time.Duration
	node int
}

// arrivals returns random arrivals over the duration of the spec, with the given mean number per node.
func arrivals(source *rand.Rand, nodes int, perNode float64) []arrival {
	count := int(float64(nodes)*perNode + 0.5)
	result := make([]arrival, 0, count)
	for range count {
		result = append(result, arrival{time.Duration(source.Float64() * float64(specDuration)), source.IntN(nodes)})
	}
	slices.SortFunc(result, func(a, b arrival) int { return int(a.at - b.at) })
	return result
}

// The canary never exceeds its share plus the slack, although nodes learn of the spec at different times, see different
// numbers of nodes, and restart.
func TestFleetStaysWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(1, 300).Draw(t, "nodes")
		perNode := rapid.Float64Range(0.1, 50).Draw(t, "requests per node")
		slack := rapid.SampledFrom([]float64{0, 50}).Draw(t, "slack")
		restarts := rapid.Float64Range(0, 0.2).Draw(t, "restarts")
		source := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		f := newFixture(t)
		start := func(share float64) node {
			fleet := &fakeFleet{share}
			started := node{fleet, f.splitter(config(slack), fleet)}
			started.splitter.random = source.Float64
			return started
		}
		seenShare := func() float64 { return 1 / (float64(nodes) * (0.9 + 0.1*source.Float64())) }
		fleet := make([]node, nodes)
		for index := range fleet {
			fleet[index] = start(seenShare())
		}
		f.startRollout()
		startedAt, requests, forCanary := f.clock, 0.0, 0.0
		for _, next := range arrivals(source, nodes, perNode) {
			f.clock = startedAt.Add(next.at)
			receiver := &fleet[next.node]
			if source.Float64() < restarts {
				*receiver = start(seenShare())
			}
			if source.Float64() < 0.1 {
				receiver.fleet.share = seenShare()
			}
			requests++
			forCanary += float64(decide(receiver.splitter, 1, source.IntN(4) == 0))
			if allowed := 0.1*requests + slack; forCanary > allowed {
				t.Fatalf("%v of %v requests of %d nodes went to the canary, want at most %v", forCanary, requests, nodes, allowed)
			}
		}
	})
}

// With enough requests at least half of the bound is used.
func TestHalfOfTheBoundIsUsed(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(1, 2))
	for _, nodes := range []int{1, 20, 87} {
		f := newFixture(t)
		fleet := make([]*Splitter, nodes)
		for index := range fleet {
			fleet[index] = f.splitter(config(50), &fakeFleet{1 / float64(nodes)})
			fleet[index].random = source.Float64
		}
		f.startRollout()
		for _, splitter := range fleet {
			splitter.Refresh()
		}
		start, forCanary := f.clock, 0
		requests := arrivals(source, nodes, 2000/float64(nodes))
		for _, next := range requests {
			f.clock = start.Add(next.at)
			forCanary += decide(fleet[next.node], 1, false)
		}
		is.True(float64(forCanary) >= 0.5*(0.1*float64(len(requests))+50))
	}
}

// Of many nodes with one request each, some send it to the canary, not all or none.
func TestInitialCreditIsRandom(t *testing.T) {
	is := is.New(t)
	source := rand.New(rand.NewPCG(3, 4))
	f := newFixture(t)
	fleet := make([]*Splitter, 400)
	for index := range fleet {
		fleet[index] = f.splitter(config(50), &fakeFleet{1.0 / 400})
		fleet[index].random = source.Float64
	}
	f.startRollout()
	forCanary := 0
	for _, splitter := range fleet {
		forCanary += decide(splitter, 1, false)
	}
	is.True(forCanary > 10 && forCanary < 60)
}

// The slack is released in the second quarter of the spec. A node that started after the spec has none, and a node
// whose fleet has grown has less.
func TestSlackIsReleasedInSecondQuarter(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 50)
	is.Equal(decide(splitter, 100, false), 8)
	f.advance(specDuration / 4)
	is.Equal(decide(splitter, 1, false), 0)
	f.advance(specDuration / 8)
	is.Equal(decide(splitter, 99, false), 28)
	f.advance(specDuration / 8)
	is.Equal(decide(splitter, 100, false), 28)

	late := f.splitter(config(50), &fakeFleet{1})
	is.Equal(decide(late, 100, false), 8)

	f, splitter, _ = newRollout(t, 50)
	f.advance(specDuration / 2)
	splitter.fleet.(*fakeFleet).share = 0.25
	is.Equal(decide(splitter, 1, false), 1)
	splitter.fleet.(*fakeFleet).share = 1
	is.Equal(decide(splitter, 99, false), 17)
}

// After its release, requests that must run at most once use the slack that repeatable requests left.
func TestOnceOnlyRequestsUseRemainingSlack(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 50)
	is.Equal(decide(splitter, 100, true), 0)
	f.advance(3 * specDuration / 8)
	is.Equal(decide(splitter, 100, false), 16+20-5)
	is.Equal(decide(splitter, 100, true), 0)
	f.advance(specDuration / 8)
	is.Equal(decide(splitter, 100, true), 40)
	is.Equal(decide(splitter, 100, false), 40+40-31-40)
}

// A fraction of the slack is reserved for requests that must run at most once, however many repeatable requests arrive.
func TestSlackIsReservedForOnceOnlyRequests(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 50)
	is.Equal(decide(splitter, 10, true), 0)
	f.advance(specDuration / 2)
	is.Equal(decide(splitter, 990, false), 80+30)
	is.Equal(decide(splitter, 100, true), 10+8) // 100 more requests increase the share by 8
	is.Equal(decide(splitter, 900, false), 72-8+8)
}

// No slack is reserved without requests that must run at most once.
func TestNoSlackIsReservedWithoutOnceOnlyRequests(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 50)
	f.advance(specDuration / 2)
	is.Equal(decide(splitter, 1000, false), 80+40)
}

// A refunded decision is available to another request.
func TestRefundedDecisionIsReused(t *testing.T) {
	is := is.New(t)
	_, splitter, _ := newRollout(t, 0)
	is.Equal(decide(splitter, 12, false), 0)
	request := Request{Service: "s"}
	decision := splitter.Decide(request)
	is.True(decision.First == Canary && decision.IsBounded)
	is.Equal(decide(splitter, 1, false), 0)
	splitter.Refund(request, decision)
	is.Equal(decide(splitter, 1, false), 1)
}

// The refund of a decision of a replaced spec does not add to the budget of the next spec.
func TestDecisionOfReplacedSpecIsNotRefunded(t *testing.T) {
	is := is.New(t)
	f, splitter, _ := newRollout(t, 0)
	is.Equal(decide(splitter, 12, false), 0)
	request := Request{Service: "s"}
	decision := splitter.Decide(request)
	is.True(decision.IsBounded)
	f.startRollout()
	is.Equal(decide(splitter, 13, false), 1)
	splitter.Refund(request, decision)
	is.Equal(decide(splitter, 11, false), 0)
}

// Requests that no leaf of the serving version can take do not increase the share. They use only the slack.
func TestUnservedRequestsUseOnlySlack(t *testing.T) {
	is := is.New(t)
	unserved := func(s *Splitter, n int) int {
		forCanary := 0
		for range n {
			if s.Decide(Request{Service: "s", Unserved: true}).First == Canary {
				forCanary++
			}
		}
		return forCanary
	}
	_, splitter, _ := newRollout(t, 0)
	is.Equal(unserved(splitter, 1000), 0)
	is.Equal(decide(splitter, 100, false), 8)
	is.Equal(unserved(splitter, 1000), 0)
	f, splitter, _ := newRollout(t, 50)
	f.advance(specDuration / 2)
	is.Equal(unserved(splitter, 1000), 40)
	is.Equal(decide(splitter, 100, false), 8)
}
