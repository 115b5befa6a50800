package revision

import (
	"cmp"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Revisions are ordered by epoch, then by count, and contain both.
func TestRevisionsAreOrderedByEpochThenCount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		epochs, counts := rapid.Int64Range(0, MaxEpoch), rapid.Int64Range(0, MaxCount)
		epoch, count := epochs.Draw(t, "epoch"), counts.Draw(t, "count")
		other, otherCount := epochs.Draw(t, "other epoch"), counts.Draw(t, "other count")
		one, two := At(epoch, count), At(other, otherCount)
		is.Equal(Epoch(one), epoch)
		is.Equal(Count(one), count)
		is.Equal(cmp.Compare(one, two), cmp.Or(cmp.Compare(epoch, other), cmp.Compare(count, otherCount)))
		is.Equal(IsLater(one, two), epoch > other)
	})
}

// In epoch 0 a revision is the count.
func TestRevisionOfFirstEpochIsCount(t *testing.T) {
	is := is.New(t)
	is.Equal(At(0, 65), int64(65))
	is.Equal(At(2, 65), int64(2000000000065))
}
