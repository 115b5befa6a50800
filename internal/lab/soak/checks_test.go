package soak

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/lab/kvstore"
	"github.com/portgauge/portgauge/platform"
)

// still returns an environment without processes: two gathered services with a leaf each, and a single one.
func still(t *testing.T) *environment {
	t.Helper()
	store := kvstore.New(0)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	w := &environment{names: platform.HTTPNames(), store: store, leafs: map[string]*leafState{}, gathered: []string{"part0", "part1"}}
	for _, service := range []string{"part0", "part1", singleName, anotherName} {
		if _, err := w.addLeaf(service); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, state := range w.leafs {
			state.leaf.Stop()
			state.link.Close()
		}
	})
	w.nodes = []*nodeState{{name: "node-0"}}
	return w
}

func (w *environment) answered(id string, kind Kind, stamps string, missing string, body []byte) outcome {
	header := http.Header{}
	if kind == Gathered {
		header.Set(w.names.PartStamps, stamps)
		header.Set(w.names.MissingParts, missing)
	} else {
		header.Set(w.names.ResponseStamp, stamps)
	}
	return outcome{id: id, kind: kind, node: w.nodes[0], status: http.StatusOK, header: header, body: body, sent: time.Now(), ended: time.Now()}
}

// Each promise is kept in a good case and broken in a bad one.
func TestChecksTellGoodRunsFromBad(t *testing.T) {
	w := still(t)
	whole := greatest([][]byte{partBody("part0", "r"), partBody("part1", "r")}, topRecords)
	half := greatest([][]byte{partBody("part0", "r")}, topRecords)
	now := time.Now()
	node := w.nodes[0]
	once := outcome{id: "r", kind: Once, node: node, status: http.StatusServiceUnavailable}
	stopped := &nodeState{name: "stopped", stops: []time.Time{now}}
	cases := map[string]struct {
		good, bad Result
	}{
		"once":     {checkOnce([]outcome{once}, map[string][]string{"r": {"leaf-1"}}), checkOnce([]outcome{once}, map[string][]string{"r": {"leaf-1", "leaf-2"}})},
		"refusals": {checkRefusals([]outcome{once}, nil), checkRefusals([]outcome{once}, map[string][]string{"r": {"leaf-1"}})},
		"asked":    {checkSent([]outcome{once}, map[string][]string{"r": {"leaf-1"}}), checkSent([]outcome{once}, map[string][]string{"x": {"leaf-1"}})},
		"single": {
			checkSingles(w, []outcome{w.answered("r", Single, "leaf-3.r", "", partBody(singleName, "r"))}),
			checkSingles(w, []outcome{w.answered("r", Single, "leaf-3.q", "", partBody(singleName, "q"))}),
		},
		"gathered": {
			checkGathered(w, []outcome{w.answered("r", Gathered, "leaf-1.r, leaf-2.r", "0", whole)}),
			checkGathered(w, []outcome{w.answered("r", Gathered, "leaf-1.r, leaf-2.r", "0", half)}),
		},
		"missing parts": {
			checkGathered(w, []outcome{w.answered("r", Gathered, "leaf-1.r,leaf-2.r", "", whole)}),
			checkGathered(w, []outcome{w.answered("r", Gathered, "leaf-1.r", "0", half)}),
		},
		"stops": {
			checkStops([]outcome{{node: stopped, status: http.StatusOK, sent: now.Add(-time.Millisecond), ended: now.Add(time.Millisecond)}}),
			checkStops([]outcome{{node: stopped, sent: now.Add(-time.Millisecond), ended: now.Add(time.Millisecond)}}),
		},
		"recovery": {
			checkRecovery([]outcome{{status: http.StatusOK, sent: now}}, now),
			checkRecovery([]outcome{{status: http.StatusBadGateway, sent: now}}, now),
		},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(one.good.Checked, 1)
			is.Equal(len(one.good.Broken), 0)
			is.Equal(len(one.bad.Broken), 1)
		})
	}
}

// A node that serves by an old configuration after the bound, or goes back to one, breaks the promise; one that had a fault
// gets more time.
func TestCheckConfiguration(t *testing.T) {
	is := is.New(t)
	w := still(t)
	began := time.Now()
	w.changes = []change{{1, singleName, began}, {2, anotherName, began.Add(10 * time.Second)}}
	served := func(leafID string, after time.Duration) outcome {
		o := w.answered("r", Switched, leafID+".r", "", nil)
		o.sent, o.ended = began.Add(after), began.Add(after+time.Millisecond)
		return o
	}
	const old, current = "leaf-3", "leaf-4"
	is.Equal(len(checkConfiguration(w, []outcome{served(old, time.Second), served(old, 12*time.Second), served(current, 14*time.Second)}).Broken), 0)
	is.Equal(len(checkConfiguration(w, []outcome{served(old, 14*time.Second)}).Broken), 1)                                  // late
	is.Equal(len(checkConfiguration(w, []outcome{served(current, 11*time.Second), served(old, 12*time.Second)}).Broken), 1) // back
	w.nodes[0].faultSpans = []faultSpan{{from: began.Add(12 * time.Second), until: began.Add(20 * time.Second)}}
	is.Equal(len(checkConfiguration(w, []outcome{served(old, 14*time.Second)}).Broken), 0)
}

// A node was frozen while the second configuration was accepted. When it went on, the requests that waited there were served
// within a millisecond, some by the first version and some by the second, in any order. Nothing went back, and a third
// version, which has the first service again, was not accepted yet: that answers of requests in flight show it was a fault
// of this check.
func TestRequestsOfAFrozenNodeAreServedInAnyOrder(t *testing.T) {
	is := is.New(t)
	w := still(t)
	began := time.Now()
	w.changes = []change{{1, singleName, began}, {2, anotherName, began.Add(8 * time.Second)}, {3, singleName, began.Add(13 * time.Second)}}
	w.nodes[0].faultSpans = []faultSpan{{from: began.Add(6 * time.Second), until: began.Add(9300 * time.Millisecond)}}
	const first, second = "leaf-3", "leaf-4"
	served := func(leafID string, sent, ended int) outcome {
		o := w.answered("r", Switched, leafID+".r", "", nil)
		o.sent, o.ended = began.Add(time.Duration(sent)*time.Millisecond), began.Add(time.Duration(ended)*time.Millisecond)
		return o
	}
	frozen := []outcome{served(first, 6900, 9322), served(second, 7000, 9324), served(first, 7700, 9323)}
	is.Equal(checkConfiguration(w, append(frozen, served(second, 9400, 9430), served(first, 13500, 13530))).Broken, nil)
	is.Equal(len(checkConfiguration(w, append(frozen, served(first, 9400, 9430))).Broken), 1) // back to the first, after all had ended
	// Answers of an earlier version count also for requests that were sent before the answer of a later one ended.
	later := []outcome{served(second, 8200, 8230), served(second, 8300, 8330), served(first, 13100, 13200), served(first, 8900, 8930)}
	is.Equal(len(checkConfiguration(w, later).Broken), 1)
}

// A leaving leaf that receives a request after the bound breaks the promise, if no node had a fault.
func TestCheckDraining(t *testing.T) {
	is := is.New(t)
	w := still(t)
	state := w.leafs["leaf-3"]
	ask(t, state.leaf)
	state.leavingAt = time.Now()
	is.Equal(len(checkDraining(w).Broken), 0)
	state.leavingAt = time.Now().Add(-drainBound - time.Second)
	is.Equal(len(checkDraining(w).Broken), 1)
	w.nodes[0].noteFault(time.Second, false)
	ask(t, state.leaf)
	is.Equal(len(checkDraining(w).Broken), 1) // the first leaf still
}

// ask sends a leaf a request.
func ask(t *testing.T, leaf *httpleaf.Leaf) {
	t.Helper()
	answer, err := http.Get("http://" + leaf.Address() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// A link does what its condition says, and passes bytes on again after it.
func TestLinkConditions(t *testing.T) {
	is := is.New(t)
	leaf, err := httpleaf.Start("leaf-1", platform.HTTPNames(), func(httpleaf.Request) httpleaf.Answer {
		return httpleaf.Answer{Body: []byte("x")}
	})
	is.NoErr(err)
	defer leaf.Stop()
	link, err := NewLink(leaf.Address())
	is.NoErr(err)
	defer link.Close()
	get := func() error {
		client := http.Client{Timeout: 2 * linkDelay, Transport: &http.Transport{DisableKeepAlives: true}}
		answer, err := client.Get("http://" + link.Address() + "/")
		if err != nil {
			return err
		}
		defer func() { _ = answer.Body.Close() }()
		var body bytes.Buffer
		_, err = body.ReadFrom(answer.Body)
		return err
	}
	is.NoErr(get())
	for _, condition := range []Condition{Silent, OneWay, Resetting} {
		link.Set(condition)
		is.True(get() != nil)
		link.Set(Sound)
		is.NoErr(get())
	}
}

// A request to an evacuated leaf is late after the bound, until the zone is restored.
func TestCheckFindsRequestsToEvacuatedLeafs(t *testing.T) {
	is := is.New(t)
	w := still(t)
	id := "leaf-1"
	state := w.leafs[id]
	request, err := http.NewRequest(http.MethodGet, "http://"+state.leaf.Address()+"/x", nil)
	is.NoErr(err)
	request.Header.Set(w.names.RequestID, "r")
	request.Header.Set(w.names.ExpectedIncarnation, id)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	now := time.Now()
	cases := map[string]struct {
		span   evacuation
		broken bool
	}{
		"lasts":            {evacuation{zone: state.zone, from: now.Add(-time.Minute)}, true},
		"within its bound": {evacuation{zone: state.zone, from: now.Add(-drainBound / 2)}, false},
		"over before":      {evacuation{zone: state.zone, from: now.Add(-time.Hour), until: now.Add(-time.Minute)}, false},
		"of another zone":  {evacuation{zone: "another", from: now.Add(-time.Minute)}, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			w.evacuations = []evacuation{one.span}
			is.New(t).Equal(len(checkEvacuations(w).Broken) > 0, one.broken)
		})
	}
}
