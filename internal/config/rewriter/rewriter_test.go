package rewriter

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

var errDown = errors.New("down")

// memoryStore is a store in its second epoch; nodes may not write some of its keys.
type memoryStore struct {
	store.Store
	mu      sync.Mutex
	count   int64
	entries map[string]catalog.Entry
	foreign string // prefix of the keys that nodes may not write
	down    bool
	writes  []string
}

func (m *memoryStore) MayWrite(key string) bool { return !strings.HasPrefix(key, m.foreign) }

func (m *memoryStore) Get(_ context.Context, key string) (*catalog.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, errDown
	}
	entry, found := m.entries[key]
	if !found {
		return nil, nil
	}
	return &entry, nil
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, remove bool) (store.SwapResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.SwapResult{}, errDown
	}
	if !m.MayWrite(key) {
		return store.SwapResult{}, failure.Invalid("key", "%s", key)
	}
	known, found := m.entries[key]
	if found && known.Revision != expected || !found && expected != 0 {
		return store.SwapResult{}, nil
	}
	m.count++
	entry := catalog.Entry{Key: key, Value: value, Revision: revision.At(1, m.count), Deleted: remove}
	m.entries[key] = entry
	m.writes = append(m.writes, key)
	return store.SwapResult{Swapped: true, Entry: &entry}, nil
}

func (m *memoryStore) written() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.writes)
}

type silent struct{}

func (silent) Rewritten(string, error) {}

// entry returns an entry with a document.
func entry(t *testing.T, key string, document any, at int64) catalog.Entry {
	t.Helper()
	encoded, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	value, err := catalog.NewDocument("", encoded, nil)
	if err != nil {
		t.Fatal(err)
	}
	return catalog.Entry{Key: key, Value: value, Revision: at}
}

// restored returns the catalog of a node after a restore by which the store lost some entries and kept others.
func restored(t *testing.T, lost, left []catalog.Entry, nodes int) *catalog.Catalog {
	t.Helper()
	known := catalog.New(func(key string, err error) { t.Error(key, err) })
	before := catalog.Snapshot{Revision: 100, Entries: slices.Concat(lost, left)}
	after := catalog.Snapshot{Revision: revision.At(1, 50)}
	for _, one := range left {
		one.Revision = revision.At(1, one.Revision)
		after.Entries = append(after.Entries, one)
	}
	for number := range nodes {
		id := fmt.Sprint("n", number)
		record := entry(t, catalog.NodeKey(id), catalog.NodeRecord{ID: id}, 1)
		before.Entries = append(before.Entries, record)
		record.Revision = revision.At(1, 1)
		after.Entries = append(after.Entries, record)
	}
	known.Replace(before)
	known.Replace(after)
	return known
}

// run runs the writers of some nodes for a while.
func run(t *testing.T, kept *memoryStore, known *catalog.Catalog, ids []string, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var running sync.WaitGroup
	for _, id := range ids {
		running.Go(func() { New(known, kept, id, silent{}).Run(ctx) })
	}
	running.Wait()
}

// What the fleet wrote is rewritten once, by one of the nodes; leafs rewrite their own records.
func TestLostEntriesAreWrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := []catalog.Entry{
			entry(t, catalog.EvacuationKey("a"), struct{}{}, 90), entry(t, catalog.EvacuationKey("b"), struct{}{}, 91),
			entry(t, catalog.LeafKey("l"), leafset.Record{Name: "l", Service: "s", Address: "127.0.0.1:1", State: leafset.Ready}, 92),
		}
		kept := &memoryStore{entries: map[string]catalog.Entry{}, count: 50, foreign: catalog.LeafKey("")}
		known := restored(t, lost, nil, 3)
		is.Equal(len(known.RetainedEntries()), 3)
		run(t, kept, known, []string{"n0", "n1", "n2"}, 2500*time.Millisecond)
		written := kept.written()
		slices.Sort(written)
		is.Equal(written, []string{catalog.EvacuationKey("a"), catalog.EvacuationKey("b")})
		is.Equal(len(known.RetainedEntries()), 2) // no node may write the leaf's record
	})
}

// If the first node writes nothing, the others take over one after the other; while the store is down, nothing is lost.
func TestOthersTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := []catalog.Entry{entry(t, catalog.EvacuationKey("a"), struct{}{}, 90)}
		kept := &memoryStore{entries: map[string]catalog.Entry{}, count: 50, foreign: "none", down: true}
		known := restored(t, lost, nil, 3)
		for _, id := range []string{"n0", "n1", "n2"} {
			run(t, kept, known, []string{id}, 6*time.Second)
		}
		is.Equal(len(kept.written()), 0)
		kept.down = false
		run(t, kept, known, []string{"n2"}, 12*time.Second)
		is.True(len(kept.written()) > 0)
	})
}

// A newer entry that somebody wrote meanwhile is not replaced.
func TestNewerIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		key := catalog.ServiceKey("s")
		value, err := catalog.NewEnvelope("lost", nil, nil)
		is.NoErr(err)
		lost := catalog.Entry{Key: key, Value: value, Revision: 90, Deleted: true}
		other, err := catalog.NewEnvelope("other", nil, nil)
		is.NoErr(err)
		kept := &memoryStore{entries: map[string]catalog.Entry{key: {Key: key, Value: other, Revision: revision.At(1, 51)}}, count: 51, foreign: "none"}
		known := restored(t, []catalog.Entry{lost}, nil, 1)
		is.Equal(len(known.RetainedEntries()), 1)
		run(t, kept, known, []string{"n0"}, 5*time.Second)
		is.Equal(len(kept.written()), 0)
	})
}
