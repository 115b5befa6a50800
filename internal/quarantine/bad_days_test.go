package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A bad day is an hour in which a group of leafs crashes for its own reasons each minute, within a short time.
const (
	badDays         = 1000
	herds           = 60
	herdGap         = time.Minute
	leafBack        = 3 * time.Second
	herdSpread      = 400 * time.Millisecond
	requestInterval = 50 * time.Millisecond // by one caller, for the same path
	minWork         = 5 * time.Millisecond
	workRange       = 10 * time.Millisecond
)

// crashes is when each replica of each shard crashes; those that don't have no time.
type crashes map[string]time.Time

// randomCrashes makes a random part of the leafs crash, up to all.
func randomCrashes(random *rand.Rand, began time.Time, shards int) crashes {
	times := crashes{}
	crashShare := random.Float64()
	for shard := range shards {
		for replica := range 2 {
			if random.Float64() < crashShare {
				times[leafName(shard, replica)] = began.Add(time.Duration(random.Int64N(int64(herdSpread))))
			}
		}
	}
	return times
}

func leafName(shard, replica int) string { return strconv.Itoa(shard) + "-" + strconv.Itoa(replica) }

// outcomeAt returns the outcome of an attempt at a leaf: when it is over, and whether the leaf crashed under it or was gone
// before.
func (h crashes) outcomeAt(random *rand.Rand, leaf string, at time.Time) (over time.Time, didCrash, wasGone bool) {
	over = at.Add(minWork + time.Duration(random.Int64N(int64(workRange))))
	crashed, crashes := h[leaf]
	switch {
	case !crashes || crashed.After(over) || at.After(crashed.Add(leafBack)):
		return over, false, false
	case !crashed.After(at):
		return at, false, true
	}
	return crashed, true, false
}

// attempt is an attempt at a leaf.
type attempt struct {
	over     time.Time
	leaf     string
	didCrash bool
	wasGone  bool
	probe    int // 0 for those that were sent together
}

// simulatedExecution is one execution of a request, as the nodes carry it out: an attempt at a leaf of each shard, and, if leafs
// crashed and none has answered, one probe after the other at the other leafs until one of those crashes. A suspect
// begins with a probe.
type simulatedExecution struct {
	random   *rand.Rand
	crashing crashes
	pending  []attempt
	lost     []string // the other leafs of shards that were asked in vain
	probes   int
}

func (p *simulatedExecution) send(leaf string, at time.Time, probe int) {
	over, didCrash, wasGone := p.crashing.outcomeAt(p.random, leaf, at)
	p.pending = append(p.pending, attempt{over: over, leaf: leaf, didCrash: didCrash, wasGone: wasGone, probe: probe})
}

// next returns the attempt that is over first.
func (p *simulatedExecution) next() attempt {
	first := 0
	for index := range p.pending {
		if p.pending[index].over.Before(p.pending[first].over) {
			first = index
		}
	}
	taken := p.pending[first]
	p.pending = slices.Delete(p.pending, first, first+1)
	return taken
}

// isProbing reports whether a probe is in flight.
func (p *simulatedExecution) isProbing() bool {
	return slices.ContainsFunc(p.pending, func(one attempt) bool { return one.probe > 0 })
}

// probe sends a probe to the first remaining leaf.
func (p *simulatedExecution) probe(at time.Time) {
	if p.isProbing() || len(p.lost) == 0 {
		return
	}
	leaf := p.lost[0]
	p.lost = p.lost[1:]
	p.probes++
	p.send(leaf, at, p.probes)
}

// simulateExecution plays one execution and reports whether a leaf crashed under it.
func simulateExecution(f *fleet, random *rand.Rand, crashing crashes, at time.Time, shards int) (hit bool) {
	f.at = at
	execution := f.Begin(subject("busy"), func() {})
	defer execution.End()
	p := simulatedExecution{random: random, crashing: crashing}
	for shard := range shards {
		replica := random.IntN(2)
		switch execution.State() {
		case Clear:
			p.send(leafName(shard, replica), at, 0)
		case Suspect:
			p.lost = append(p.lost, leafName(shard, replica), leafName(shard, 1-replica))
		case Quarantined:
			return false
		}
	}
	p.probe(at)
	for len(p.pending) > 0 {
		over := p.next()
		f.at = over.over
		switch {
		case over.didCrash:
			hit = true
			execution.LeafCrashed(over.leaf, over.probe)
			if execution.IsStopped() || over.probe > 0 {
				return hit
			}
		case over.wasGone:
			execution.LeafGone(over.leaf)
		default:
			execution.Answered()
			return hit // nothing counts after an answer
		}
		if over.probe == 0 {
			p.lost = append(p.lost, otherLeaf(over.leaf))
		}
		p.probe(over.over)
	}
	return hit
}

// otherLeaf returns the other leaf of a leaf's shard.
func otherLeaf(leaf string) string {
	last := len(leaf) - 1
	return leaf[:last] + string('0'+'1'-leaf[last])
}

// A path that one caller requests all day is not put under quarantine by bad days of its leafs, whether it goes to
// one leaf or to many shards. If two episodes were enough whatever else is gone, it often would be.
func TestBusyPathIsNotCondemnedByBadDays(t *testing.T) {
	cases := map[string]struct{ shards, condemned int }{"gathered": {20, 1}, "single": {1, 0}}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			shards := one.shards
			is := is.New(t)
			random := rand.New(rand.NewPCG(20, 26))
			tries, hits, condemned := 0, 0, 0
			for range badDays {
				f := newFleet()
				for number := range herds {
					began := time.Unix(1000, 0).Add(time.Duration(number) * herdGap)
					crashing := randomCrashes(random, began, shards)
					for at := began.Add(-workRange); at.Before(began.Add(herdSpread)); at = at.Add(requestInterval) {
						tries++
						if simulateExecution(f, random, crashing, at.Add(time.Duration(random.Int64N(int64(requestInterval)))), shards) {
							hits++
						}
					}
				}
				if len(f.quarantined) > 0 {
					condemned++
				}
			}
			t.Logf("%d executions while leafs crashed, %d with a crash under them, %d of %d days condemned the path", tries, hits, condemned, badDays)
			is.True(hits > badDays)
			is.True(condemned <= one.condemned)
		})
	}
}
