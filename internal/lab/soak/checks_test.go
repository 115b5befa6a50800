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

// newIdleEnvironment returns an environment without node processes: two gathered services and two single services, each with
// one leaf.
func newIdleEnvironment(t *testing.T) *environment {
	t.Helper()
	store := kvstore.New(0)
	server := httptest.NewServer(store.Handler())
	t.Cleanup(server.Close)
	e := &environment{names: platform.HTTPNames(), store: store, leafs: map[string]*leafState{}, gathered: []string{"part0", "part1"}}
	for _, service := range []string{"part0", "part1", singleName, anotherName} {
		if _, err := e.addLeaf(service); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() {
		for _, state := range e.leafs {
			state.leaf.Stop()
			state.link.Close()
		}
	})
	e.nodes = []*nodeState{{name: "node-0"}}
	return e
}

func (e *environment) newOutcome(id string, kind Kind, stamps string, missing string, body []byte) outcome {
	header := http.Header{}
	if kind == Gathered {
		header.Set(e.names.PartStamps, stamps)
		header.Set(e.names.MissingParts, missing)
	} else {
		header.Set(e.names.ResponseStamp, stamps)
	}
	return outcome{id: id, kind: kind, node: e.nodes[0], status: http.StatusOK, header: header, body: body, sent: time.Now(), ended: time.Now()}
}

// Each check passes a run that keeps its guarantee and reports one that breaks it.
func TestChecksReportBrokenGuarantees(t *testing.T) {
	e := newIdleEnvironment(t)
	whole := greatest([][]byte{partBody("part0", "r"), partBody("part1", "r")}, topRecords)
	half := greatest([][]byte{partBody("part0", "r")}, topRecords)
	now := time.Now()
	node := e.nodes[0]
	once := outcome{id: "r", kind: AtMostOnce, node: node, status: http.StatusServiceUnavailable}
	stopped := &nodeState{name: "stopped", stops: []time.Time{now}}
	cases := map[string]struct {
		good, bad Result
	}{
		"once":     {checkOnce([]outcome{once}, map[string][]string{"r": {"leaf-1"}}), checkOnce([]outcome{once}, map[string][]string{"r": {"leaf-1", "leaf-2"}})},
		"refusals": {checkRefusals([]outcome{once}, nil), checkRefusals([]outcome{once}, map[string][]string{"r": {"leaf-1"}})},
		"sent":     {checkOnlySentRequests([]outcome{once}, map[string][]string{"r": {"leaf-1"}}), checkOnlySentRequests([]outcome{once}, map[string][]string{"x": {"leaf-1"}})},
		"single": {
			checkSingles(e, []outcome{e.newOutcome("r", Single, "leaf-3.r", "", partBody(singleName, "r"))}),
			checkSingles(e, []outcome{e.newOutcome("r", Single, "leaf-3.q", "", partBody(singleName, "q"))}),
		},
		"gathered": {
			checkGathered(e, []outcome{e.newOutcome("r", Gathered, "leaf-1.r, leaf-2.r", "0", whole)}),
			checkGathered(e, []outcome{e.newOutcome("r", Gathered, "leaf-1.r, leaf-2.r", "0", half)}),
		},
		"missing parts": {
			checkGathered(e, []outcome{e.newOutcome("r", Gathered, "leaf-1.r,leaf-2.r", "", whole)}),
			checkGathered(e, []outcome{e.newOutcome("r", Gathered, "leaf-1.r", "0", half)}),
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

// A node that serves with an old configuration after the bound, or reverts to one, breaks the guarantee, unless it had
// a fault.
func TestCheckConfiguration(t *testing.T) {
	is := is.New(t)
	e := newIdleEnvironment(t)
	began := time.Now()
	e.changes = []change{{1, singleName, began}, {2, anotherName, began.Add(10 * time.Second)}}
	served := func(leafID string, after time.Duration) outcome {
		o := e.newOutcome("r", Switched, leafID+".r", "", nil)
		o.sent, o.ended = began.Add(after), began.Add(after+time.Millisecond)
		return o
	}
	const old, current = "leaf-3", "leaf-4"
	is.Equal(len(checkConfiguration(e, []outcome{served(old, time.Second), served(old, 12*time.Second), served(current, 14*time.Second)}).Broken), 0)
	is.Equal(len(checkConfiguration(e, []outcome{served(old, 14*time.Second)}).Broken), 1)                                  // served with the old version after the bound
	is.Equal(len(checkConfiguration(e, []outcome{served(current, 11*time.Second), served(old, 12*time.Second)}).Broken), 1) // reverted to the old version
	e.nodes[0].faultSpans = []faultSpan{{from: began.Add(12 * time.Second), until: began.Add(20 * time.Second)}}
	is.Equal(len(checkConfiguration(e, []outcome{served(old, 14*time.Second)}).Broken), 0)
}

// Requests that waited at a suspended node may be served with the old or the new configuration in any order. The check
// must not report this as a revert, nor take an answer of the first service for version 3, which has that service again but
// was not accepted yet.
func TestCheckConfigurationAllowsAnyOrderAfterASuspension(t *testing.T) {
	is := is.New(t)
	e := newIdleEnvironment(t)
	began := time.Now()
	e.changes = []change{{1, singleName, began}, {2, anotherName, began.Add(8 * time.Second)}, {3, singleName, began.Add(13 * time.Second)}}
	e.nodes[0].faultSpans = []faultSpan{{from: began.Add(6 * time.Second), until: began.Add(9300 * time.Millisecond)}}
	const first, second = "leaf-3", "leaf-4"
	served := func(leafID string, sent, ended int) outcome {
		o := e.newOutcome("r", Switched, leafID+".r", "", nil)
		o.sent, o.ended = began.Add(time.Duration(sent)*time.Millisecond), began.Add(time.Duration(ended)*time.Millisecond)
		return o
	}
	suspended := []outcome{served(first, 6900, 9322), served(second, 7000, 9324), served(first, 7700, 9323)}
	is.Equal(checkConfiguration(e, append(suspended, served(second, 9400, 9430), served(first, 13500, 13530))).Broken, nil)
	is.Equal(len(checkConfiguration(e, append(suspended, served(first, 9400, 9430))).Broken), 1) // reverted to the first version after all answers had ended
	// The bound from an answer with version 2 applies to requests sent before the answer with version 3 ended.
	later := []outcome{served(second, 8200, 8230), served(second, 8300, 8330), served(first, 13100, 13200), served(first, 8900, 8930)}
	is.Equal(len(checkConfiguration(e, later).Broken), 1)
}

// A request to a leaving leaf after the bound breaks the guarantee if no node had a fault.
func TestCheckDraining(t *testing.T) {
	is := is.New(t)
	e := newIdleEnvironment(t)
	state := e.leafs["leaf-3"]
	sendRequest(t, state.leaf)
	state.leavingAt = time.Now()
	is.Equal(len(checkDraining(e).Broken), 0)
	state.leavingAt = time.Now().Add(-drainBound - time.Second)
	is.Equal(len(checkDraining(e).Broken), 1)
	e.nodes[0].recordFault(time.Second, false)
	sendRequest(t, state.leaf)
	is.Equal(len(checkDraining(e).Broken), 1) // a request during a fault does not count
}

// sendRequest sends a request to a leaf.
func sendRequest(t *testing.T, leaf *httpleaf.Leaf) {
	t.Helper()
	answer, err := http.Get("http://" + leaf.Address() + "/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
}

// No answer passes a link that is silent, one-way or resetting, and a link works again once it is healthy.
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
		link.Set(Healthy)
		is.NoErr(get())
	}
}

// A request to a leaf of an evacuated zone breaks the guarantee if it arrives between the bound and the end of the
// evacuation.
func TestCheckFindsRequestsToEvacuatedLeafs(t *testing.T) {
	is := is.New(t)
	e := newIdleEnvironment(t)
	id := "leaf-1"
	state := e.leafs[id]
	request, err := http.NewRequest(http.MethodGet, "http://"+state.leaf.Address()+"/x", nil)
	is.NoErr(err)
	request.Header.Set(e.names.RequestID, "r")
	request.Header.Set(e.names.ExpectedIncarnation, id)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	now := time.Now()
	cases := map[string]struct {
		span   evacuation
		broken bool
	}{
		"in force":         {evacuation{zone: state.zone, from: now.Add(-time.Minute)}, true},
		"within its bound": {evacuation{zone: state.zone, from: now.Add(-drainBound / 2)}, false},
		"ended before":     {evacuation{zone: state.zone, from: now.Add(-time.Hour), until: now.Add(-time.Minute)}, false},
		"of another zone":  {evacuation{zone: "another", from: now.Add(-time.Minute)}, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			e.evacuations = []evacuation{one.span}
			is.New(t).Equal(len(checkEvacuations(e).Broken) > 0, one.broken)
		})
	}
}
