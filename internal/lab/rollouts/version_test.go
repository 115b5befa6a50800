package rollouts

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
)

const serviceTime = 10 * time.Millisecond

func TestFaultAffectsMatchingRequests(t *testing.T) {
	began := time.Now()
	at := func(after time.Duration) httpleaf.Request {
		return httpleaf.Request{ID: "r", Incarnation: "leaf", Target: "/a/r", At: began.Add(after)}
	}
	failing := func(fault Fault) Fault {
		fault.Failing = 1
		return fault
	}
	cases := map[string]struct {
		fault   Fault
		before  int
		request httpleaf.Request
		isBad   bool
	}{
		"good":             {Fault{}, 0, at(0), false},
		"at once":          {failing(Fault{}), 0, at(0), true},
		"before the delay": {failing(Fault{After: time.Second}), 0, at(0), false},
		"after the delay":  {failing(Fault{After: time.Second}), 0, at(time.Second), true},
		"one at once":      {failing(Fault{AtOnce: 1}), 0, at(0), false},
		"two at once":      {failing(Fault{AtOnce: 1}), 1, at(0), true},
		"two per second":   {failing(Fault{PerSecond: 2}), 1, at(0), false},
		"three per second": {failing(Fault{PerSecond: 2}), 2, at(0), true},
		"on the route":     {failing(Fault{Prefix: "/a/"}), 0, at(0), true},
		"on another route": {failing(Fault{Prefix: "/b/"}), 0, at(0), false},
		"slow":             {Fault{Slower: 3}, 0, at(0), true},
		"health check":     {failing(Fault{}), 0, httpleaf.Request{At: began}, false},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			version := NewVersion("s", "v", serviceTime, one.fault)
			version.SetRolloutStart(began)
			for range one.before {
				version.Answer("leaf", at(0), nil)
			}
			answer := version.Answer("leaf", one.request, []byte("x"))
			is.Equal(answer.Status == http.StatusInternalServerError || answer.Delay > serviceTime, one.isBad)
		})
	}
}

func TestStoppedVersionRecordsAndDropsRequests(t *testing.T) {
	is := is.New(t)
	version := NewVersion("s", "v", serviceTime, Fault{})
	version.Stop()
	is.True(version.Answer("leaf", httpleaf.Request{ID: "r", Incarnation: "leaf"}, nil).Dropped)
	is.Equal(len(version.Requests()), 1)
}
