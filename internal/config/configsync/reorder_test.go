package configsync

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Once all pushes have arrived, in any order, all changes are in force without a pull from a peer.
func TestPushesInAnyOrderAreApplied(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0)
	f.platform.cutOff["z0-n0"] = true
	f.start("z0-n0", "z0")
	defer f.nodes["z0-n0"].stop()
	node := f.nodes["z0-n0"]
	const pushes, changesEach = 5, 60
	var batches []peer.Push
	revision := int64(0)
	for range pushes {
		var changes []catalog.Change
		for range changesEach {
			changes = append(changes, catalog.Change{Entry: catalog.Entry{Key: "x", Value: []byte(`{}`), Revision: revision + 1}, Previous: revision})
			revision++
		}
		batch, err := peer.PackBatch(changes)
		is.NoErr(err)
		batches = append(batches, peer.Push{Batch: batch})
	}
	for _, number := range []int{2, 4, 1, 3} {
		node.syncer.HandlePush("nowhere", batches[number])
		is.Equal(node.catalog.Revision(), int64(0))
	}
	node.syncer.HandlePush("nowhere", batches[0])
	is.Equal(node.catalog.Revision(), revision)
	is.Equal(len(node.syncer.reorder.changes), 0)
}

// Once all changes have arrived, in any order and some of them twice, all are in force and none is buffered.
func TestReorderedChangesAreAllApplied(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var log []catalog.Change
		for revision := range int64(rapid.IntRange(1, 40).Draw(t, "changes")) {
			log = append(log, catalog.Change{Entry: catalog.Entry{Key: "x", Value: []byte(`{}`), Revision: revision + 1}, Previous: revision})
		}
		order := rapid.Permutation(log).Draw(t, "order")
		node := catalog.New(nil)
		var buffer reorderBuffer
		for part := range slices.Chunk(order, rapid.IntRange(1, 7).Draw(t, "part")) {
			buffer.apply(node, part)
			if rapid.Bool().Draw(t, "twice") {
				buffer.apply(node, part)
			}
		}
		if node.Revision() != int64(len(log)) || len(buffer.changes) != 0 {
			t.Fatalf("revision %d of %d, %d buffered", node.Revision(), len(log), len(buffer.changes))
		}
	})
}

// The buffer is bounded in number and in bytes.
func TestReorderBufferIsBounded(t *testing.T) {
	is := is.New(t)
	node := catalog.New(nil)
	var buffer reorderBuffer
	large := make([]byte, maxReorderBytes/4)
	for i := range int64(10) {
		buffer.apply(node, []catalog.Change{{Entry: catalog.Entry{Key: "x", Value: large, Revision: 10 + i}, Previous: 9 + i}})
	}
	is.Equal(len(buffer.changes), 4)
	is.Equal(buffer.changes[0].Entry.Revision, int64(10)) // the earliest changes are kept
	buffer = reorderBuffer{}
	var many []catalog.Change
	for i := range int64(maxReordered + 100) {
		many = append(many, catalog.Change{Entry: catalog.Entry{Key: "x", Revision: 10 + i}, Previous: 9 + i})
	}
	buffer.apply(node, many)
	is.Equal(len(buffer.changes), maxReordered)
}
