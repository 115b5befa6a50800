package leafset

import (
	"strconv"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/revision"
)

// Leaf is a record as this node received it; immutable.
type Leaf struct {
	// ID identifies one incarnation of the leaf, see IncarnationID.
	ID string
	Record
	// Revision is the store's revision that wrote the record.
	Revision int64
	// ColdUntil is the time, by this node's clock, until which the leaf can take only few requests; zero if it is warm. The
	// leaf is really warm a little earlier, by the time that the record took to arrive.
	ColdUntil time.Time
}

// incarnationMark separates name and start in the id of a leaf.
const incarnationMark = "@"

// IncarnationID returns the id of the incarnation of a leaf that started at a time in Unix milliseconds: the name alone if
// that is 0, for leafs that have a new name at each start.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + incarnationMark + strconv.FormatInt(born, 10)
}

// byNameOf returns the value for the name in an id, whichever incarnation the value is of. It first tries the whole id as
// a name: an id without a start time is the name alone, which may contain the mark.
func byNameOf[V any](byName map[string]V, id string) (value V, found bool) {
	if value, found = byName[id]; found {
		return value, true
	}
	at := strings.LastIndex(id, incarnationMark)
	if at <= 0 {
		return value, false
	}
	value, found = byName[id[:at]]
	return value, found
}

// NewLeaf returns the leaf of a record of a store revision that this node received at a time.
func NewLeaf(record Record, at int64, received time.Time) *Leaf {
	leaf := &Leaf{ID: IncarnationID(record.Name, record.Born), Record: record, Revision: at}
	if record.WarmupMillis > 0 {
		leaf.ColdUntil = received.Add(time.Duration(record.WarmupMillis) * time.Millisecond)
	}
	return leaf
}

// Learn returns the leaf of a record that replaces the known leaf of its name, nil if there is none. A record that is read
// again after a restore of the store, the same write in another epoch, does not make the leaf cold again.
func Learn(known *Leaf, record Record, at int64, received time.Time) *Leaf {
	leaf := NewLeaf(record, at, received)
	if known != nil && known.Record == record && revision.Count(known.Revision) == revision.Count(at) {
		leaf.ColdUntil = known.ColdUntil
	}
	return leaf
}
