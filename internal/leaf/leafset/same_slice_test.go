package leafset

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestSameSlice(t *testing.T) {
	is := is.New(t)
	some := []int{1, 2, 3}
	is.True(SameSlice(some, some))
	is.True(SameSlice(some, some[:3]))
	is.True(!SameSlice(some, some[:2]))
	is.True(!SameSlice(some, some[1:]))
	is.True(!SameSlice(some, slices.Clone(some)))
	is.True(SameSlice[int](nil, nil))
}
