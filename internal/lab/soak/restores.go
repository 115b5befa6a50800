package soak

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// Times of a store that is restored from a backup.
const (
	// backupAge is how old the backup is at most when the store goes away.
	backupAge = 4 * time.Second
	// leafsAgain and operatorsAgain are within what time leafs and operators write again what they wrote.
	leafsAgain     = 2 * time.Second
	operatorsAgain = 3 * time.Second
)

// standing is what operators wrote that stands, by key; safe for concurrent use. The zero value is empty.
type standing struct {
	mu     sync.Mutex
	values map[string]any
}

// operate writes a key as operators do.
func (w *world) operate(key string, value any) {
	w.standing.mu.Lock()
	defer w.standing.mu.Unlock()
	if w.standing.values == nil {
		w.standing.values = map[string]any{}
	}
	w.standing.values[key] = value
	w.store.Put(key, value)
}

// retract removes a key as operators do.
func (w *world) retract(key string) {
	w.standing.mu.Lock()
	defer w.standing.mu.Unlock()
	delete(w.standing.values, key)
	w.store.Remove(key)
}

// restores are the ways in which the store is restored.
func restores() []fault {
	return []fault{
		{"store restored from a backup", (*injector).restoreStore},
		{"store restored from a backup twice", (*injector).restoreTwice},
		{"store silent, then restored from a backup", (*injector).restoreSilent},
	}
}

func (i *injector) restoreStore(span time.Duration) func() {
	return i.bringBack(span, kvstore.Faults{Refuse: 503})
}

func (i *injector) restoreSilent(span time.Duration) func() {
	return i.bringBack(span, kvstore.Faults{Silent: true})
}

func (i *injector) restoreTwice(span time.Duration) func() {
	again := i.bringBack(span/2, kvstore.Faults{Refuse: 503})
	again()
	return i.bringBack(span/2, kvstore.Faults{Refuse: 503})
}

// bringBack makes a backup, lets the store go away some time later, and brings it back from the backup.
func (i *injector) bringBack(span time.Duration, away kvstore.Faults) func() {
	i.world.store.Backup()
	time.Sleep(time.Duration(i.random.Int64N(int64(backupAge))))
	i.everyNode(span + operatorsAgain)
	i.world.store.SetFaults(away)
	return func() {
		i.everyNode(operatorsAgain)
		i.world.store.Restore()
		i.world.store.SetFaults(kvstore.Faults{})
		i.writeAgain()
	}
}

// writeAgain has leafs and operators write again what they wrote, each some time after the store is back.
func (i *injector) writeAgain() {
	w := i.world
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

// writeLeafAgain has a leaf write its record again; that of one that has left lapses.
func (w *world) writeLeafAgain(id string) {
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

// operateAgain has operators write again what stands, and remove again what does not.
func (w *world) operateAgain() {
	w.standing.mu.Lock()
	defer w.standing.mu.Unlock()
	for key, value := range w.standing.values {
		w.store.Put(key, value)
	}
	for _, key := range w.store.Keys(evacuationKey("")) {
		if _, stands := w.standing.values[key]; !stands {
			w.store.Remove(key)
		}
	}
}
