package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/wait"
)

// crashingPathMarker is part of the path of each crashing request, which crashes every leaf that runs it.
const crashingPathMarker = "fatal-"

// Intervals and bounds of crashing requests.
const (
	meanCrashingInterval   = 4 * time.Second
	minCrashingSpan        = 5 * time.Second // minimum time for which a crashing request is repeated; the maximum is twice as long
	minRepeatPause         = 50 * time.Millisecond
	repeatPauseRange       = 450 * time.Millisecond // random part of the pause before a repetition
	maxCrashDelay          = 15 * time.Millisecond  // from the request until the leaf crashes
	leafRestartDelay       = 700 * time.Millisecond
	leafRecordTTL          = 3 * time.Second // time from a leaf's crash until its record expires
	quarantineBound        = 4 * time.Second // time from the third crash until all nodes without a fault have quarantined the request
	maxLateRequests        = 3               // maximum number of requests that reach leafs after quarantineBound
	crashesUntilQuarantine = 3
)

// crashRecord stores the times at which leafs received a crashing request and the times at which they crashed.
type crashRecord struct {
	requestTimes []time.Time
	crashTimes   []time.Time
}

// crashLog records the crashing requests that leafs received. It is safe for concurrent use. The zero value is empty.
type crashLog struct {
	mu   sync.Mutex
	seen map[string]*crashRecord // by path
}

// recordOf returns the record of a path, which it creates if there is none. l.mu must be held.
func (l *crashLog) recordOf(path string) *crashRecord {
	if l.seen == nil {
		l.seen = map[string]*crashRecord{}
	}
	if l.seen[path] == nil {
		l.seen[path] = &crashRecord{}
	}
	return l.seen[path]
}

func (l *crashLog) recordRequest(path string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.recordOf(path)
	record.requestTimes = append(record.requestTimes, at)
}

func (l *crashLog) recordCrash(path string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	record := l.recordOf(path)
	record.crashTimes = append(record.crashTimes, at)
}

// isCrashing reports whether a request crashes the leaf that runs it.
func isCrashing(target string) bool { return strings.Contains(target, crashingPathMarker) }

// answerByCrashing crashes the leaf after a short random delay instead of answering the request. A leaf with another ID
// replaces it.
func (e *environment) answerByCrashing(id string, request httpleaf.Request) httpleaf.Answer {
	path, _, _ := strings.Cut(request.Target, "?")
	e.crashLog.recordRequest(path, request.At)
	work := time.Duration(rand.Int64N(int64(maxCrashDelay)))
	time.AfterFunc(work, func() { e.crashLeaf(id, path) })
	return httpleaf.Answer{Silent: true} // until it crashes
}

// crashLeaf stops a leaf and resets its connections, as if its process had crashed. Its address refuses connections
// afterwards.
func (e *environment) crashLeaf(id, path string) {
	e.mu.Lock()
	state := e.leafs[id]
	wasCrashed := state.hasCrashed
	state.hasCrashed = true
	if !wasCrashed {
		state.faultSpans = append(state.faultSpans, faultSpan{from: time.Now(), until: time.Now().Add(recoverySlack)})
	}
	e.mu.Unlock()
	if wasCrashed {
		return
	}
	e.crashLog.recordCrash(path, time.Now())
	state.link.Close()
	state.leaf.Stop()
	time.AfterFunc(leafRestartDelay, func() { e.replaceCrashed(state) })
	time.AfterFunc(leafRecordTTL, func() { e.unregister(id) })
}

// replaceCrashed starts a leaf in place of a crashed one, unless that one was leaving or the environment is closed.
func (e *environment) replaceCrashed(crashed *leafState) {
	e.replacementMu.Lock()
	defer e.replacementMu.Unlock()
	e.mu.Lock()
	isWanted := crashed.leavingAt.IsZero() && !e.isClosed
	e.mu.Unlock()
	if !isWanted {
		return
	}
	if _, err := e.addLeafWithVersion(crashed.version); err != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.replacementErrs = append(e.replacementErrs, err)
	}
}

// replacementErrors returns the errors of starting leafs in place of crashed ones.
func (e *environment) replacementErrors() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return errors.Join(e.replacementErrs...)
}

// crasher sends crashing requests repeatedly to random nodes.
type crasher struct {
	load   *load
	random *rand.Rand
	log    func(string)
}

// run starts random crashing requests one after the other until the context is done. Their repetitions may overlap.
func (c *crasher) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	kinds := []Kind{Gathered, Gathered, Single, AtMostOnce}
	for number := 0; ctx.Err() == nil; number++ {
		kind := kinds[c.random.IntN(len(kinds))]
		span := minCrashingSpan + time.Duration(c.random.Int64N(int64(minCrashingSpan)))
		repeatRandom := rand.New(rand.NewPCG(c.random.Uint64(), uint64(number)))
		name := fmt.Sprint(crashingPathMarker, number)
		c.log(fmt.Sprintf("request %s%s crashes leafs for %v", kind, name, span.Round(time.Millisecond)))
		running.Go(func() { c.repeat(ctx, kind, name, span, repeatRandom) })
		wait.For(ctx, time.Duration(c.random.Int64N(int64(2*meanCrashingInterval))))
	}
}

// repeat sends a request repeatedly for the given span, each time to one or two random nodes.
func (c *crasher) repeat(ctx context.Context, kind Kind, name string, span time.Duration, random *rand.Rand) {
	var sending sync.WaitGroup
	defer sending.Wait()
	nodes := c.load.environment.nodes
	for end, number := time.Now().Add(span), 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		for range 1 + random.IntN(2) {
			node := nodes[random.IntN(len(nodes))]
			id := fmt.Sprintf("%s-try-%d-%d", name, number, random.Uint32())
			path := fmt.Sprintf("%s?page=%d", name, number)
			sending.Go(func() {
				seen := c.load.sendTo(id, path, kind, node)
				seen.isCrashing = true
				c.load.add(seen)
			})
		}
		wait.For(ctx, minRepeatPause+time.Duration(random.Int64N(int64(repeatPauseRange))))
	}
}

// checkCrashing checks that few requests that crashed three leafs reach leafs once all nodes must have quarantined them.
func checkCrashing(e *environment) Result {
	result := Result{Guarantee: "a request that crashed three leafs reaches few leafs after its bound"}
	e.crashLog.mu.Lock()
	defer e.crashLog.mu.Unlock()
	for path, seen := range e.crashLog.seen {
		crashTimes := slices.SortedFunc(slices.Values(seen.crashTimes), time.Time.Compare)
		if len(crashTimes) < crashesUntilQuarantine {
			continue
		}
		due := crashTimes[crashesUntilQuarantine-1].Add(quarantineBound)
		late := 0
		for _, at := range seen.requestTimes {
			if at.After(due) && e.isFaultFreeAt(at) {
				late++
			}
		}
		result.check(late <= maxLateRequests, "%s reached leafs %d times more than %v after the third crash; it crashed %d leafs", path, late, quarantineBound, len(crashTimes))
	}
	return result
}

// checkOtherRequests checks that only crashing requests are refused as quarantined.
func checkOtherRequests(seen []outcome) Result {
	result := Result{Guarantee: "no request is quarantined that crashes no leafs"}
	for _, o := range seen {
		if o.isCrashing || o.status == 0 || o.status == http.StatusOK {
			continue
		}
		result.check(!strings.Contains(string(o.body), `"QUARANTINED"`), "%s at %s was refused as quarantined: %s", o.id, o.node.name, o.body)
	}
	return result
}
