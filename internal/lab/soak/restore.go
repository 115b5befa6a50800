package soak

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// Times of a restore of the store.
const (
	// backupAge is the greatest age of the backup when the store fails.
	backupAge = 4 * time.Second
	// leafsAgain and operatorsAgain are the times within which leafs and operators repeat their writes.
	leafsAgain     = 2 * time.Second
	operatorsAgain = 3 * time.Second
)

// operatorEntries are the entries that operators have written and not removed, by key; safe for concurrent use. The zero
// value is empty.
type operatorEntries struct {
	mu     sync.Mutex
	values map[string]any
}

// operate writes a key as operators do.
func (w *environment) operate(key string, value any) {
	w.operatorEntries.mu.Lock()
	defer w.operatorEntries.mu.Unlock()
	if w.operatorEntries.values == nil {
		w.operatorEntries.values = map[string]any{}
	}
	w.operatorEntries.values[key] = value
	w.store.Put(key, value)
}

// retract removes a key as operators do.
func (w *environment) retract(key string) {
	w.operatorEntries.mu.Lock()
	defer w.operatorEntries.mu.Unlock()
	delete(w.operatorEntries.values, key)
	w.store.Remove(key)
}

// restores returns the kinds of restores of the store.
func restores() []fault {
	return []fault{
		{"store restored from a backup", (*injector).restoreStore},
		{"store restored from a backup twice", (*injector).restoreTwice},
		{"store silent, then restored from a backup", (*injector).restoreSilent},
	}
}

func (i *injector) restoreStore(span time.Duration) func() {
	return i.restoreAfter(span, kvstore.Faults{Refuse: 503})
}

func (i *injector) restoreSilent(span time.Duration) func() {
	return i.restoreAfter(span, kvstore.Faults{Silent: true})
}

func (i *injector) restoreTwice(span time.Duration) func() {
	again := i.restoreAfter(span/2, kvstore.Faults{Refuse: 503})
	again()
	return i.restoreAfter(span/2, kvstore.Faults{Refuse: 503})
}

// restoreAfter backs the store up, lets it fail some time later, and restores it from the backup in the end.
func (i *injector) restoreAfter(span time.Duration, away kvstore.Faults) func() {
	i.environment.store.Backup()
	time.Sleep(time.Duration(i.random.Int64N(int64(backupAge))))
	i.everyNode(span + operatorsAgain)
	i.environment.store.SetFaults(away)
	return func() {
		i.everyNode(operatorsAgain)
		i.environment.store.Restore()
		i.environment.store.SetFaults(kvstore.Faults{})
		i.writeAgain()
	}
}

// writeAgain repeats the writes of leafs and operators, each some time after the restore.
func (i *injector) writeAgain() {
	w := i.environment
	w.mu.Lock()
	ids := make([]string, 0, len(w.leafs))
	for id := range w.leafs {
		ids = append(ids, id)
	}
	w.mu.Unlock()
	for _, id := range ids {
		time.AfterFunc(time.Duration(i.random.Int64N(int64(leafsAgain))), func() { w.writeLeafAgain(id) })
	}
	time.AfterFunc(time.Duration(i.random.Int64N(int64(operatorsAgain))), w.operateAgain)
}

// writeLeafAgain repeats a leaf's write. The record of a leaf that has left is removed instead.
func (w *environment) writeLeafAgain(id string) {
	w.mu.Lock()
	record := w.leafs[id].record
	isClosed := w.isClosed
	w.mu.Unlock()
	switch {
	case isClosed:
	case record == "":
		w.store.Remove(leafKey(id))
	default:
		w.register(id, record)
	}
}

// operateAgain repeats the operators' writes, and their removals of evacuations.
func (w *environment) operateAgain() {
	w.operatorEntries.mu.Lock()
	defer w.operatorEntries.mu.Unlock()
	for key, value := range w.operatorEntries.values {
		w.store.Put(key, value)
	}
	for _, key := range w.store.Keys(evacuationKey("")) {
		if _, stands := w.operatorEntries.values[key]; !stands {
			w.store.Remove(key)
		}
	}
}
