package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// change returns the next change of a catalog.
func change(known *catalog.Catalog, key string) catalog.Change {
	revision := known.Revision()
	return catalog.Change{Entry: catalog.Entry{Key: key, Value: []byte(`{}`), Revision: revision + 1}, Previous: revision}
}

// A node serves its whole state to a few nodes an interval, and refers the others to those.
func TestWholeStateIsGivenToAFewAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := catalog.New(nil)
		known.Apply(change(known, "x"))
		var states snapshotServer
		for i := range mostServed {
			served, err := states.serve(known, fmt.Sprintf("n%d", i))
			is.NoErr(err)
			is.True(len(served.Snapshot) > 0)
		}
		refused, err := states.serve(known, "n0")
		is.NoErr(err)
		is.Equal(len(refused.Snapshot), 0)
		is.Equal(len(refused.Elsewhere), mostNamed)
		for _, named := range refused.Elsewhere {
			is.True(named != "n0")
		}
		time.Sleep(serveInterval)
		served, err := states.serve(known, "n0")
		is.NoErr(err)
		is.True(len(served.Snapshot) > 0)
	})
}

// The state is packed once and served with the changes since, until they are too many.
func TestWholeStateIsPackedOnce(t *testing.T) {
	is := is.New(t)
	known := catalog.New(nil)
	known.Apply(change(known, "x"))
	var states snapshotServer
	first, err := states.refresh(known)
	is.NoErr(err)
	is.Equal(len(first), 0)
	packed := unsafe.SliceData(states.packed)
	for i := range mostSince {
		known.Apply(change(known, fmt.Sprintf("y%d", i)))
	}
	since, err := states.refresh(known)
	is.NoErr(err)
	is.Equal(len(since), mostSince)
	is.Equal(unsafe.SliceData(states.packed), packed)
	snapshot, err := states.packed.Unpack()
	is.NoErr(err)
	recipient := catalog.New(nil)
	is.True(recipient.Replace(snapshot))
	is.True(recipient.ApplyAll(since))
	is.Equal(recipient.Snapshot().Revision, known.Revision())
	is.Equal(len(recipient.Snapshot().Entries), len(known.Snapshot().Entries))
	known.Apply(change(known, "z"))
	since, err = states.refresh(known)
	is.NoErr(err)
	is.Equal(len(since), 0)
	is.Equal(states.revision, known.Revision())
}
