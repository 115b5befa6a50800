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

// The share of the requests that a version not yet found good gets, as the nodes keep it.
const (
	share = 0.1
	slack = 50
	used  = 0.8
	// The slack is spent in the second quarter of the spec, in this many moments, each at one leaf.
	slackFrom = 0.25
	slackTo   = 0.5
	moments   = 6
	// ramp is the part of the order in which the requests move to a version found good.
	ramp = 0.05
	// every is how often the counts are evaluated.
	every = 300 * time.Millisecond
)

// Evaluator evaluates the counts so far.
type Evaluator interface {
	Update(elapsed time.Duration, rows []evidence.Row) verdict.Finding
}

// Outcome is what an evaluator found in a case.
type Outcome struct {
	// Last is the finding at the end.
	Last verdict.Finding
	// GoodAt and BadAt are when it was found good and bad, 0 for never.
	GoodAt, BadAt time.Duration
	// Answers and BadAnswers are those of the canary version until it was found bad or the spec ended.
	Answers    int
	BadAnswers int
	// SpentInSwitch says that it was found good before it was found bad.
	SpentInSwitch bool
}

// simulation is one run of a case.
type simulation struct {
	of      Case
	random  *rand.Rand
	leafs   [2][]leaf
	pending []answer
	tallies map[evidence.Key]*evidence.Tally
	order   []evidence.Key
	outcome Outcome
	// spent are the requests that the version got beyond its share, sent those within it.
	spent, sent, requests float64
}

// Simulate plays a case and returns the outcome.
func Simulate(of Case, seed uint64, evaluator Evaluator) Outcome {
	p := newSimulation(of.withDefaults(), seed)
	at, evaluated := p.next(0), every
	for ; evaluated <= p.of.Duration && p.outcome.Last != verdict.Bad; evaluated += every {
		for at < evaluated {
			p.request(at)
			at = p.next(at)
		}
		p.deliver(evaluated)
		if p.of.Incident != NoReports || evaluated < p.of.Duration/4 || evaluated > p.of.Duration/2 {
			p.evaluate(evaluated, evaluator)
		}
	}
	return p.outcome
}

func newSimulation(of Case, seed uint64) *simulation {
	p := &simulation{of: of, random: rand.New(rand.NewPCG(seed, 1)), tallies: map[evidence.Key]*evidence.Tally{}}
	p.outcome.Last = verdict.Undecided
	for number := range of.Leafs {
		p.leafs[0] = append(p.leafs[0], newLeaf(fmt.Sprint("old-", number), number, false, p.random))
		p.leafs[1] = append(p.leafs[1], newLeaf(fmt.Sprint("new-", number), number, true, p.random))
	}
	return p
}

// next returns when the next request arrives.
func (p *simulation) next(at time.Duration) time.Duration {
	perSecond := p.of.PerSecond
	fraction := float64(at) / float64(p.of.Duration)
	if p.of.Incident == Burst && fraction >= incidentFrom && fraction < incidentTo {
		perSecond *= burstFactor
	}
	return at + time.Duration(p.random.ExpFloat64()/perSecond*float64(time.Second))
}

// request sends a request to one of the versions.
func (p *simulation) request(at time.Duration) {
	p.requests++
	route := p.random.IntN(p.of.Routes)
	p.pending = append(p.pending, p.choose(at, route))
}

func (p *simulation) choose(at time.Duration, route int) answer {
	if p.outcome.Last == verdict.Good {
		moved := float64(at-p.outcome.GoodAt) / (ramp * float64(p.of.Duration))
		version := 0
		if p.random.Float64() < moved {
			version = 1
		}
		return p.attempt(at, p.anyOf(version), route, true)
	}
	if l := p.inMoment(at); l != nil {
		p.spent++
		return p.attempt(at, l, route, true)
	}
	if p.sent+1 <= share*used*p.requests+p.random.Float64() {
		p.sent++
		return p.attempt(at, p.anyOf(1), route, false)
	}
	return p.attempt(at, p.anyOf(0), route, false)
}

func (p *simulation) anyOf(version int) *leaf {
	return &p.leafs[version][p.random.IntN(p.of.Leafs)]
}

// inMoment returns the leaf that gets all requests now from the slack, or nil.
func (p *simulation) inMoment(at time.Duration) *leaf {
	fraction := (float64(at)/float64(p.of.Duration) - slackFrom) / (slackTo - slackFrom)
	if fraction < 0 || fraction >= 1 {
		return nil
	}
	moment := math.Floor(fraction * moments)
	if p.spent >= slack*used*(moment+1)/moments {
		return nil
	}
	return &p.leafs[1][int(moment)%p.of.Leafs]
}

// deliver counts the answers up to a time.
func (p *simulation) deliver(until time.Duration) {
	left := p.pending[:0]
	for _, a := range p.pending {
		if a.at > until {
			left = append(left, a)
			continue
		}
		p.count(a)
	}
	p.pending = left
}

func (p *simulation) count(a answer) {
	key := evidence.Key{Service: "s", SpecID: 1, Route: fmt.Sprint("/", a.route), Version: Serving, Leaf: a.leaf.id, Zone: fmt.Sprint("z", a.leaf.zone)}
	if a.leaf.isCanary {
		key.Version = Canary
		p.outcome.Answers++
		if a.isBad {
			p.outcome.BadAnswers++
		}
	}
	if p.tallies[key] == nil {
		p.tallies[key] = &evidence.Tally{}
		p.order = append(p.order, key)
	}
	if a.isAbandoned {
		p.tallies[key].ObserveAbandoned(a.took)
		return
	}
	p.tallies[key].Observe(a.failed, a.took)
}

func (p *simulation) evaluate(at time.Duration, evaluator Evaluator) {
	rows := make([]evidence.Row, 0, len(p.order))
	for _, key := range p.order {
		rows = append(rows, evidence.Row{Key: key, Tally: *p.tallies[key]})
	}
	finding := evaluator.Update(at, rows)
	if finding == p.outcome.Last {
		return
	}
	p.outcome.Last = finding
	switch finding {
	case verdict.Good:
		p.outcome.GoodAt = at
	case verdict.Bad:
		p.outcome.BadAt = at
		p.outcome.SpentInSwitch = p.outcome.GoodAt > 0
	}
}
