package rollouts

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// newRelease returns a rollout of 10 s with requests at the given times after its start.
func newRelease(fault Fault, old, target []time.Duration) *Release {
	began := time.Now()
	requests := func(after []time.Duration, name string) *Version {
		v := NewVersion("s", name, serviceTime, fault)
		for number, span := range after {
			at := began.Add(span)
			v.requests = append(v.requests, ReceivedRequest{ID: fmt.Sprint(name, number), At: at, Done: at.Add(serviceTime), Bad: fault.IsBad()})
		}
		return v
	}
	return &Release{
		Old: requests(old, "a"), Target: requests(target, "b"), Duration: 10 * time.Second, At: began, Revision: 5,
	}
}

func (r *Release) addStatus(outcome Outcome, revision int64, after time.Duration) {
	r.Statuses = append(r.Statuses, StatusReading{Revision: revision, Target: "b", Outcome: outcome, At: r.At.Add(after)})
}

func never(ReceivedRequest) bool { return false }

func TestExposureCountsRequestsUntilTheDeadline(t *testing.T) {
	is := is.New(t)
	r := newRelease(Fault{}, []time.Duration{-time.Second, 0, time.Second, 11 * time.Second}, []time.Duration{time.Second, 5 * time.Second, 12 * time.Second})
	is.Equal(r.Exposure(AlwaysFaultFree), Exposure{Received: 2, Reached: 4})
	is.Equal(r.Exposure(never), Exposure{Received: 0, Reached: 4})
	r.Ended = r.At.Add(2 * time.Second)
	is.Equal(r.Exposure(AlwaysFaultFree), Exposure{Received: 1, Reached: 3})
}

func TestLateRequestsAfterTheFiftiethBadAnswer(t *testing.T) {
	is := is.New(t)
	after := make([]time.Duration, badAnswers, badAnswers+2)
	is.Equal(len(newRelease(Fault{Failing: 1}, nil, append(after[1:], time.Hour)).Late(AlwaysFaultFree)), 0)
	r := newRelease(Fault{Failing: 1}, nil, append(after, Lateness, Lateness+time.Second))
	is.Equal(len(r.Late(AlwaysFaultFree)), 1)
	is.Equal(len(r.Late(never)), 0)
	is.Equal(len(newRelease(Fault{}, nil, append(after, Lateness, Lateness+time.Second)).Late(AlwaysFaultFree)), 0)
}

// A bad version cannot be detected if it succeeds before its first bad answer.
func TestSucceededBeforeBadAnswer(t *testing.T) {
	is := is.New(t)
	r := newRelease(Fault{Failing: 1}, nil, []time.Duration{3 * time.Second, 4 * time.Second})
	is.True(!r.SucceededBeforeBadAnswer()) // there is no status
	r.addStatus(Succeeded, 6, 2*time.Second)
	is.True(r.SucceededBeforeBadAnswer())
	r.addStatus(RolledBack, 7, 3*time.Second)
	is.True(!r.SucceededBeforeBadAnswer())
	r = newRelease(Fault{Failing: 1}, nil, []time.Duration{time.Second, 4 * time.Second})
	r.addStatus(Succeeded, 6, 2*time.Second)
	is.True(!r.SucceededBeforeBadAnswer())
}

func TestRequestsOutsideOfARollout(t *testing.T) {
	is := is.New(t)
	r := newRelease(Fault{}, nil, []time.Duration{-time.Second, time.Second, 3*time.Second + Lateness})
	is.Equal(len(r.OutsideRollout(never)), 1) // a request before the start counts whether or not its sender had a fault
	r.addStatus(RolledBack, 6, 2*time.Second)
	is.Equal(len(r.OutsideRollout(AlwaysFaultFree)), 2)
	is.Equal(len(r.OutsideRollout(never)), 1)
	r.Statuses = nil
	r.Ended = r.At.Add(2 * time.Second)
	is.Equal(len(r.OutsideRollout(AlwaysFaultFree)), 2)
}

func TestRequestsLeftAtTheOldVersion(t *testing.T) {
	is := is.New(t)
	r := newRelease(Fault{}, []time.Duration{time.Second, 2*time.Second - serviceTime/2, 3 * time.Second}, nil)
	is.Equal(len(r.AtOldVersion(AlwaysFaultFree)), 0)
	r.addStatus(Succeeded, 6, 2*time.Second)
	is.Equal(len(r.AtOldVersion(AlwaysFaultFree)), 2)
	is.Equal(len(r.AtOldVersion(never)), 0)
}

func TestWrongStatuses(t *testing.T) {
	cases := map[string]struct {
		status []Outcome
		end    int64
		until  int64
		bad    int
	}{
		"one outcome":                    {[]Outcome{Running, Running, Succeeded}, 0, 0, 0},
		"same outcome twice":             {[]Outcome{RolledBack, RolledBack}, 0, 0, 0},
		"two outcomes":                   {[]Outcome{RolledBack, Succeeded}, 0, 0, 1},
		"running after outcome":          {[]Outcome{Succeeded, Running}, 0, 0, 1},
		"success after cancellation":     {[]Outcome{Running, Succeeded}, 7, 0, 1},
		"running after cancellation":     {[]Outcome{Running, Running}, 7, 0, 1},
		"rolled back after cancellation": {[]Outcome{Running, RolledBack}, 7, 0, 0},
		"outcome after replacement":      {[]Outcome{Running, Succeeded}, 0, 7, 1},
		"outcome before replacement":     {[]Outcome{Running, Succeeded}, 8, 8, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRelease(Fault{}, nil, nil)
			r.EndRevision, r.Until = one.end, one.until
			for index, outcome := range one.status {
				r.addStatus(outcome, r.Revision+1+int64(index), time.Second)
			}
			is.New(t).Equal(len(r.WrongStatuses()), one.bad)
		})
	}
	r := newRelease(Fault{}, nil, nil)
	r.addStatus(Succeeded, 6, time.Second)
	r.Until, r.Next = 7, "b"
	r.addStatus(Succeeded, 8, 2*time.Second)
	is.New(t).Equal(len(r.WrongStatuses()), 0) // the next rollout is of the same version
	r = newRelease(Fault{}, nil, nil)
	r.Statuses = []StatusReading{{Revision: 6, Target: "c", Outcome: Running}}
	is.New(t).Equal(len(r.WrongStatuses()), 1) // a status of another version is wrong
}
