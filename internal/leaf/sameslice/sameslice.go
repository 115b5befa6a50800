// Package sameslice tells whether two slices are one and the same, without looking at their elements: what
// was worked out from a slice that is never changed holds as long as the slice is the same.
package sameslice

import "unsafe"

// Is reports whether two slices share their first element and their length. Empty slices are the same only
// if neither was allocated, or both come from one.
func Is[T any](a, b []T) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}
