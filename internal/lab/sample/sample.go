// Package sample generates sample indexes from a seed: map tiles keyed by kind and place, and invoices keyed by debtor and
// number. Equal arguments produce equal indexes.
package sample

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/failure"
)

// Dataset names a sample index.
type Dataset string

// The sample indexes.
const (
	Tiles    Dataset = "tiles"
	Invoices Dataset = "invoices"
)

// Record is a row of an index.
type Record struct {
	Key   string
	Value []byte
}

// Index contains all records of a snapshot, sorted by key.
type Index struct {
	Snapshot string
	Records  []Record
}

// absentOneIn is the mean number of records of which Build omits one. A hash of snapshot and key selects the omitted records,
// so snapshots differ in their keys.
const absentOneIn = 16

func Build(dataset Dataset, seed uint64, count int, snapshot string) (*Index, error) {
	rng := rand.New(rand.NewPCG(seed, 7))
	index := &Index{Snapshot: snapshot}
	for number := range count {
		key, value, err := makeRecord(dataset, rng, number, snapshot)
		if err != nil {
			return nil, err
		}
		if xxhash.Sum64String(snapshot+"\x00"+key)%absentOneIn == 0 {
			continue
		}
		index.Records = append(index.Records, Record{Key: key, Value: value})
	}
	sort.Slice(index.Records, func(i, j int) bool { return index.Records[i].Key < index.Records[j].Key })
	return index, nil
}

// tile is the value of a record of Tiles.
type tile struct {
	Snapshot string  `json:"snapshot"`
	Kind     string  `json:"kind"`
	Zoom     int     `json:"zoom"`
	Cloud    float64 `json:"cloud"`
	Bytes    int     `json:"bytes"`
}

// invoice is the value of a record of Invoices.
type invoice struct {
	Snapshot string `json:"snapshot"`
	Debtor   string `json:"debtor"`
	Cents    int64  `json:"cents"`
	DueDay   int    `json:"due_day"`
	Funded   bool   `json:"funded"`
}

var (
	places  = []string{"limfjord", "mariager", "vejle", "skagen", "thy", "djursland", "horsens", "herning"}
	kinds   = []string{"coast", "field"}
	debtors = []string{"ashgrove", "burrow", "clancy", "donnelly", "eastwall", "fenian", "glasnevin", "howth"}
)

func makeRecord(dataset Dataset, rng *rand.Rand, number int, snapshot string) (string, []byte, error) {
	switch dataset {
	case Tiles:
		kind, place, zoom := kinds[rng.IntN(len(kinds))], places[rng.IntN(len(places))], 8+rng.IntN(8)
		key := fmt.Sprintf("%s/%s/%05d/z%02d", kind, place, number, zoom)
		value, err := json.Marshal(tile{Snapshot: snapshot, Kind: kind, Zoom: zoom, Cloud: float64(rng.IntN(100)) / 100, Bytes: 1000 + rng.IntN(60000)})
		return key, value, err
	case Invoices:
		debtor := fmt.Sprintf("%s-%03d", debtors[rng.IntN(len(debtors))], rng.IntN(200))
		key := fmt.Sprintf("%s/%06d", debtor, number)
		value, err := json.Marshal(invoice{Snapshot: snapshot, Debtor: debtor, Cents: rng.Int64N(5_000_000), DueDay: rng.IntN(365), Funded: rng.IntN(2) == 0})
		return key, value, err
	}
	return "", nil, failure.Invalid("dataset", "%q is invalid; must be %q or %q", dataset, Tiles, Invoices)
}

func (index *Index) In(keys keyspace.Range) []Record {
	start := sort.Search(len(index.Records), func(i int) bool { return index.Records[i].Key >= keys.From })
	end := len(index.Records)
	if keys.To != "" {
		end = sort.Search(len(index.Records), func(i int) bool { return index.Records[i].Key >= keys.To })
	}
	return index.Records[start:max(start, end)]
}

// Split returns the key ranges of count shards of nearly equal size, which together cover all keys.
func (index *Index) Split(count int) []keyspace.Range {
	ranges := make([]keyspace.Range, count)
	previous := ""
	for number := range count {
		ranges[number].From = previous
		if number == count-1 {
			break
		}
		previous = index.Records[(number+1)*len(index.Records)/count].Key
		ranges[number].To = previous
	}
	return ranges
}
