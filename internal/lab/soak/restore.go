package soak

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// Times of a restore of the store from a backup.
const (
	// maxBackupAge is the maximum age of the backup when the store fails.
	maxBackupAge = 4 * time.Second
	// maxLeafWriteDelay and maxOperatorWriteDelay are the times after the restore within which leafs and operators repeat their writes.
	maxLeafWriteDelay     = 2 * time.Second
	maxOperatorWriteDelay = 3 * time.Second
)

// operatorEntries stores the entries that operators have written and not removed, by key. It is safe for concurrent use. The
// zero value is empty.
type operatorEntries struct {
	mu     sync.Mutex
	values map[string]any
}

// putAsOperator writes an entry to the store as an operator.
func (e *environment) putAsOperator(key string, value any) {
	e.operatorEntries.mu.Lock()
	defer e.operatorEntries.mu.Unlock()
	if e.operatorEntries.values == nil {
		e.operatorEntries.values = map[string]any{}
	}
	e.operatorEntries.values[key] = value
	e.store.Put(key, value)
}

// removeAsOperator removes an entry from the store as an operator.
func (e *environment) removeAsOperator(key string) {
	e.operatorEntries.mu.Lock()
	defer e.operatorEntries.mu.Unlock()
	delete(e.operatorEntries.values, key)
	e.store.Remove(key)
}

// restores returns the kinds of restores of the store from a backup.
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
	restore := i.restoreAfter(span/2, kvstore.Faults{Refuse: 503})
	restore()
	return i.restoreAfter(span/2, kvstore.Faults{Refuse: 503})
}

// restoreAfter backs up the store and injects an outage after a random delay. The end function restores the backup.
func (i *injector) restoreAfter(span time.Duration, outage kvstore.Faults) func() {
	i.environment.store.Backup()
	time.Sleep(time.Duration(i.random.Int64N(int64(maxBackupAge))))
	i.recordFaultOfAllNodes(span + maxOperatorWriteDelay)
	i.environment.store.SetFaults(outage)
	return func() {
		i.recordFaultOfAllNodes(maxOperatorWriteDelay)
		i.environment.store.Restore()
		i.environment.store.SetFaults(kvstore.Faults{})
		i.repeatWrites()
	}
}

// repeatWrites repeats the writes of leafs and operators, each after a random delay.
func (i *injector) repeatWrites() {
	e := i.environment
	e.mu.Lock()
	ids := make([]string, 0, len(e.leafs))
	for id := range e.leafs {
		ids = append(ids, id)
	}
	e.mu.Unlock()
	for _, id := range ids {
		time.AfterFunc(time.Duration(i.random.Int64N(int64(maxLeafWriteDelay))), func() { e.repeatLeafWrite(id) })
	}
	time.AfterFunc(time.Duration(i.random.Int64N(int64(maxOperatorWriteDelay))), e.repeatOperatorWrites)
}

// repeatLeafWrite writes a leaf's record again, or removes it if the leaf has no record any more.
func (e *environment) repeatLeafWrite(id string) {
	e.mu.Lock()
	record := e.leafs[id].record
	isClosed := e.isClosed
	e.mu.Unlock()
	switch {
	case isClosed:
	case record == "":
		e.store.Remove(leafKey(id))
	default:
		e.register(id, record)
	}
}

// repeatOperatorWrites repeats the operators' writes and their removals of evacuations.
func (e *environment) repeatOperatorWrites() {
	e.operatorEntries.mu.Lock()
	defer e.operatorEntries.mu.Unlock()
	for key, value := range e.operatorEntries.values {
		e.store.Put(key, value)
	}
	for _, key := range e.store.Keys(evacuationKey("")) {
		if _, isInForce := e.operatorEntries.values[key]; !isInForce {
			e.store.Remove(key)
		}
	}
}
