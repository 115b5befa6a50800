package quarantine

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each simulation is an hour in which a random set of leafs crashes each minute, for reasons unrelated to requests.
const (
	simulations      = 1000
	crashBursts      = 60
	burstInterval    = time.Minute
	restartTime      = 3 * time.Second
	burstSpread      = 400 * time.Millisecond
	requestInterval  = 50 * time.Millisecond // of one caller, for the same path
	minServiceTime   = 5 * time.Millisecond
	serviceTimeRange = 10 * time.Millisecond
)

// crashTimes maps each crashing leaf to the time of its crash.
type crashTimes map[string]time.Time

// randomCrashes makes a random fraction of the leafs crash, up to all.
func randomCrashes(random *rand.Rand, began time.Time, shards int) crashTimes {
	times := crashTimes{}
	crashFraction := random.Float64()
	for shard := range shards {
		for replica := range 2 {
			if random.Float64() < crashFraction {
				times[leafName(shard, replica)] = began.Add(time.Duration(random.Int64N(int64(burstSpread))))
			}
		}
	}
	return times
}

func leafName(shard, replica int) string { return strconv.Itoa(shard) + "-" + strconv.Itoa(replica) }

// outcomeAt returns the outcome of an attempt at a leaf: the time at which it ends, and whether the leaf crashed under
// it or was no longer listening.
func (c crashTimes) outcomeAt(random *rand.Rand, leaf string, at time.Time) (endsAt time.Time, didCrash, stoppedListening bool) {
	endsAt = at.Add(minServiceTime + time.Duration(random.Int64N(int64(serviceTimeRange))))
	crashedAt, crashes := c[leaf]
	switch {
	case !crashes || crashedAt.After(endsAt) || at.After(crashedAt.Add(restartTime)):
		return endsAt, false, false
	case !crashedAt.After(at):
		return at, false, true
	}
	return crashedAt, true, false
}

// attempt is an attempt at a leaf.
type attempt struct {
	endsAt           time.Time
	leaf             string
	didCrash         bool
	stoppedListening bool
	probe            int // number of the probe, 0 for an attempt of the initial fan-out
}

// simulatedExecution is one execution of a request: an attempt at a leaf of each shard and, if leafs crashed and none
// has answered, sequential probes of the other leafs until one of them crashes. A suspect begins with a probe.
type simulatedExecution struct {
	random       *rand.Rand
	crashing     crashTimes
	pending      []attempt
	probeTargets []string // leafs that have not received an attempt, of shards without an answer
	probes       int
}

func (e *simulatedExecution) send(leaf string, at time.Time, probe int) {
	endsAt, didCrash, stoppedListening := e.crashing.outcomeAt(e.random, leaf, at)
	e.pending = append(e.pending, attempt{endsAt: endsAt, leaf: leaf, didCrash: didCrash, stoppedListening: stoppedListening, probe: probe})
}

// next removes and returns the attempt that ends first.
func (e *simulatedExecution) next() attempt {
	first := 0
	for index := range e.pending {
		if e.pending[index].endsAt.Before(e.pending[first].endsAt) {
			first = index
		}
	}
	taken := e.pending[first]
	e.pending = slices.Delete(e.pending, first, first+1)
	return taken
}

// isProbing reports whether a probe is in flight.
func (e *simulatedExecution) isProbing() bool {
	return slices.ContainsFunc(e.pending, func(one attempt) bool { return one.probe > 0 })
}

// probe sends a probe to the next target, unless one is in flight.
func (e *simulatedExecution) probe(at time.Time) {
	if e.isProbing() || len(e.probeTargets) == 0 {
		return
	}
	leaf := e.probeTargets[0]
	e.probeTargets = e.probeTargets[1:]
	e.probes++
	e.send(leaf, at, e.probes)
}

// simulateExecution simulates one execution and reports whether a leaf crashed under it.
func simulateExecution(f *registerFixture, random *rand.Rand, crashing crashTimes, at time.Time, shards int) (anyCrashed bool) {
	f.at = at
	execution := f.Begin(subject("busy"), func() {})
	defer execution.End()
	simulated := simulatedExecution{random: random, crashing: crashing}
	for shard := range shards {
		replica := random.IntN(2)
		switch execution.State() {
		case Clear:
			simulated.send(leafName(shard, replica), at, 0)
		case Suspect:
			simulated.probeTargets = append(simulated.probeTargets, leafName(shard, replica), leafName(shard, 1-replica))
		case Quarantined:
			return false
		}
	}
	simulated.probe(at)
	for len(simulated.pending) > 0 {
		ended := simulated.next()
		f.at = ended.endsAt
		switch {
		case ended.didCrash:
			anyCrashed = true
			execution.LeafCrashed(ended.leaf, ended.probe)
			if execution.IsStopped() || ended.probe > 0 {
				return anyCrashed
			}
		case ended.stoppedListening:
			execution.LeafNotListening(ended.leaf)
		default:
			execution.Answered()
			return anyCrashed // crashes after an answer don't count
		}
		if ended.probe == 0 {
			simulated.probeTargets = append(simulated.probeTargets, otherLeaf(ended.leaf))
		}
		simulated.probe(ended.endsAt)
	}
	return anyCrashed
}

// otherLeaf returns the other leaf of a leaf's shard.
func otherLeaf(leaf string) string {
	last := len(leaf) - 1
	return leaf[:last] + string('0'+'1'-leaf[last])
}

// A path that one caller requests continuously is not put under quarantine by unrelated crashes of its leafs, whether
// it is sent to one shard or gathered from many. This guards the rule of EpisodesIfOthersNotListening.
func TestUnrelatedCrashesDoNotQuarantineBusyPath(t *testing.T) {
	cases := map[string]struct{ shards, quarantined int }{"gathered": {20, 1}, "single": {1, 0}}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			shards := test.shards
			is := is.New(t)
			random := rand.New(rand.NewPCG(20, 26))
			executions, crashed, quarantined := 0, 0, 0
			for range simulations {
				f := newRegisterFixture()
				for number := range crashBursts {
					began := time.Unix(1000, 0).Add(time.Duration(number) * burstInterval)
					crashing := randomCrashes(random, began, shards)
					for at := began.Add(-serviceTimeRange); at.Before(began.Add(burstSpread)); at = at.Add(requestInterval) {
						executions++
						if simulateExecution(f, random, crashing, at.Add(time.Duration(random.Int64N(int64(requestInterval)))), shards) {
							crashed++
						}
					}
				}
				if len(f.quarantined) > 0 {
					quarantined++
				}
			}
			t.Logf("%d executions while leafs crashed, %d with a crash under them, %d of %d simulations quarantined the path", executions, crashed, quarantined, simulations)
			is.True(crashed > simulations)
			is.True(quarantined <= test.quarantined)
		})
	}
}
