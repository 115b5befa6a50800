package keyspace

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func drawRange(t *rapid.T, label string) Range {
	key := rapid.StringMatching("[a-d]{0,3}")
	return Range{From: key.Draw(t, label+" from"), To: key.Draw(t, label+" to")}
}

// Every key of a range is either in a covered range or in exactly one missing range.
func TestSubtractSplitsEveryKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queried := drawRange(t, "queried")
		var covered []Range
		for range rapid.IntRange(0, 4).Draw(t, "count") {
			covered = append(covered, drawRange(t, "covered"))
		}
		missing := queried.Subtract(covered)
		key := rapid.StringMatching("[a-d]{0,4}").Draw(t, "key")
		isCovered := false
		for _, covering := range covered {
			isCovered = isCovered || covering.Contains(key)
		}
		times := 0
		for _, covering := range missing {
			if covering.Empty() {
				t.Fatalf("empty missing range %v", covering)
			}
			if covering.Contains(key) {
				times++
			}
		}
		expected := 0
		if queried.Contains(key) && !isCovered {
			expected = 1
		}
		if times != expected {
			t.Fatalf("key %q is in %d missing ranges of %v, expected %d", key, times, missing, expected)
		}
	})
}

func TestIntersectAndCovers(t *testing.T) {
	is := is.New(t)
	common, overlaps := Range{From: "b"}.Intersect(Range{To: "d"})
	is.True(overlaps)
	is.Equal(common, Range{From: "b", To: "d"})
	_, overlaps = Range{From: "b", To: "c"}.Intersect(Range{From: "c"})
	is.True(!overlaps)
	is.True(Range{}.Covers(Range{From: "x"}))
	is.True(!Range{To: "x"}.Covers(Range{From: "a"}))
	is.True(Range{From: "a", To: "b"}.Covers(Range{From: "q", To: "c"})) // an empty range is covered by every range
}
