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

// memoryStore is an in-memory store in its second epoch.
type memoryStore struct {
	store.Store
	mu              sync.Mutex
	count           int64
	entries         map[string]catalog.Entry
	protectedPrefix string // prefix of keys that nodes must not write
	down            bool
	writes          []string
}

func (m *memoryStore) MayWrite(key string) bool { return !strings.HasPrefix(key, m.protectedPrefix) }

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

type discardEvents struct{}

func (discardEvents) Rewritten(string, error) {}

// entry returns an entry that holds a document.
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

// restored returns the catalog of a node after a restore that lost some of the store's entries.
func restored(t *testing.T, lost, kept []catalog.Entry, nodes int) *catalog.Catalog {
	t.Helper()
	node := catalog.New(func(key string, err error) { t.Error(key, err) })
	before := catalog.Snapshot{Revision: 100, Entries: slices.Concat(lost, kept)}
	after := catalog.Snapshot{Revision: revision.At(1, 50)}
	for _, stored := range kept {
		stored.Revision = revision.At(1, stored.Revision)
		after.Entries = append(after.Entries, stored)
	}
	for number := range nodes {
		id := fmt.Sprint("n", number)
		record := entry(t, catalog.NodeKey(id), catalog.NodeRecord{ID: id}, 1)
		before.Entries = append(before.Entries, record)
		record.Revision = revision.At(1, 1)
		after.Entries = append(after.Entries, record)
	}
	node.Replace(before)
	node.Replace(after)
	return node
}

// run runs the writers of the given nodes for a time span.
func run(t *testing.T, target *memoryStore, node *catalog.Catalog, ids []string, span time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var running sync.WaitGroup
	for _, id := range ids {
		running.Go(func() { New(node, target, id, discardEvents{}).Run(ctx) })
	}
	running.Wait()
}

// An entry that nodes may write is rewritten once, by one node. Records of leafs are not rewritten by nodes.
func TestLostEntriesAreRewrittenOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := []catalog.Entry{
			entry(t, catalog.EvacuationKey("a"), struct{}{}, 90), entry(t, catalog.EvacuationKey("b"), struct{}{}, 91),
			entry(t, catalog.LeafKey("l"), leafset.Record{Name: "l", Service: "s", Address: "127.0.0.1:1", State: leafset.Ready}, 92),
		}
		target := &memoryStore{entries: map[string]catalog.Entry{}, count: 50, protectedPrefix: catalog.LeafKey("")}
		node := restored(t, lost, nil, 3)
		is.Equal(len(node.RetainedEntries()), 3)
		run(t, target, node, []string{"n0", "n1", "n2"}, 2500*time.Millisecond)
		written := target.written()
		slices.Sort(written)
		is.Equal(written, []string{catalog.EvacuationKey("a"), catalog.EvacuationKey("b")})
		is.Equal(len(node.RetainedEntries()), 2) // the leaf's record is no longer retained
	})
}

// If the first node is down, the next ones take over in turn. Entries stay retained while the store is unavailable.
func TestNextRankedNodesTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lost := []catalog.Entry{entry(t, catalog.EvacuationKey("a"), struct{}{}, 90)}
		target := &memoryStore{entries: map[string]catalog.Entry{}, count: 50, protectedPrefix: "none", down: true}
		node := restored(t, lost, nil, 3)
		for _, id := range []string{"n0", "n1", "n2"} {
			run(t, target, node, []string{id}, 6*time.Second)
		}
		is.Equal(len(target.written()), 0)
		target.down = false
		run(t, target, node, []string{"n2"}, 12*time.Second)
		is.True(len(target.written()) > 0)
	})
}

// An entry that was written after the restore and is newer than the retained one is not replaced.
func TestNewerEntryIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		key := catalog.ServiceKey("s")
		value, err := catalog.NewEnvelope("lost", nil, nil)
		is.NoErr(err)
		lost := catalog.Entry{Key: key, Value: value, Revision: 90, Deleted: true}
		other, err := catalog.NewEnvelope("other", nil, nil)
		is.NoErr(err)
		target := &memoryStore{entries: map[string]catalog.Entry{key: {Key: key, Value: other, Revision: revision.At(1, 51)}}, count: 51, protectedPrefix: "none"}
		node := restored(t, []catalog.Entry{lost}, nil, 1)
		is.Equal(len(node.RetainedEntries()), 1)
		run(t, target, node, []string{"n0"}, 5*time.Second)
		is.Equal(len(target.written()), 0)
	})
}
