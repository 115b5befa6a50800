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

// fatalMark is in the paths of requests that end each leaf which runs them.
const fatalMark = "fatal-"

// Times and bounds of requests that end leafs.
const (
	fatalGap      = 4 * time.Second // between two of them, on average
	fatalSpan     = 5 * time.Second // for which one comes again and again, and as long again at most
	fatalPause    = 50 * time.Millisecond
	fatalRange    = 450 * time.Millisecond // between two tries, besides
	fatalWork     = 15 * time.Millisecond  // of a leaf until it ends, at most
	leafBack      = 700 * time.Millisecond
	recordLapse   = 3 * time.Second // after its end a leaf's record goes
	contactBound  = 4 * time.Second // after the third end all nodes in touch know
	fatalRetries  = 3               // that may reach leafs after that
	fatalEndsFrom = 3
)

// fatalSeen is what leafs saw of one request that ends them.
type fatalSeen struct {
	asked []time.Time
	ends  []time.Time
}

// fatals knows the requests that end leafs; safe for concurrent use. The zero value is empty.
type fatals struct {
	mu   sync.Mutex
	seen map[string]*fatalSeen // by path
}

// of gives what was seen of a path. The lock must be held.
func (f *fatals) of(path string) *fatalSeen {
	if f.seen == nil {
		f.seen = map[string]*fatalSeen{}
	}
	if f.seen[path] == nil {
		f.seen[path] = &fatalSeen{}
	}
	return f.seen[path]
}

func (f *fatals) asked(path string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.of(path)
	known.asked = append(known.asked, at)
}

func (f *fatals) ended(path string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.of(path)
	known.ends = append(known.ends, at)
}

// isFatal reports whether a request ends the leaf that runs it.
func isFatal(target string) bool { return strings.Contains(target, fatalMark) }

// runFatal has a leaf end by a request, and come back under another id.
func (w *world) runFatal(id string, asked httpleaf.Request) httpleaf.Answer {
	path, _, _ := strings.Cut(asked.Target, "?")
	w.fatals.asked(path, asked.At)
	work := time.Duration(rand.Int64N(int64(fatalWork)))
	time.AfterFunc(work, func() { w.endLeaf(id, path) })
	return httpleaf.Answer{Silent: true} // until it ends
}

// endLeaf ends a leaf as its process would, with all of its connections, at once; nothing listens at its address then.
func (w *world) endLeaf(id, path string) {
	w.mu.Lock()
	state := w.leafs[id]
	wasEnded := state.hasEnded
	state.hasEnded = true
	if !wasEnded {
		state.troubles = append(state.troubles, trouble{from: time.Now(), until: time.Now().Add(touchSlack)})
	}
	w.mu.Unlock()
	if wasEnded {
		return
	}
	w.fatals.ended(path, time.Now())
	state.link.Close()
	state.leaf.Stop()
	time.AfterFunc(leafBack, func() { w.replaceEnded(state) })
	time.AfterFunc(recordLapse, func() { w.unregister(id) })
}

// replaceEnded starts a leaf in place of one that ended, unless its version is over.
func (w *world) replaceEnded(ended *leafState) {
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

// failed gives what went wrong with leafs that were to come back.
func (w *world) failed() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return errors.Join(w.failures...)
}

// fataler has requests that end leafs come again and again, at all nodes, beside whatever else happens.
type fataler struct {
	load   *load
	random *rand.Rand
	tell   func(string)
}

// run draws one such request after the other until the context ends; some of them overlap.
func (f *fataler) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	kinds := []Kind{Gathered, Gathered, Single, Once}
	for number := 0; ctx.Err() == nil; number++ {
		kind := kinds[f.random.IntN(len(kinds))]
		span := fatalSpan + time.Duration(f.random.Int64N(int64(fatalSpan)))
		tries := rand.New(rand.NewPCG(f.random.Uint64(), uint64(number)))
		name := fmt.Sprint(fatalMark, number)
		f.tell(fmt.Sprintf("request %s%s ends leafs for %v", kind, name, span.Round(time.Millisecond)))
		running.Go(func() { f.tryAgain(ctx, kind, name, span, tries) })
		wait.For(ctx, time.Duration(f.random.Int64N(int64(2*fatalGap))))
	}
}

// tryAgain has one request come again for a while, now and then at several nodes at once.
func (f *fataler) tryAgain(ctx context.Context, kind Kind, name string, span time.Duration, random *rand.Rand) {
	var trying sync.WaitGroup
	defer trying.Wait()
	nodes := f.load.world.nodes
	for end, number := time.Now().Add(span), 0; time.Now().Before(end) && ctx.Err() == nil; number++ {
		for range 1 + random.IntN(2) {
			node := nodes[random.IntN(len(nodes))]
			id := fmt.Sprintf("%s-try-%d-%d", name, number, random.Uint32())
			path := fmt.Sprintf("%s?page=%d", name, number)
			trying.Go(func() {
				seen := f.load.sendTo(id, path, kind, node)
				seen.isFatal = true
				f.load.add(seen)
			})
		}
		wait.For(ctx, fatalPause+time.Duration(random.Int64N(int64(fatalRange))))
	}
}

// judgeFatals checks that a request that ended three leafs reaches few more of them once all nodes must know.
func judgeFatals(w *world) Verdict {
	v := Verdict{Promise: "a request that ended three leafs reaches few more of them after its bound"}
	w.fatals.mu.Lock()
	defer w.fatals.mu.Unlock()
	for path, seen := range w.fatals.seen {
		ends := slices.SortedFunc(slices.Values(seen.ends), time.Time.Compare)
		if len(ends) < fatalEndsFrom {
			continue
		}
		due := ends[fatalEndsFrom-1].Add(contactBound)
		late := 0
		for _, at := range seen.asked {
			if at.After(due) && w.isCalmAt(at) {
				late++
			}
		}
		v.check(late <= fatalRetries, "%s reached leafs %d times more than %v after it ended the third; it ended %d", path, late, contactBound, len(ends))
	}
	return v
}

// judgeNeighbours checks that no other request is held for one that ends leafs.
func judgeNeighbours(seen []outcome) Verdict {
	v := Verdict{Promise: "no other request is refused for one that ends leafs"}
	for _, o := range seen {
		if o.isFatal || o.status == 0 || o.status == http.StatusOK {
			continue
		}
		v.check(!strings.Contains(string(o.body), `"QUARANTINED"`), "%s at %s: %s", o.id, o.node.name, o.body)
	}
	return v
}
