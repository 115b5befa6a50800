package replay

import (
	"bytes"
	"math/rand/v2"
	"sync"

	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/request/search"
)

// answerFaults counts the faults of an answer.
type answerFaults struct {
	// Mixed counts rows of a snapshot other than the one that the answer names.
	Mixed int
	// Foreign counts rows that don't match the request, and repeated rows.
	Foreign int
	// Missing counts absent rows whose range the answer doesn't report as missing.
	Missing int
	// Surplus counts rows in a range that the answer reports as missing.
	Surplus int
	// WrongFraction is set if the completeness, the fraction and the missing ranges contradict each other.
	WrongFraction bool
}

// indexCache caches the sample index of each snapshot, against which answers are checked. It is safe for concurrent use.
type indexCache struct {
	header  *Header
	mu      sync.Mutex
	indexes map[string]*sample.Index
}

func newIndexCache(header *Header) *indexCache {
	return &indexCache{header: header, indexes: map[string]*sample.Index{}}
}

func (c *indexCache) index(snapshot string) *sample.Index {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cached, found := c.indexes[snapshot]; found {
		return cached
	}
	built, err := sample.Build(c.header.Dataset, c.header.Seed, c.header.Records, snapshot)
	if err != nil {
		built = &sample.Index{Snapshot: snapshot}
	}
	c.indexes[snapshot] = built
	return built
}

func (c *indexCache) randomRange(rng *rand.Rand) *searchv1.KeyRange {
	records := c.index(c.header.Services[0].Snapshot).Records
	first, second := rng.IntN(len(records)), rng.IntN(len(records))
	if first == second {
		return nil
	}
	return &searchv1.KeyRange{From: records[min(first, second)].Key, To: records[max(first, second)].Key}
}

// check compares an answer with the rows of the snapshot that the answer names.
func (c *indexCache) check(request *searchv1.SearchRequest, response *searchv1.SearchResponse) answerFaults {
	report := response.GetReport()
	index := c.index(report.GetSnapshotId())
	keys := keyspace.Range{From: request.GetRange().GetFrom(), To: request.GetRange().GetTo()}
	if next := report.GetNextKey(); next != "" {
		keys.To = next
	}
	var missing []keyspace.Range
	for _, part := range report.GetCoverage().GetMissing() {
		missing = append(missing, keyspace.Range{From: part.GetRange().GetFrom(), To: part.GetRange().GetTo()})
	}
	result := answerFaults{WrongFraction: report.GetCoverage().GetComplete() != (len(missing) == 0) ||
		(report.GetCoverage().GetFraction() == 1) != (len(missing) == 0)}
	expected := expectedRows(index, keys, request.GetFilter())
	for _, row := range response.GetRows() {
		value, found := expected[row.GetKey()]
		switch {
		case !bytes.Contains(row.GetValue(), []byte(`"snapshot":"`+report.GetSnapshotId()+`"`)):
			result.Mixed++
		case !found || !bytes.Equal(value, row.GetValue()):
			result.Foreign++
		case inAny(missing, row.GetKey()):
			result.Surplus++
		}
		delete(expected, row.GetKey())
	}
	for key := range expected {
		if !inAny(missing, key) {
			result.Missing++
		}
	}
	return result
}

// expectedRows returns the rows that match a request, by key. The check deletes each row that it finds, so a repeated row
// counts as foreign.
func expectedRows(index *sample.Index, keys keyspace.Range, filter string) map[string][]byte {
	expected := map[string][]byte{}
	for _, record := range index.In(keys) {
		if search.Matches(filter, record.Key, record.Value) {
			expected[record.Key] = record.Value
		}
	}
	return expected
}

func inAny(ranges []keyspace.Range, key string) bool {
	for _, keys := range ranges {
		if keys.Contains(key) {
			return true
		}
	}
	return false
}
