package gateway

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The result equals the first records after sorting all records in descending order.
func TestTopRecordsMatchSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 12).Draw(t, "limit")
		var parts, all [][]byte
		for range rapid.IntRange(0, 5).Draw(t, "parts") {
			var part []byte
			for range rapid.IntRange(0, 8).Draw(t, "records") {
				record := bytes.Repeat([]byte{byte(rapid.IntRange(0, 5).Draw(t, "value"))}, recordBytes)
				part = append(part, record...)
				all = append(all, record)
			}
			parts = append(parts, append(part, bytes.Repeat([]byte{9}, rapid.IntRange(0, recordBytes-1).Draw(t, "rest"))...))
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		wanted := bytes.Join(all[:min(limit, len(all))], nil)
		if got := topRecords(parts, limit); !bytes.Equal(got, wanted) {
			t.Fatalf("got %v, wanted %v", got, wanted)
		}
	})
}
