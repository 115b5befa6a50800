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

// answerFaults counts what is wrong with an answer.
type answerFaults struct {
	// Mixed rows are marked with another snapshot than the answer names.
	Mixed int
	// Foreign rows don't match the request.
	Foreign int
	// Missing rows are absent, and the answer doesn't report their range as missing.
	Missing int
	// Surplus rows are in a range that the answer reports as missing.
	Surplus int
	// WrongFraction is set if completeness, fraction and missing ranges contradict each other.
	WrongFraction bool
}

// indexCache has the sample index of each snapshot, to check answers with; safe for concurrent use.
type indexCache struct {
	header  *Header
	mutex   sync.Mutex
	indexes map[string]*sample.Index
}

func newIndexCache(header *Header) *indexCache {
	return &indexCache{header: header, indexes: map[string]*sample.Index{}}
}

func (c *indexCache) index(snapshot string) *sample.Index {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if known, found := c.indexes[snapshot]; found {
		return known
	}
	built, err := sample.Build(c.header.Dataset, c.header.Seed, c.header.Records, snapshot)
	if err != nil {
		built = &sample.Index{Snapshot: snapshot}
	}
	c.indexes[snapshot] = built
	return built
}

func (c *indexCache) randomRange(random *rand.Rand) *searchv1.KeyRange {
	records := c.index(c.header.Services[0].Snapshot).Records
	first, second := random.IntN(len(records)), random.IntN(len(records))
	if first == second {
		return nil
	}
	return &searchv1.KeyRange{From: records[min(first, second)].Key, To: records[max(first, second)].Key}
}

// check compares an answer with the rows of the snapshot that it names.
func (c *indexCache) check(request *searchv1.SearchRequest, response *searchv1.SearchResponse) answerFaults {
	report := response.GetReport()
	index := c.index(report.GetSnapshotId())
	queried := keyspace.Range{From: request.GetRange().GetFrom(), To: request.GetRange().GetTo()}
	if next := report.GetNextKey(); next != "" {
		queried.To = next
	}
	var missing []keyspace.Range
	for _, part := range report.GetCoverage().GetMissing() {
		missing = append(missing, keyspace.Range{From: part.GetRange().GetFrom(), To: part.GetRange().GetTo()})
	}
	result := answerFaults{WrongFraction: report.GetCoverage().GetComplete() != (len(missing) == 0) ||
		(report.GetCoverage().GetFraction() == 1) != (len(missing) == 0)}
	expected := expectedRows(index, queried, request.GetFilter())
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

// expectedRows returns the rows that match a request, by key. The check removes each that it finds, so that a row that comes
// twice is foreign the second time.
func expectedRows(index *sample.Index, queried keyspace.Range, filter string) map[string][]byte {
	expected := map[string][]byte{}
	for _, record := range index.In(queried) {
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
