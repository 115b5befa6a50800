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

// change returns a change that follows a catalog's revision.
func change(node *catalog.Catalog, key string) catalog.Change {
	revision := node.Revision()
	return catalog.Change{Entry: catalog.Entry{Key: key, Value: []byte(`{}`), Revision: revision + 1}, Previous: revision}
}

// A node serves its whole state to a few nodes per interval, and refers further nodes to them.
func TestSnapshotServingIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		node := catalog.New(nil)
		node.Apply(change(node, "x"))
		var states snapshotServer
		for i := range maxServed {
			served, err := states.serve(node, fmt.Sprintf("n%d", i))
			is.NoErr(err)
			is.True(len(served.Snapshot) > 0)
		}
		refused, err := states.serve(node, "n0")
		is.NoErr(err)
		is.Equal(len(refused.Snapshot), 0)
		is.Equal(len(refused.Alternatives), maxReferrals)
		for _, named := range refused.Alternatives {
			is.True(named != "n0")
		}
		time.Sleep(serveInterval)
		served, err := states.serve(node, "n0")
		is.NoErr(err)
		is.True(len(served.Snapshot) > 0)
	})
}

// The state is packed once and served with the changes since, until there are too many.
func TestSnapshotIsPackedOnce(t *testing.T) {
	is := is.New(t)
	node := catalog.New(nil)
	node.Apply(change(node, "x"))
	var states snapshotServer
	first, err := states.refresh(node)
	is.NoErr(err)
	is.Equal(len(first), 0)
	packed := unsafe.SliceData(states.packed)
	for i := range maxChangesSince {
		node.Apply(change(node, fmt.Sprintf("y%d", i)))
	}
	since, err := states.refresh(node)
	is.NoErr(err)
	is.Equal(len(since), maxChangesSince)
	is.Equal(unsafe.SliceData(states.packed), packed)
	snapshot, err := states.packed.Unpack(nil)
	is.NoErr(err)
	recipient := catalog.New(nil)
	is.True(recipient.Replace(snapshot))
	is.True(recipient.ApplyAll(since))
	is.Equal(recipient.Snapshot().Revision, node.Revision())
	is.Equal(len(recipient.Snapshot().Entries), len(node.Snapshot().Entries))
	node.Apply(change(node, "z"))
	since, err = states.refresh(node)
	is.NoErr(err)
	is.Equal(len(since), 0)
	is.Equal(states.revision, node.Revision())
}
