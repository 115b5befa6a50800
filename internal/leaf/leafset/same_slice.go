package leafset

import "unsafe"

// SameSlice reports whether a and b start at the same address and have the same length, without comparing elements. It
// detects whether a value computed from a slice that is never modified is still valid. Two empty slices are the same
// only if both are nil or share their backing array.
func SameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}
