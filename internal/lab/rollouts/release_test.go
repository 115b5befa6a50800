package rollouts

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sample returns a release of 10 s with visits at some times after its order.
func sample(fault Fault, old, target []time.Duration) *Release {
	began := time.Now()
	visits := func(after []time.Duration, name string) *Version {
		v := NewVersion("s", name, work, fault)
		for number, span := range after {
			at := began.Add(span)
			v.visits = append(v.visits, Visit{ID: fmt.Sprint(name, number), At: at, Done: at.Add(work), Bad: fault.IsBad()})
		}
		return v
	}
	return &Release{
		Old: visits(old, "a"), Target: visits(target, "b"), Duration: 10 * time.Second, At: began, Revision: 5,
	}
}

func (r *Release) tell(outcome Outcome, revision int64, after time.Duration) {
	r.Statuses = append(r.Statuses, StatusReading{Revision: revision, Target: "b", Outcome: outcome, At: r.At.Add(after)})
}

func never(Visit) bool { return false }

func TestExposureCountsWhatCameInTime(t *testing.T) {
	is := is.New(t)
	r := sample(Fault{}, []time.Duration{-time.Second, 0, time.Second, 11 * time.Second}, []time.Duration{time.Second, 5 * time.Second, 12 * time.Second})
	is.Equal(r.Exposure(Always), Exposure{Got: 2, Reached: 4})
	is.Equal(r.Exposure(never), Exposure{Got: 0, Reached: 4})
	r.Ended = r.At.Add(2 * time.Second)
	is.Equal(r.Exposure(Always), Exposure{Got: 1, Reached: 3})
}

func TestLateVisitsAfterTheFiftiethBadAnswer(t *testing.T) {
	is := is.New(t)
	after := make([]time.Duration, badAnswers, badAnswers+2)
	is.Equal(len(sample(Fault{Failing: 1}, nil, append(after[1:], time.Hour)).Late(Always)), 0)
	r := sample(Fault{Failing: 1}, nil, append(after, Lateness, Lateness+time.Second))
	is.Equal(len(r.Late(Always)), 1)
	is.Equal(len(r.Late(never)), 0)
	is.Equal(len(sample(Fault{}, nil, append(after, Lateness, Lateness+time.Second)).Late(Always)), 0)
}

// A version that succeeded before its first bad answer could not have been found bad; after one bad answer it could.
func TestVersionThatShowedNothingInTime(t *testing.T) {
	is := is.New(t)
	r := sample(Fault{Failing: 1}, nil, []time.Duration{3 * time.Second, 4 * time.Second})
	is.True(!r.HadNoBadAnswer()) // without a status
	r.tell(Succeeded, 6, 2*time.Second)
	is.True(r.HadNoBadAnswer())
	r.tell(RolledBack, 7, 3*time.Second)
	is.True(!r.HadNoBadAnswer())
	r = sample(Fault{Failing: 1}, nil, []time.Duration{time.Second, 4 * time.Second})
	r.tell(Succeeded, 6, 2*time.Second)
	is.True(!r.HadNoBadAnswer())
}

func TestDisallowedVisits(t *testing.T) {
	is := is.New(t)
	r := sample(Fault{}, nil, []time.Duration{-time.Second, time.Second, 3*time.Second + Lateness})
	is.Equal(len(r.Unordered(never)), 1) // before the order, by whatever sender
	r.tell(RolledBack, 6, 2*time.Second)
	is.Equal(len(r.Unordered(Always)), 2)
	is.Equal(len(r.Unordered(never)), 1)
	r.Statuses = nil
	r.Ended = r.At.Add(2 * time.Second)
	is.Equal(len(r.Unordered(Always)), 2)
}

func TestVisitsLeftAtTheOldVersion(t *testing.T) {
	is := is.New(t)
	r := sample(Fault{}, []time.Duration{time.Second, 2*time.Second - work/2, 3 * time.Second}, nil)
	is.Equal(len(r.AtOldVersion(Always)), 0)
	r.tell(Succeeded, 6, 2*time.Second)
	is.Equal(len(r.AtOldVersion(Always)), 2)
	is.Equal(len(r.AtOldVersion(never)), 0)
}

func TestMisledOperators(t *testing.T) {
	cases := map[string]struct {
		status []Outcome
		end    int64
		until  int64
		bad    int
	}{
		"one outcome":                {[]Outcome{Running, Running, Succeeded}, 0, 0, 0},
		"the same again":             {[]Outcome{RolledBack, RolledBack}, 0, 0, 0},
		"two outcomes":               {[]Outcome{RolledBack, Succeeded}, 0, 0, 1},
		"runs again":                 {[]Outcome{Succeeded, Running}, 0, 0, 1},
		"success after taken back":   {[]Outcome{Running, Succeeded}, 7, 0, 1},
		"runs after taken back":      {[]Outcome{Running, Running}, 7, 0, 1},
		"rolled back as taken back":  {[]Outcome{Running, RolledBack}, 7, 0, 0},
		"outcome of a replaced one":  {[]Outcome{Running, Succeeded}, 0, 7, 1},
		"outcome before it was done": {[]Outcome{Running, Succeeded}, 8, 8, 0},
	}
	for name, one := range cases {
		t.Run(name, func(t *testing.T) {
			r := sample(Fault{}, nil, nil)
			r.EndRevision, r.Until = one.end, one.until
			for index, outcome := range one.status {
				r.tell(outcome, r.Revision+1+int64(index), time.Second)
			}
			is.New(t).Equal(len(r.WrongStatuses()), one.bad)
		})
	}
	r := sample(Fault{}, nil, nil)
	r.tell(Succeeded, 6, time.Second)
	r.Until, r.Next = 7, "b"
	r.tell(Succeeded, 8, 2*time.Second)
	is.New(t).Equal(len(r.WrongStatuses()), 0) // the next order is for the same version
	r = sample(Fault{}, nil, nil)
	r.Statuses = []StatusReading{{Revision: 6, Target: "c", Outcome: Running}}
	is.New(t).Equal(len(r.WrongStatuses()), 1) // of another version
}
