package gateway

// Without a quarantine, a crashing request goes to every leaf of each shard, and again whenever its caller sends it to
// another node. It crashes the leafs that all other requests need each time they have restarted.

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

// crashAfter is how long a leaf runs a crashing request before it crashes.
const crashAfter = 5 * time.Millisecond

// noListener ignores the register's events.
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

// crashingLeafs crash when they run a request; checks of their processes then report that they have exited.
type crashingLeafs struct {
	scriptedLeafs
	mu    sync.Mutex
	ended map[string]bool
	// survives reports whether a leaf answers instead of crashing.
	survives func(leaf string) bool
}

func newCrashingLeafs() *crashingLeafs {
	l := &crashingLeafs{ended: map[string]bool{}, survives: func(string) bool { return false }}
	l.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
		if l.survives(leaf) {
			return crashAfter, answered(200, records(leaf)), nil
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.ended[leaf] {
			return time.Millisecond, nil, &leafhttp.NeverSentError{Cause: syscall.ECONNREFUSED}
		}
		l.ended[leaf] = true
		return crashAfter, nil, &leafhttp.BrokenAnswerError{Cause: errors.New("reset")}
	}
	return l
}

func (l *crashingLeafs) Check(target leafhttp.Target, _ bool, done leafhttp.OnChecked) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ended := l.ended[target.LeafID]
	time.AfterFunc(time.Millisecond, func() { done(ended) })
}

// crashedCount returns how many leafs have an entry in ended: those that crashed.
// TestProcessCheckAfterBreakOnNewConnection also enters leafs that got the request and did not crash.
func (l *crashingLeafs) crashedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ended)
}

func newQuarantineGateway(t *testing.T, leafs LeafCaller, register *quarantine.Register) *Gateway {
	g, _ := newGateway(t, leafs)
	g.quarantine = register
	return g
}

// A crashing gathered request crashes one leaf of each shard and one more. Sent again, it is refused at once.
func TestCrashingGatheredRequestIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		g := newQuarantineGateway(t, leafs, newRegister())
		began := time.Now()
		_, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		is.Equal(failure.From(err).Execution, failure.Unknown) // leafs may have run it
		is.Equal(failure.From(err).RetryAfter, time.Duration(0))
		is.Equal(leafs.crashedCount(), shardCount+1)
		is.True(time.Since(began) <= 2*crashAfter+2*time.Millisecond)
		began = time.Now()
		_, err = g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		is.Equal(failure.From(err).Execution, failure.NotRun)
		is.True(failure.From(err).RetryAfter > time.Minute)
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(leafs.crashedCount(), shardCount+1)
		synctest.Wait()
	})
}

// A crashing single request that is sent repeatedly crashes three leafs, whether it is repeatable or runs at most once.
func TestCrashingSingleRequestIsQuarantined(t *testing.T) {
	for _, path := range []string{"/single/1", "/once/1"} {
		t.Run(strings.Trim(path, "/1"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := newCrashingLeafs()
				register := newRegister()
				// Crashed leafs return with another ID: the request finds two new ones each time.
				for number := range 5 {
					g := newQuarantineGateway(t, leafs, register)
					for index, id := range []string{"a", "b"} {
						name := id + strings.Repeat("'", number)
						put(t, g.catalog, catalog.LeafKey("s0"+[]string{"a", "b"}[index]), nil)
						put(t, g.catalog, catalog.LeafKey(name), leafset.Record{Name: name, Service: "s0", Address: "127.0.0.1:1", State: leafset.Ready})
					}
					_, err := g.Serve(t.Context(), newRequest(path))
					is.True(err != nil)
					synctest.Wait()
					time.Sleep(2 * time.Millisecond) // until the check of the leaf has ended
				}
				is.Equal(leafs.crashedCount(), quarantine.DefaultConfig().CrashedLeafs)
			})
		})
	}
}

// Other requests are not affected, nor are requests of other callers with the same path if callers identify themselves.
// The request is recognized from any address and with any query, unless FingerprintQuery is set.
func TestQuarantineCoversOneRequestOfOneCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		g := newQuarantineGateway(t, leafs, newRegister())
		g.cfg.CallerHeader = "Desk"
		requestOf := func(caller, path string) *Request {
			request := newRequest(path)
			request.Leaf.Header = http.Header{"Desk": {caller}}
			return request
		}
		_, err := g.Serve(t.Context(), requestOf("one", "/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		leafs.survives = func(string) bool { return true }
		for _, request := range []*Request{requestOf("two", "/pages/1"), requestOf("one", "/pages/2"), requestOf("one", "/single/1")} {
			_, err = g.Serve(t.Context(), request)
			is.NoErr(err)
		}
		again := requestOf("one", "/pages/1")
		again.Leaf.Target, again.Caller = "/pages/1?page=2", "192.0.2.2"
		_, err = g.Serve(t.Context(), again)
		is.True(failure.Is(err, failure.Quarantined))
		g.cfg.FingerprintQuery = true
		_, err = g.Serve(t.Context(), again)
		is.NoErr(err)
	})
}

// During a quarantine alert, a new crashing request crashes one leaf per send, instead of one leaf of each shard.
func TestCrashingRequestDuringAlertCrashesThreeLeafs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		register := newRegister()
		register.AddRecord(quarantine.Record{Subject: quarantine.Subject{Fingerprint: DefaultConfig().fingerprintOf(newRequest("/pages/0"))}})
		g := newQuarantineGateway(t, leafs, register)
		for count := 1; count <= quarantine.DefaultConfig().CrashedLeafs; count++ {
			_, err := g.Serve(t.Context(), newRequest("/pages/1"))
			is.True(err != nil)
			is.Equal(leafs.crashedCount(), count)
		}
		_, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.True(failure.Is(err, failure.Quarantined))
		is.Equal(leafs.crashedCount(), quarantine.DefaultConfig().CrashedLeafs)

		leafs.survives = func(string) bool { return true }
		began := time.Now()
		answer, err := g.Serve(t.Context(), newRequest("/pages/2"))
		is.NoErr(err)
		is.Equal(answer.Missing, 0)
		is.Equal(time.Since(began), 2*crashAfter) // the other shards are queried after the first answer
		time.Sleep(quarantine.DefaultConfig().Alert)
		began = time.Now()
		_, err = g.Serve(t.Context(), newRequest("/pages/3"))
		is.NoErr(err)
		is.Equal(time.Since(began), crashAfter)
	})
}

// A first attempt at a slow leaf delays the other shards only briefly.
func TestSlowFirstAttemptDelaysOthersBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if strings.HasPrefix(leaf, "s0") {
				return time.Hour, nil, nil
			}
			return crashAfter, answered(200, records(leaf)), nil
		}}
		register := newRegister()
		register.AddRecord(quarantine.Record{Subject: quarantine.Subject{Fingerprint: DefaultConfig().fingerprintOf(newRequest("/pages/0"))}})
		g := newQuarantineGateway(t, slow, register)
		answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
	})
}

// A request that runs while another one crashes leafs is answered completely: missing parts are retried at once.
func TestOtherRequestsAreServedDuringCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		leafs.survives = func(leaf string) bool { return !strings.HasPrefix(leaf, "s1") || strings.HasSuffix(leaf, "b") }
		register := newRegister()
		g := newQuarantineGateway(t, leafs, register)
		for range 20 {
			answer, err := g.Serve(t.Context(), newRequest("/pages/1"))
			is.NoErr(err)
			is.Equal(answer.Missing, 0)
			time.Sleep(2 * time.Millisecond)
		}
		is.Equal(register.State(DefaultConfig().fingerprintOf(newRequest("/pages/1"))), quarantine.Clear)
	})
}

// A run that the leaf stopped at its deadline does not clear the request.
func TestOnlyCompletedRunClearsRequest(t *testing.T) {
	for status, want := range map[int]quarantine.State{504: quarantine.Suspect, 500: quarantine.Clear, 200: quarantine.Clear} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := newCrashingLeafs()
				register := newRegister()
				g := newQuarantineGateway(t, leafs, register)
				_, err := g.Serve(t.Context(), newRequest("/once/1"))
				is.True(err != nil)
				time.Sleep(2 * time.Millisecond)
				leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
					return crashAfter, answered(status, records(leaf)), nil
				}
				_, err = g.Serve(t.Context(), newRequest("/once/1"))
				is.NoErr(err) // the leaf's answer, also a failure, is passed on
				is.Equal(register.State(DefaultConfig().fingerprintOf(newRequest("/once/1"))), want)
			})
		})
	}
}

// The exit of a leaf that had announced its drain is not evidence.
func TestAnnouncedExitIsNotEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		leafs := newCrashingLeafs()
		register := newRegister()
		g := newQuarantineGateway(t, leafs, register)
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

// A leaf resets a new connection if it has too many or crashes. The check of its process shows which.
func TestProcessCheckAfterBreakOnNewConnection(t *testing.T) {
	for name, exited := range map[string]bool{"exited": true, "reset": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				leafs := newCrashingLeafs()
				leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
					leafs.mu.Lock()
					defer leafs.mu.Unlock()
					leafs.ended[leaf] = exited
					return crashAfter, nil, &leafhttp.ConnectionResetError{Cause: errors.New("reset")}
				}
				g := newQuarantineGateway(t, leafs, newRegister())
				_, err := g.Serve(t.Context(), newRequest("/pages/1"))
				is.Equal(failure.Is(err, failure.Quarantined), exited)
				is.Equal(leafs.crashedCount() <= shardCount+1, exited) // after a reset, the retries reach more leafs
			})
		})
	}
}

// An intermediate does not probe its group: all nodes together crash one leaf of each shard, and one more.
func TestOnlyRootProbesCrashingRequest(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	ended := &crashedLeafSet{}
	for _, node := range tr.nodes {
		node.gateway.quarantine = newRegister()
		node.gateway.leafs = &crashingTreeLeafs{treeLeafs: node.leafs, ended: ended}
		node.leafs.setAnswer(ended.run)
	}
	_, err := tr.serve("root")
	is.True(failure.Is(err, failure.Quarantined))
	is.Equal(len(tr.attempts.by("root"))+len(tr.attempts.by("there")), shardCount+1)
	is.Equal(len(tr.attempts.by("there")), shardCount-nearShards)
	before := len(tr.attempts.by("root")) + len(tr.attempts.by("there"))
	_, err = tr.serve("root")
	is.True(failure.Is(err, failure.Quarantined))
	is.Equal(len(tr.attempts.by("root"))+len(tr.attempts.by("there")), before)
}

// A root learns of a quarantine from the reply of an intermediate.
func TestRootLearnsQuarantineFromIntermediate(t *testing.T) {
	is := is.New(t)
	tr := newTree(t, near("root"), far("there"))
	ended := &crashedLeafSet{}
	for _, node := range tr.nodes {
		node.gateway.quarantine = newRegister()
		node.gateway.leafs = &crashingTreeLeafs{treeLeafs: node.leafs, ended: ended}
	}
	tr.nodes["there"].gateway.quarantine.AddRecord(quarantine.Record{Subject: quarantine.Subject{Fingerprint: DefaultConfig().fingerprintOf(newRequest("/pages/1"))}})
	tr.nodes["root"].leafs.setAnswer(func(string) (time.Duration, *leafhttp.Response, error) { return time.Hour, nil, nil })
	_, err := tr.serve("root")
	is.True(failure.Is(err, failure.Quarantined))
	is.Equal(len(tr.attempts.by("there")), 0)
}

// crashedLeafSet contains the leafs of a tree that have crashed because they ran a request of any node.
type crashedLeafSet struct {
	mu    sync.Mutex
	ended map[string]bool
}

func (s *crashedLeafSet) run(leaf string) (time.Duration, *leafhttp.Response, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended == nil {
		s.ended = map[string]bool{}
	}
	s.ended[leaf] = true
	return crashAfter, nil, &leafhttp.BrokenAnswerError{Cause: errors.New("reset")}
}

func (s *crashedLeafSet) has(leaf string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended[leaf]
}

// crashingTreeLeafs is a LeafCaller whose process checks report that the crashed leafs of a tree have exited.
type crashingTreeLeafs struct {
	*treeLeafs
	ended *crashedLeafSet
}

func (l *crashingTreeLeafs) Check(target leafhttp.Target, _ bool, done leafhttp.OnChecked) {
	ended := l.ended.has(target.LeafID)
	time.AfterFunc(time.Millisecond, func() { done(ended) })
}
