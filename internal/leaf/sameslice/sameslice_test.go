package sameslice

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

func TestOnlyTheSliceItselfIsTheSame(t *testing.T) {
	is := is.New(t)
	some := []int{1, 2, 3}
	is.True(Is(some, some))
	is.True(Is(some, some[:3]))
	is.True(!Is(some, some[:2]))
	is.True(!Is(some, some[1:]))
	is.True(!Is(some, slices.Clone(some)))
	is.True(Is[int](nil, nil))
}
