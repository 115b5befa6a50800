package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
)

// The estimate rises while answers are late and falls when they are in time again.
func TestDelayEstimateRisesAndFalls(t *testing.T) {
	is := is.New(t)
	var lag delayEstimator
	is.Equal(lag.expected(time.Second), time.Duration(0))
	for range 20 {
		lag.observe(30 * time.Millisecond)
	}
	is.True((30*time.Millisecond - lag.expected(time.Second)).Abs() < time.Millisecond)
	is.Equal(lag.expected(40*time.Millisecond), 10*time.Millisecond) // at most a quarter of the objective
	for range 100 {
		lag.observe(-time.Millisecond)
	}
	is.True(lag.expected(time.Second) < time.Millisecond)
}

// A partial answer is sent earlier by the lag, and an answer that is in time lowers the estimate.
func TestLagOfPartialAnswersIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g, _ := newGateway(t, &scriptedLeafs{answer: func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf == "s0a" || leaf == "s0b" {
				return time.Hour, nil, nil
			}
			return time.Millisecond, answered(200, records(leaf)), nil
		}})
		request := newRequest("/pages/1")
		started := time.Now()
		answer, err := g.Serve(t.Context(), request)
		is.NoErr(err)
		is.Equal(answer.Missing, 1)
		took := time.Since(started)
		for range 20 {
			g.lag.observe(20 * time.Millisecond)
		}
		started = time.Now()
		_, err = g.Serve(t.Context(), newRequest("/pages/1"))
		is.NoErr(err)
		is.True((took - time.Since(started) - 20*time.Millisecond).Abs() < time.Millisecond)
		is.True(g.lag.estimate < 20*time.Millisecond) // this answer was in time
	})
}
