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

var errUnavailable = errors.New("store is unavailable")

// memoryStore is an in-memory store with fault injection.
type memoryStore struct {
	store.Store
	mu            sync.Mutex
	entries       map[string]catalog.Entry
	revision      int64
	onChange      func()
	isUnavailable bool
	rejected      map[string]bool // by node
	// loseAnswers and loseWrites are the numbers of writes whose answer is lost, after and before the write is applied.
	loseAnswers, loseWrites int
	calls                   map[string]int // by node
	states                  []rollout.State
	// specRevisions are the revisions of the specs in force when the states were written, 0 for none.
	specRevisions []int64
}

// storeView is the store as accessed by one node.
type storeView struct {
	*memoryStore
	node *testNode
}

const storeDelay = 5 * time.Millisecond

// call counts a call, delays it, and blocks it while its node is paused.
func (v storeView) call(ctx context.Context) error {
	v.mu.Lock()
	v.calls[v.node.id]++
	v.mu.Unlock()
	time.Sleep(storeDelay)
	v.node.waitWhilePaused()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isUnavailable || v.rejected[v.node.id] || v.node.isIsolated() {
		return errUnavailable
	}
	return ctx.Err()
}

func (v storeView) Get(ctx context.Context, key string) (*catalog.Entry, error) {
	if err := v.call(ctx); err != nil {
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
	if err := v.call(ctx); err != nil {
		return store.SwapResult{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loseWrites > 0 {
		v.loseWrites--
		return store.SwapResult{}, errUnavailable
	}
	for _, condition := range append(conditions, store.Condition{Key: key, Revision: expected}) {
		if v.find(condition.Key).LiveRevision() != condition.Revision {
			return store.SwapResult{Entry: v.find(key)}, nil
		}
	}
	v.put(key, value)
	if v.loseAnswers > 0 {
		v.loseAnswers--
		return store.SwapResult{}, errUnavailable
	}
	return store.SwapResult{Swapped: true, Entry: v.find(key)}, nil
}

// find returns an entry, nil if there is none. m.mu must be held.
func (m *memoryStore) find(key string) *catalog.Entry {
	entry, found := m.entries[key]
	if !found {
		return nil
	}
	return &entry
}

// put writes an entry, or deletes it if value is nil. m.mu must be held.
func (m *memoryStore) put(key string, value []byte) {
	m.revision++
	entry := catalog.Entry{Key: key, Value: value, Revision: m.revision, Deleted: value == nil}
	m.entries[key] = entry
	if document, err := catalog.DecodeDocument(entry); err == nil && value != nil {
		if state, err := rollout.ParseState(document, m.revision); err == nil && state.SpecRevision > 0 {
			m.states = append(m.states, *state)
			m.specRevisions = append(m.specRevisions, m.find(catalog.RolloutKey(state.Service)).LiveRevision())
		}
	}
	m.onChange()
}

// set writes a document, or deletes the key if document is nil, and returns the revision.
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

// inject changes the injected faults under the lock.
func (m *memoryStore) inject(change func(m *memoryStore)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *memoryStore) setUnavailable(unavailable bool) {
	m.inject(func(m *memoryStore) { m.isUnavailable = unavailable })
}

// written returns the states in the order of their writes.
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

// phases returns the phases that were written for the specs of a service, in order.
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
