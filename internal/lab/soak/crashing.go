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

// crashingMark is part of the paths of crashing requests: each crashes every leaf that runs it.
const crashingMark = "fatal-"

// Times and bounds of crashing requests.
const (
	crashingGap        = 4 * time.Second // between two of them, on average
	crashingSpan       = 5 * time.Second // shortest time for which one is repeated; at most twice as long
	crashingPause      = 50 * time.Millisecond
	crashingPauseRange = 450 * time.Millisecond // random part of the pause between two repetitions
	longestCrashDelay  = 15 * time.Millisecond  // until a leaf crashes
	leafRestartDelay   = 700 * time.Millisecond
	recordExpiry       = 3 * time.Second // after its crash a leaf's record expires
	crashingBound      = 4 * time.Second // after the third crash all nodes without a fault know the request
	mostLateCrashes    = 3               // that may reach leafs after that
	crashesBeforeBound = 3
)

// crashRecord has the times at which leafs received a crashing request and crashed.
type crashRecord struct {
	requestTimes []time.Time
	ends         []time.Time
}

// crashLog has the crashing requests that leafs received; safe for concurrent use. The zero value is empty.
type crashLog struct {
	mu   sync.Mutex
	seen map[string]*crashRecord // by path
}

// of returns the record of a path. The caller must hold the lock.
func (f *crashLog) of(path string) *crashRecord {
	if f.seen == nil {
		f.seen = map[string]*crashRecord{}
	}
	if f.seen[path] == nil {
		f.seen[path] = &crashRecord{}
	}
	return f.seen[path]
}

func (f *crashLog) recordRequest(path string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.of(path)
	known.requestTimes = append(known.requestTimes, at)
}

func (f *crashLog) ended(path string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.of(path)
	known.ends = append(known.ends, at)
}

// isCrashing reports whether a request crashes the leaf that runs it.
func isCrashing(target string) bool { return strings.Contains(target, crashingMark) }

// answerByCrashing crashes a leaf soon, instead of answering the request. A leaf of another id replaces it.
func (w *environment) answerByCrashing(id string, request httpleaf.Request) httpleaf.Answer {
	path, _, _ := strings.Cut(request.Target, "?")
	w.crashLog.recordRequest(path, request.At)
	work := time.Duration(rand.Int64N(int64(longestCrashDelay)))
	time.AfterFunc(work, func() { w.crashLeaf(id, path) })
	return httpleaf.Answer{Silent: true} // until it crashes
}

// crashLeaf ends a leaf with all of its connections at once, as if its process had crashed; nothing listens at its address
// any more.
func (w *environment) crashLeaf(id, path string) {
	w.mu.Lock()
	state := w.leafs[id]
	wasEnded := state.hasCrashed
	state.hasCrashed = true
	if !wasEnded {
		state.faultSpans = append(state.faultSpans, faultSpan{from: time.Now(), until: time.Now().Add(recoverySlack)})
	}
	w.mu.Unlock()
	if wasEnded {
		return
	}
	w.crashLog.ended(path, time.Now())
	state.link.Close()
	state.leaf.Stop()
	time.AfterFunc(leafRestartDelay, func() { w.replaceCrashed(state) })
	time.AfterFunc(recordExpiry, func() { w.unregister(id) })
}

// replaceCrashed starts a leaf in place of one that crashed, unless its version was removed meanwhile.
func (w *environment) replaceCrashed(ended *leafState) {
	w.operating.Lock()
	defer w.operating.Unlock()
	w.mu.Lock()
	isWanted := ended.leavingAt.IsZero() && !w.isClosed
	w.mu.Unlock()
	if !isWanted {
		return
	}
	if _, err := w.addLeafOf(ended.version); err != nil {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.failures = append(w.failures, err)
	}
}

// failed returns the errors of leafs that could not be replaced.
func (w *environment) failed() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.failures...)
}

// crasher repeats crashing requests at random nodes.
type crasher struct {
	load   *load
	random *rand.Rand
	log    func(string)
}

// run draws one crashing request after the other until the context ends; some of them overlap.
func (f *crasher) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	kinds := []Kind{Gathered, Gathered, Single, Once}
	for number := 0; ctx.Err() == nil; number++ {
		kind := kinds[f.random.IntN(len(kinds))]
		span := crashingSpan + time.Duration(f.random.Int64N(int64(crashingSpan)))
		tries := rand.New(rand.NewPCG(f.random.Uint64(), uint64(number)))
		name := fmt.Sprint(crashingMark, number)
		f.log(fmt.Sprintf("request %s%s crashes leafs for %v", kind, name, span.Round(time.Millisecond)))
		running.Go(func() { f.repeat(ctx, kind, name, span, tries) })
		wait.For(ctx, time.Duration(f.random.Int64N(int64(2*crashingGap))))
	}
}

// repeat sends one request again and again for a while, sometimes to two nodes at once.
func (f *crasher) repeat(ctx context.Context, kind Kind, name string, span time.Duration, random *rand.Rand) {
	var trying sync.WaitGroup
	defer trying.Wait()
	nodes := f.load.environment.nodes
	for end, number := time.Now().Add(span), 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		for range 1 + random.IntN(2) {
			node := nodes[random.IntN(len(nodes))]
			id := fmt.Sprintf("%s-try-%d-%d", name, number, random.Uint32())
			path := fmt.Sprintf("%s?page=%d", name, number)
			trying.Go(func() {
				seen := f.load.sendTo(id, path, kind, node)
				seen.isCrashing = true
				f.load.add(seen)
			})
		}
		wait.For(ctx, crashingPause+time.Duration(random.Int64N(int64(crashingPauseRange))))
	}
}

// checkCrashing checks that a request that crashed three leafs reaches few more of them once all nodes must know it.
func checkCrashing(w *environment) Result {
	v := Result{Promise: "a request that crashed three leafs reaches few more of them after its bound"}
	w.crashLog.mu.Lock()
	defer w.crashLog.mu.Unlock()
	for path, seen := range w.crashLog.seen {
		ends := slices.SortedFunc(slices.Values(seen.ends), time.Time.Compare)
		if len(ends) < crashesBeforeBound {
			continue
		}
		due := ends[crashesBeforeBound-1].Add(crashingBound)
		late := 0
		for _, at := range seen.requestTimes {
			if at.After(due) && w.isCalmAt(at) {
				late++
			}
		}
		v.check(late <= mostLateCrashes, "%s reached leafs %d times more than %v after it crashed the third; it crashed %d", path, late, crashingBound, len(ends))
	}
	return v
}

// checkOtherRequests checks that no other request is refused as a crashing one.
func checkOtherRequests(seen []outcome) Result {
	v := Result{Promise: "no other request is refused as one that crashes leafs"}
	for _, o := range seen {
		if o.isCrashing || o.status == 0 || o.status == http.StatusOK {
			continue
		}
		v.check(!strings.Contains(string(o.body), `"QUARANTINED"`), "%s at %s: %s", o.id, o.node.name, o.body)
	}
	return v
}
