package rolloutcontrol

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/rollout"
)

var errStore = errors.New("the store does not answer")

// memoryStore is a store that fails on request.
type memoryStore struct {
	store.Store
	mu       sync.Mutex
	entries  map[string]catalog.Entry
	revision int64
	changed  func()
	isDown   bool
	refused  map[string]bool // by node
	// loseDone and loseUndone are how many more writes lose their answers, after they were done and before.
	loseDone, loseUndone int
	calls                map[string]int // by node
	states               []rollout.State
	// standing are the revisions of the specs in force when the states were written, 0 for none.
	standing []int64
}

// storeView is the store as one node reaches it.
type storeView struct {
	*memoryStore
	node *testNode
}

const storeDelay = 5 * time.Millisecond

// reach is one call: it is counted, takes time, and waits while its node is paused.
func (v storeView) reach(ctx context.Context) error {
	v.mu.Lock()
	v.calls[v.node.id]++
	v.mu.Unlock()
	time.Sleep(storeDelay)
	v.node.awake()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isDown || v.refused[v.node.id] || v.node.isCut() {
		return errStore
	}
	return ctx.Err()
}

func (v storeView) Get(ctx context.Context, key string) (*catalog.Entry, error) {
	if err := v.reach(ctx); err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.find(key), nil
}

func (v storeView) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, _ bool) (store.SwapResult, error) {
	return v.CompareAndSwapIf(ctx, nil, key, expected, value)
}

func (v storeView) CompareAndSwapIf(ctx context.Context, conditions []store.Condition, key string, expected int64, value []byte) (store.SwapResult, error) {
	if err := v.reach(ctx); err != nil {
		return store.SwapResult{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loseUndone > 0 {
		v.loseUndone--
		return store.SwapResult{}, errStore
	}
	for _, condition := range append(conditions, store.Condition{Key: key, Revision: expected}) {
		if v.find(condition.Key).LiveRevision() != condition.Revision {
			return store.SwapResult{Entry: v.find(key)}, nil
		}
	}
	v.put(key, value)
	if v.loseDone > 0 {
		v.loseDone--
		return store.SwapResult{}, errStore
	}
	return store.SwapResult{Swapped: true, Entry: v.find(key)}, nil
}

// find returns an entry; the lock must be held.
func (m *memoryStore) find(key string) *catalog.Entry {
	entry, found := m.entries[key]
	if !found {
		return nil
	}
	return &entry
}

// put writes an entry, nil removes it; the lock must be held.
func (m *memoryStore) put(key string, value []byte) {
	m.revision++
	entry := catalog.Entry{Key: key, Value: value, Revision: m.revision, Deleted: value == nil}
	m.entries[key] = entry
	if document, err := catalog.DecodeDocument(entry); err == nil && value != nil {
		if state, err := rollout.ParseState(document, m.revision); err == nil && state.SpecRevision > 0 {
			m.states = append(m.states, *state)
			m.standing = append(m.standing, m.find(catalog.RolloutKey(state.Service)).LiveRevision())
		}
	}
	m.changed()
}

// set writes a document as operators, leafs and nodes do, nil removes the key, and returns the revision.
func (m *memoryStore) set(key string, document any) int64 {
	var value []byte
	if document != nil {
		content, err := json.Marshal(document)
		if err != nil {
			panic(err)
		}
		if value, err = catalog.NewDocument("", content, nil); err != nil {
			panic(err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.put(key, value)
	return m.revision
}

// fail changes how the store fails.
func (m *memoryStore) fail(change func(m *memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *memoryStore) setDown(down bool) { m.fail(func(m *memoryStore) { m.isDown = down }) }

// written returns the states that were written.
func (m *memoryStore) written() []rollout.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.states)
}

func (m *memoryStore) snapshot() catalog.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return catalog.Snapshot{Revision: m.revision, Entries: slices.Collect(maps.Values(m.entries))}
}

// phases returns the phases that were written for the specs of a service, in spec.
func (m *memoryStore) phases(service string) []rollout.Phase {
	m.mu.Lock()
	defer m.mu.Unlock()
	var phases []rollout.Phase
	for _, state := range m.states {
		if state.Service == service {
			phases = append(phases, state.Phase)
		}
	}
	return phases
}

func (m *memoryStore) allCalls() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, calls := range m.calls {
		sum += calls
	}
	return sum
}
