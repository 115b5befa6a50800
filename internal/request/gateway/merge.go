package gateway

import (
	"bytes"
	"container/heap"
	"slices"
)

// recordBytes is the size of one record of a gathered part.
const recordBytes = 16

// recordHeap is a min-heap of the records that are kept; the least is first.
type recordHeap [][]byte

// Len, Less and Swap implement heap.Interface.
func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *recordHeap) Push(record any) { *h = append(*h, record.([]byte)) }

// Pop implements heap.Interface.
func (h *recordHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// topRecords returns the greatest records of all parts in descending byte order. It keeps equal records and ignores an
// incomplete record at the end of a part.
func topRecords(parts [][]byte, limit int) []byte {
	if limit <= 0 {
		return nil
	}
	kept := make(recordHeap, 0, limit)
	for _, part := range parts {
		for ; len(part) >= recordBytes; part = part[recordBytes:] {
			record := part[:recordBytes]
			if len(kept) < limit {
				heap.Push(&kept, record)
				continue
			}
			if bytes.Compare(record, kept[0]) > 0 {
				kept[0] = record
				heap.Fix(&kept, 0)
			}
		}
	}
	slices.SortFunc(kept, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(kept, nil)
}
