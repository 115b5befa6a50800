// Package keyspace implements operations on half-open intervals of keys.
//
// Keys are byte strings in lexical order. A Range with an empty To has no upper bound, so the zero Range is the whole key
// space.
package keyspace

import (
	"sort"
)

// Range is the interval [From, To). An empty To means that there is no upper bound.
type Range struct {
	From string
	To   string
}

func (r Range) Contains(key string) bool {
	return key >= r.From && (r.To == "" || key < r.To)
}

// Empty reports whether the range contains no key.
func (r Range) Empty() bool {
	return r.To != "" && r.From >= r.To
}

// Intersect returns the intersection of two ranges and reports whether it is not empty.
func (r Range) Intersect(other Range) (Range, bool) {
	common := Range{From: max(r.From, other.From), To: lowerEnd(r.To, other.To)}
	return common, !common.Empty()
}

// Covers reports whether r contains every key of other.
func (r Range) Covers(other Range) bool {
	if other.Empty() {
		return true
	}
	return r.From <= other.From && endAtMost(other.To, r.To)
}

// Subtract returns the parts of r that none of the given ranges covers, in key order.
func (r Range) Subtract(covered []Range) []Range {
	ordered := append([]Range(nil), covered...)
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].From < ordered[j].From })
	var missing []Range
	position := r.From
	for _, covering := range ordered {
		common, overlaps := covering.Intersect(Range{From: position, To: r.To})
		if !overlaps {
			continue
		}
		if common.From > position {
			missing = append(missing, Range{From: position, To: common.From})
		}
		if common.To == "" {
			return missing
		}
		position = common.To
	}
	rest := Range{From: position, To: r.To}
	if !rest.Empty() {
		missing = append(missing, rest)
	}
	return missing
}

// After returns the smallest key greater than the given one.
func After(key string) string {
	return key + "\x00"
}

// lowerEnd returns the smaller of two upper bounds. An empty one means that there is no bound.
func lowerEnd(a, b string) string {
	if a == "" {
		return b
	}
	if b == "" {
		return a
	}
	return min(a, b)
}

// endAtMost reports whether upper bound a is at most upper bound b. An empty one means that there is no bound.
func endAtMost(a, b string) bool {
	if b == "" {
		return true
	}
	return a != "" && a <= b
}
