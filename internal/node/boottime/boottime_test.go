package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestSystemClockAdvances(t *testing.T) {
	is := is.New(t)
	clock, err := System()
	is.NoErr(err)
	first := clock.Now()
	time.Sleep(2 * time.Millisecond)
	is.True(clock.Since(first) >= 2*time.Millisecond)
}

func TestNilClockIsMonotonicClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var clock Clock
		start := clock.Now()
		time.Sleep(time.Hour)
		is.Equal(clock.Since(start), time.Hour)
	})
}

func BenchmarkSystem(b *testing.B) {
	clock, err := System()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		clock.Now()
	}
}
