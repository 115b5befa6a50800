package evidence

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// A latency is counted in the first bucket whose upper bound it does not exceed.
func TestBucketOfLatency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		took := time.Duration(rapid.Int64Range(0, int64(10*time.Minute)).Draw(t, "took"))
		bucket := bucketOf(took)
		if took > UpperBound(bucket)+time.Microsecond {
			t.Fatalf("%s is in bucket %d, which ends at %s", took, bucket, UpperBound(bucket))
		}
		if bucket > 0 && took < UpperBound(bucket-1)-time.Microsecond {
			t.Fatalf("%s is in bucket %d, but the preceding bucket ends at %s", took, bucket, UpperBound(bucket-1))
		}
	})
}

func TestAddTallies(t *testing.T) {
	is := is.New(t)
	var first, second, sum Tally
	for i := range 100 {
		took := time.Duration(i+1) * time.Millisecond
		first.Observe(i%10 == 0, took)
		sum.Observe(i%10 == 0, took)
	}
	second.ObserveCancelled(5 * time.Second)
	sum.ObserveCancelled(5 * time.Second)
	first.Add(second)
	is.Equal(first, sum)
	is.Equal(first.Attempts(), int64(101))
	is.Equal(first.Failures, int64(10))
	is.True(first.Answered.Quantile(0.5) >= 50*time.Millisecond && first.Answered.Quantile(0.5) <= 75*time.Millisecond)
	is.Equal(Histogram(nil).Quantile(0.5), time.Duration(0))
}

// An attempt that was cancelled before the limit counts neither as slow nor as known.
func TestSlowExcludesCancelledBeforeLimit(t *testing.T) {
	is := is.New(t)
	var tally Tally
	tally.Observe(false, 5*time.Millisecond)
	tally.Observe(false, 500*time.Millisecond)
	tally.ObserveCancelled(5 * time.Millisecond)
	tally.ObserveCancelled(500 * time.Millisecond)
	slow, known := tally.Slow(50 * time.Millisecond)
	is.Equal(slow, int64(2))
	is.Equal(known, int64(3))
}
