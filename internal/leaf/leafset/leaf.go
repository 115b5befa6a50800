package leafset

import (
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// Leaf is a record that this node received. It is immutable.
type Leaf struct {
	// ID identifies one incarnation of the leaf; see IncarnationID.
	ID string
	Record
	// Revision is the store revision at which the record was written.
	Revision int64
	// ColdUntil is the time, by this node's clock, until which the leaf can take only a few requests; zero if it is
	// warm. It is later than the leaf's own estimate by the transmission time of the record.
	ColdUntil time.Time
}

// incarnationSeparator separates the name and the start time in a leaf's ID.
const incarnationSeparator = "@"

// IncarnationID returns the ID of a leaf's incarnation, given its start time in Unix milliseconds. If the start time is
// 0, as for leafs that get a new name at each start, the ID is the name.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + incarnationSeparator + strconv.FormatInt(born, 10)
}

// lookupByID returns the value for the name in an ID, regardless of the incarnation. It first looks up the entire ID as
// a name, because an ID without a start time is the name, which may contain the separator.
func lookupByID[V any](byName map[string]V, id string) (value V, found bool) {
	if value, found = byName[id]; found {
		return value, true
	}
	at := strings.LastIndex(id, incarnationSeparator)
	if at <= 0 {
		return value, false
	}
	value, found = byName[id[:at]]
	return value, found
}

// NewLeaf returns the leaf for a record that was written at a store revision and received at the given time.
func NewLeaf(record Record, at int64, received time.Time) *Leaf {
	leaf := &Leaf{ID: IncarnationID(record.Name, record.Born), Record: record, Revision: at}
	if record.WarmupMillis > 0 {
		leaf.ColdUntil = received.Add(time.Duration(record.WarmupMillis) * time.Millisecond)
	}
	return leaf
}

// ReplaceLeaf returns the leaf for a record that replaces the known leaf with the same name, which may be nil. If the
// record is the same write, read again in another epoch after a restore of the store, the leaf keeps its ColdUntil.
func ReplaceLeaf(known *Leaf, record Record, at int64, received time.Time) *Leaf {
	leaf := NewLeaf(record, at, received)
	if known != nil && known.Record == record && revision.Count(known.Revision) == revision.Count(at) {
		leaf.ColdUntil = known.ColdUntil
	}
	return leaf
}
