package verdicttest

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// Names of the two versions.
const (
	Serving = "v1"
	Canary  = "v2"
)

// A simplified model of the bound that package canary enforces on the requests of a canary that was not found good yet.
const (
	share = 0.1
	slack = 50
	used  = 0.8
	// The slack is used in the second quarter of the spec, in turns that each prefer one leaf.
	slackFrom  = 0.25
	slackUntil = 0.5
	turns      = 6
	// ramp is the fraction of the spec's duration in which the requests move to a version that was found good.
	ramp = 0.05
	// evaluateInterval is the interval at which the counts are evaluated.
	evaluateInterval = 300 * time.Millisecond
)

// Evaluator evaluates the counts so far.
type Evaluator interface {
	Update(elapsed time.Duration, rows []evidence.Row) verdict.Finding
}

type Outcome struct {
	// Last is the finding at the end.
	Last verdict.Finding
	// GoodAt and BadAt are the times at which the canary was found good and bad, 0 for never.
	GoodAt, BadAt time.Duration
	// Answers and BadAnswers count the answers of the canary until it was found bad or the spec ended.
	Answers    int
	BadAnswers int
	// WasGood reports whether the canary was found good before it was found bad.
	WasGood bool
}

// simulation is a simulation of a case with one seed.
type simulation struct {
	testCase Case
	random   *rand.Rand
	leafs    [2][]leaf
	pending  []answer
	tallies  map[evidence.Key]*evidence.Tally
	order    []evidence.Key
	outcome  Outcome
	// withinSlack counts the requests that the canary received from the slack, withinShare those within its share.
	withinSlack, withinShare, requests float64
}

func Simulate(c Case, seed uint64, evaluator Evaluator) Outcome {
	s := newSimulation(c.withDefaults(), seed)
	at, evaluateAt := s.nextArrival(0), evaluateInterval
	for ; evaluateAt <= s.testCase.Duration && s.outcome.Last != verdict.Bad; evaluateAt += evaluateInterval {
		for at < evaluateAt {
			s.request(at)
			at = s.nextArrival(at)
		}
		s.deliver(evaluateAt)
		if s.testCase.Incident != NoReports || evaluateAt < s.testCase.Duration/4 || evaluateAt > s.testCase.Duration/2 {
			s.evaluate(evaluateAt, evaluator)
		}
	}
	return s.outcome
}

func newSimulation(c Case, seed uint64) *simulation {
	s := &simulation{testCase: c, random: rand.New(rand.NewPCG(seed, 1)), tallies: map[evidence.Key]*evidence.Tally{}}
	s.outcome.Last = verdict.Undecided
	for number := range c.Leafs {
		s.leafs[0] = append(s.leafs[0], newLeaf(fmt.Sprint("old-", number), number, false, s.random))
		s.leafs[1] = append(s.leafs[1], newLeaf(fmt.Sprint("new-", number), number, true, s.random))
	}
	return s
}

// nextArrival returns the time of the next request.
func (s *simulation) nextArrival(at time.Duration) time.Duration {
	perSecond := s.testCase.PerSecond
	fraction := float64(at) / float64(s.testCase.Duration)
	if s.testCase.Incident == Burst && fraction >= incidentFrom && fraction < incidentTo {
		perSecond *= burstFactor
	}
	return at + time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second))
}

func (s *simulation) request(at time.Duration) {
	s.requests++
	route := s.random.IntN(s.testCase.Routes)
	s.pending = append(s.pending, s.sendRequest(at, route))
}

func (s *simulation) sendRequest(at time.Duration, route int) answer {
	if s.outcome.Last == verdict.Good {
		moved := float64(at-s.outcome.GoodAt) / (ramp * float64(s.testCase.Duration))
		version := 0
		if s.random.Float64() < moved {
			version = 1
		}
		return s.attempt(at, s.randomLeaf(version), route, true)
	}
	if l := s.focusLeaf(at); l != nil {
		s.withinSlack++
		return s.attempt(at, l, route, true)
	}
	if s.withinShare+1 <= share*used*s.requests+s.random.Float64() {
		s.withinShare++
		return s.attempt(at, s.randomLeaf(1), route, false)
	}
	return s.attempt(at, s.randomLeaf(0), route, false)
}

func (s *simulation) randomLeaf(version int) *leaf {
	return &s.leafs[version][s.random.IntN(s.testCase.Leafs)]
}

// focusLeaf returns the leaf that receives all requests from the slack in the current turn, nil if there is none.
func (s *simulation) focusLeaf(at time.Duration) *leaf {
	fraction := (float64(at)/float64(s.testCase.Duration) - slackFrom) / (slackUntil - slackFrom)
	if fraction < 0 || fraction >= 1 {
		return nil
	}
	turn := math.Floor(fraction * turns)
	if s.withinSlack >= slack*used*(turn+1)/turns {
		return nil
	}
	return &s.leafs[1][int(turn)%s.testCase.Leafs]
}

// deliver counts the answers that arrive up to a time.
func (s *simulation) deliver(until time.Duration) {
	pending := s.pending[:0]
	for _, a := range s.pending {
		if a.at > until {
			pending = append(pending, a)
			continue
		}
		s.count(a)
	}
	s.pending = pending
}

func (s *simulation) count(a answer) {
	key := evidence.Key{Service: "s", SpecID: 1, Route: fmt.Sprint("/", a.route), Version: Serving, Leaf: a.leaf.id, Zone: fmt.Sprint("z", a.leaf.zone)}
	if a.leaf.isCanary {
		key.Version = Canary
		s.outcome.Answers++
		if a.isBad {
			s.outcome.BadAnswers++
		}
	}
	if s.tallies[key] == nil {
		s.tallies[key] = &evidence.Tally{}
		s.order = append(s.order, key)
	}
	if a.isCancelled {
		s.tallies[key].ObserveCancelled(a.took)
		return
	}
	s.tallies[key].Observe(a.failed, a.took)
}

func (s *simulation) evaluate(at time.Duration, evaluator Evaluator) {
	rows := make([]evidence.Row, 0, len(s.order))
	for _, key := range s.order {
		rows = append(rows, evidence.Row{Key: key, Tally: *s.tallies[key]})
	}
	finding := evaluator.Update(at, rows)
	if finding == s.outcome.Last {
		return
	}
	s.outcome.Last = finding
	switch finding {
	case verdict.Good:
		s.outcome.GoodAt = at
	case verdict.Bad:
		s.outcome.BadAt = at
		s.outcome.WasGood = s.outcome.GoodAt > 0
	}
}
