// Package keyspace computes with half-open intervals of keys.
//
// Keys are byte strings in lexical order. A Range with an empty To has no upper end, so the zero Range is the
// whole key space. The package has no state.
package keyspace

import (
	"sort"
)

// Range is the interval [From, To); an empty To means no upper end.
type Range struct {
	From string
	To   string
}

// Contains reports whether the key lies in the range.
func (r Range) Contains(key string) bool {
	return key >= r.From && (r.To == "" || key < r.To)
}

// Empty reports whether no key lies in the range.
func (r Range) Empty() bool {
	return r.To != "" && r.From >= r.To
}

// Intersect returns the common part of two ranges, and whether there is one.
func (r Range) Intersect(other Range) (Range, bool) {
	common := Range{From: max(r.From, other.From), To: lowerEnd(r.To, other.To)}
	return common, !common.Empty()
}

// Covers reports whether every key of other lies in r.
func (r Range) Covers(other Range) bool {
	if other.Empty() {
		return true
	}
	return r.From <= other.From && endAtMost(other.To, r.To)
}

// Subtract returns the parts of r that none of the given ranges covers, in order.
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

// lowerEnd returns the smaller of two upper ends, where empty means none.
func lowerEnd(a, b string) string {
	if a == "" {
		return b
	}
	if b == "" {
		return a
	}
	return min(a, b)
}

// endAtMost reports whether upper end a is not beyond upper end b.
func endAtMost(a, b string) bool {
	if b == "" {
		return true
	}
	return a != "" && a <= b
}
