package gateway

// A crashing request came to a node, went to one leaf of each shard, then to the other leaf of each shard, and failed; its
// caller sent it again to another node, which knew nothing of it. So it took all leafs of the gathered routes away from
// all other requests, again each time that they had restarted.

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// crashAfter is how long a leaf runs a crashing request until it crashes.
const crashAfter = 5 * time.Millisecond

// noListener ignores what the register finds.
type noListener struct{}

func (noListener) Suspected(quarantine.Subject)       {}
func (noListener) EvidenceDropped(quarantine.Subject) {}
func (noListener) Quarantined(quarantine.Record)      {}
func (noListener) RetestDue(quarantine.Record)        {}
func (noListener) RetestAnswered(quarantine.Record)   {}

func newRegister() *quarantine.Register {
	register := quarantine.NewRegister(quarantine.Deps{
		Config: quarantine.DefaultConfig(), Self: "n", StoredRecord: func(fingerprint.Fingerprint) *quarantine.Record { return nil },
	})
	register.SetListener(noListener{})
	return register
}

// crashingLeafs crash when they run a request, and are found gone when their process is checked.
type crashingLeafs struct {
	scriptedLeafs
	mu    sync.Mutex
	ended map[string]bool
	// survives reports whether a leaf answers instead.
	survives func(leaf string) bool
}

func newCrashingLeafs() *crashingLeafs {
	f := &crashingLeafs{ended: map[string]bool{}, survives: func(string) bool { return false }}
	f.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if f.survives(leaf) {
			return crashAfter, answered(200, records(leaf)), nil
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.ended[leaf] {
			return time.Millisecond, nil, &leafhttp.NeverSentError{Cause: syscall.ECONNREFUSED}
		}
		f.ended[leaf] = true
		return crashAfter, nil, &leafhttp.BrokenAnswerError{Cause: errors.New("reset")}
	}
	return f
}

func (f *crashingLeafs) Check(target leafhttp.Target, _ bool, tell leafhttp.OnChecked) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ended := f.ended[target.LeafID]
	time.AfterFunc(time.Millisecond, func() { tell(ended) })
}

// count returns how many leafs have crashed.
func (f *crashingLeafs) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.ended)
}

// newGuardedGateway returns a gateway with a quarantine register.
func newGuardedGateway(t *testing.T, leafs LeafCaller, register *quarantine.Register) *Gateway {
	g, _ := newGateway(t, leafs)
	g.quarantine = register
	return g
}

// A crashing gathered request costs one leaf of each shard and one more. When it is sent again it is refused at once.
func TestGatheredRequestThatEndsLeafs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		g := newGuardedGateway(t, leafs, newRegister())
		began := time.Now()
		_, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		is.Equal(failure.From(err).Execution, failure.Unknown) // it ran
		is.Equal(failure.From(err).RetryAfter, time.Duration(0))
		is.Equal(leafs.count(), shardCount+1)
		is.True(time.Since(began) <= 2*crashAfter+2*time.Millisecond)
		began = time.Now()
		_, err = g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		is.Equal(failure.From(err).Execution, failure.NotRun)
		is.True(failure.From(err).RetryAfter > time.Minute)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(leafs.count(), shardCount+1)
		synctest.Wait()
	})
}

// A crashing single request that is sent again and again costs three leafs, whether it may run more than once or not.
func TestSingleRequestThatEndsLeafs(t *testing.T) {
	for _, path := range []string{"/single/1", "/once/1"} {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := newCrashingLeafs()
				register := newRegister()
				// Leafs that crashed come back with another id: each time the request finds two new ones.
				for number := range 5 {
					g := newGuardedGateway(t, leafs, register)
					for index, id := range []string{"a", "b"} {
						name := id + strings.Repeat("'", number)
						put(t, g.catalog, catalog.LeafKey("s0"+[]string{"a", "b"}[index]), nil)
						put(t, g.catalog, catalog.LeafKey(name), leafset.Record{Name: name, Service: "s0", Address: "127.0.0.1:1", State: leafset.Ready})
					}
					_, err := g.Serve(t.Context(), newRequest(path))
					is.True(err != nil)
					synctest.Wait()
					time.Sleep(2 * time.Millisecond) // until the leaf was checked
				}
				is.Equal(leafs.count(), quarantine.DefaultConfig().CrashedLeafs)
			})
		})
	}
}

// Other requests are not affected, nor are those of another caller for the same path if callers identify themselves. The
// request of the same caller is recognised from any address and with any query, unless FingerprintQuery is set.
func TestOnlyThatRequestOfThatCallerIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		g := newGuardedGateway(t, leafs, newRegister())
		g.config.CallerHeader = "Desk"
		by := func(caller, path string) *Request {
			request := newRequest(path)
			request.Leaf.Header = http.Header{"Desk": {caller}}
			return request
		}
		_, err := g.Serve(t.Context(), by("one", "/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		leafs.survives = func(string) bool { return true }
		for _, request := range []*Request{by("two", "/pages/1"), by("one", "/pages/2"), by("one", "/single/1")} {
			_, err = g.Serve(t.Context(), request)
			is.NoErr(err)
		}
		again := by("one", "/pages/1")
		again.Leaf.Target, again.Caller = "/pages/1?page=2", "192.0.2.2"
		_, err = g.Serve(t.Context(), again)
		is.True(failure.Is(err, failure.Quarantined))
		g.config.FingerprintQuery = true
		_, err = g.Serve(t.Context(), again)
		is.NoErr(err)
	})
}

// During a quarantine alert, a new crashing request costs one leaf each time that it is sent, instead of one of each shard.
func TestTheNextRequestThatEndsLeafsCostsThree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		register := newRegister()
		register.AddRecord(quarantine.Record{Subject: quarantine.Subject{Content: DefaultConfig().fingerprintOf(newRequest("/pages/0"))}})
		g := newGuardedGateway(t, leafs, register)
		for count := 1; count <= quarantine.DefaultConfig().CrashedLeafs; count++ {
			_, err := g.Serve(t.Context(), newRequest("/pages/1"))
			is.True(err != nil)
			is.Equal(leafs.count(), count)
		}
		_, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		is.Equal(leafs.count(), quarantine.DefaultConfig().CrashedLeafs)

		leafs.survives = func(string) bool { return true }
		began := time.Now()
		answer, err := g.Serve(t.Context(), newRequest("/pages/2"))
		is.NoErr(err)
		is.Equal(answer.Missing, 0)
		is.Equal(time.Since(began), 2*crashAfter) // the other shards were asked after the first answer
		time.Sleep(quarantine.DefaultConfig().Alert)
		began = time.Now()
		_, err = g.Serve(t.Context(), newRequest("/pages/3"))
		is.NoErr(err)
		is.Equal(time.Since(began), crashAfter)
	})
}

// A first attempt at a slow leaf delays the others only for a short time.
func TestSlowFirstAttemptHoldsNothingUpForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if strings.HasPrefix(leaf, "s0") {
				return time.Hour, nil, nil
			}
			return crashAfter, answered(200, records(leaf)), nil
		}}
		register := newRegister()
		register.AddRecord(quarantine.Record{Subject: quarantine.Subject{Content: DefaultConfig().fingerprintOf(newRequest("/pages/0"))}})
		g := newGuardedGateway(t, slow, register)
		answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
	})
}

// A request that runs while leafs crash by another one is answered completely: missing parts are asked for again at once.
func TestNeighbourIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		leafs.survives = func(leaf string) bool { return !strings.HasPrefix(leaf, "s1") || strings.HasSuffix(leaf, "b") }
		register := newRegister()
		g := newGuardedGateway(t, leafs, register)
		for range 20 {
			answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
			is.NoErr(err)
			is.Equal(answer.Missing, 0)
			time.Sleep(2 * time.Millisecond)
		}
		is.Equal(register.State(DefaultConfig().fingerprintOf(newRequest("/pages/1"))), quarantine.Clear)
	})
}

// A leaf that stopped at its deadline has not run the request to its end: it does not clear the request.
func TestOnlyACompletedRunTakesEvidenceBack(t *testing.T) {
	for status, want := range map[int]quarantine.State{504: quarantine.Suspect, 500: quarantine.Clear, 200: quarantine.Clear} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := newCrashingLeafs()
				register := newRegister()
				g := newGuardedGateway(t, leafs, register)
				_, err := g.Serve(t.Context(), newRequest("/once/1"))
				is.True(err != nil)
				time.Sleep(2 * time.Millisecond)
				leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
					return crashAfter, answered(status, records(leaf)), nil
				}
				_, err = g.Serve(t.Context(), newRequest("/once/1"))
				is.NoErr(err) // the leaf's answer is passed on
				is.Equal(register.State(DefaultConfig().fingerprintOf(newRequest("/once/1"))), want)
			})
		})
	}
}

// The end of a leaf that had announced that it leaves is no evidence.
func TestAnnouncedEndIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		register := newRegister()
		g := newGuardedGateway(t, leafs, register)
		time.AfterFunc(crashAfter/2, func() {
			for _, id := range []string{"s0a", "s0b"} {
				put(t, g.catalog, catalog.LeafKey(id), leafset.Record{Name: id, Service: "s0", Address: "127.0.0.1:1", State: leafset.Draining})
			}
		})
		_, err := g.Serve(t.Context(), newRequest("/once/1"))
		is.True(err != nil)
		time.Sleep(2 * time.Millisecond)
		is.Equal(register.State(DefaultConfig().fingerprintOf(newRequest("/once/1"))), quarantine.Clear)
	})
}

// A connection that breaks before its first answer may have been refused: the check of the leaf's process decides.
func TestEndOnANewConnection(t *testing.T) {
	for name, ended := range map[string]bool{"ended": true, "refused": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := newCrashingLeafs()
				leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
					leafs.mu.Lock()
					defer leafs.mu.Unlock()
					leafs.ended[leaf] = ended
					return crashAfter, nil, &leafhttp.RefusedConnectionError{Cause: errors.New("reset")}
				}
				g := newGuardedGateway(t, leafs, newRegister())
				_, err := g.Serve(t.Context(), newRequest("/pages/1"))
				is.Equal(failure.Is(err, failure.Quarantined), ended)
				is.Equal(leafs.count() <= shardCount+1, ended) // refused attempts are retried
			})
		})
	}
}

// A group is not probed by its intermediate: over all nodes one leaf of each shard crashes, and one more.
func TestPartsThatEndLeafsAreProbedByTheRootAlone(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	ended := &crashedLeafSet{}
	for _, node := range b.nodes {
		node.gateway.quarantine = newRegister()
		node.gateway.leafs = &crashingTreeLeafs{treeLeafs: node.leafs, ended: ended}
		node.leafs.setAnswer(ended.run)
	}
	_, err := b.ask("root")
	is.True(failure.Is(err, failure.Quarantined))
	is.Equal(len(b.seen.by("root"))+len(b.seen.by("there")), shardCount+1)
	is.Equal(len(b.seen.by("there")), shardCount-nearShards)
	before := len(b.seen.by("root")) + len(b.seen.by("there"))
	_, err = b.ask("root")
	is.True(failure.Is(err, failure.Quarantined))
	is.Equal(len(b.seen.by("root"))+len(b.seen.by("there")), before)
}

// A root learns of a quarantine from the reply of an intermediate.
func TestRootLearnsFromItsIntermediate(t *testing.T) {
	is := is.New(t)
	b := newTree(t, near("root"), far("there"))
	ended := &crashedLeafSet{}
	for _, node := range b.nodes {
		node.gateway.quarantine = newRegister()
		node.gateway.leafs = &crashingTreeLeafs{treeLeafs: node.leafs, ended: ended}
	}
	b.nodes["there"].gateway.quarantine.AddRecord(quarantine.Record{Subject: quarantine.Subject{Content: DefaultConfig().fingerprintOf(newRequest("/pages/1"))}})
	b.nodes["root"].leafs.setAnswer(func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil })
	_, err := b.ask("root")
	is.True(failure.Is(err, failure.Quarantined))
	is.Equal(len(b.seen.by("there")), 0)
}

// crashedLeafSet are leafs of a tree that crash when they run a request of any node.
type crashedLeafSet struct {
	mu    sync.Mutex
	ended map[string]bool
}

func (e *crashedLeafSet) run(leaf string) (time.Duration, *leafhttp.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended == nil {
		e.ended = map[string]bool{}
	}
	e.ended[leaf] = true
	return crashAfter, nil, &leafhttp.BrokenAnswerError{Cause: errors.New("reset")}
}

func (e *crashedLeafSet) has(leaf string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended[leaf]
}

// crashingTreeLeafs is a LeafCaller that finds leafs of a tree gone once they have crashed.
type crashingTreeLeafs struct {
	*treeLeafs
	ended *crashedLeafSet
}

func (l *crashingTreeLeafs) Check(target leafhttp.Target, _ bool, tell leafhttp.OnChecked) {
	ended := l.ended.has(target.LeafID)
	time.AfterFunc(time.Millisecond, func() { tell(ended) })
}
