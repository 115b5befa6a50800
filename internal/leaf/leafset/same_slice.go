package leafset

import "unsafe"

// SameSlice reports whether a and b share their first element and their length, without comparing elements. A value
// computed from a slice that is never modified stays valid while the slice is the same. Empty slices are the same only
// if neither was allocated, or both come from one allocation.
func SameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}
