package quarantine

import (
	"time"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// unsavedRecord is a record that the store does not have yet.
type unsavedRecord struct {
	record Record
	since  time.Time
}

// recordOf returns the record of a request, nil if it is not under quarantine. A record that the store has not accepted
// within Config.RetestAfter expires. r.mu must be held.
func (r *Register) recordOf(content fingerprint.Fingerprint) *Record {
	if record := r.stored(content); record != nil {
		return record
	}
	entry, found := r.unsaved[content]
	if !found {
		return nil
	}
	if r.clock.Since(entry.since) >= r.cfg.RetestAfter {
		delete(r.unsaved, content)
		return nil
	}
	return &entry.record
}

// AddRecord adds a record that another node sent, and reports whether it is new.
func (r *Register) AddRecord(record Record) bool {
	r.mu.Lock()
	if r.recordOf(record.Fingerprint) != nil {
		r.mu.Unlock()
		return false
	}
	toHalt := r.addUnsaved(record)
	r.mu.Unlock()
	haltAll(toHalt)
	return true
}

// ConfirmStored marks a record as stored.
func (r *Register) ConfirmStored(record Record) {
	r.mu.Lock()
	delete(r.unsaved, record.Fingerprint)
	toHalt := r.attributeCrashes(record)
	r.mu.Unlock()
	haltAll(toHalt)
}

// Lift removes a request, whose record is no longer stored, from quarantine.
func (r *Register) Lift(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.unsaved, content)
	delete(r.retestStates, content)
	for leaf, by := range r.attributed {
		if by == content {
			delete(r.attributed, leaf)
		}
	}
}

// Unsaved returns the records that the store does not have yet.
func (r *Register) Unsaved() []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := make([]Record, 0, len(r.unsaved))
	for content := range r.unsaved {
		if record := r.recordOf(content); record != nil && record.Revision == 0 {
			records = append(records, *record)
		}
	}
	return records
}

// addUnsaved adds a record that the store does not have yet, and returns the executions of the request that must be
// halted. r.mu must be held.
func (r *Register) addUnsaved(record Record) []*Execution {
	if len(r.unsaved) >= r.cfg.MaxRecords {
		r.dropOldestUnsaved()
	}
	r.quarantinedAt = r.clock.Now()
	r.unsaved[record.Fingerprint] = &unsavedRecord{record: record, since: r.quarantinedAt}
	return r.attributeCrashes(record)
}

// dropOldestUnsaved drops the oldest record that the store does not have yet. r.mu must be held.
func (r *Register) dropOldestUnsaved() {
	var oldest *unsavedRecord
	for _, entry := range r.unsaved {
		if oldest == nil || entry.since.Before(oldest.since) {
			oldest = entry
		}
	}
	delete(r.unsaved, oldest.record.Fingerprint)
}

// attributeCrashes attributes the crashes of a record to its request and removes them from other suspects. It returns
// the executions of the request that must be halted, which are all but the retests. r.mu must be held.
func (r *Register) attributeCrashes(record Record) []*Execution {
	r.dropSuspect(record.Fingerprint)
	if len(r.attributed) >= maxLeafs*r.cfg.MaxRecords {
		clear(r.attributed)
	}
	for _, leaf := range record.Leafs {
		r.attributed[leaf] = record.Fingerprint
		for content, other := range r.suspects {
			other.removeCrash(leaf)
			if len(other.episodes) == 0 {
				r.dropSuspect(content)
			}
		}
	}
	toHalt := make([]*Execution, 0, len(r.executions[record.Fingerprint]))
	for execution := range r.executions[record.Fingerprint] {
		if !execution.isRetest {
			toHalt = append(toHalt, execution)
		}
	}
	return toHalt
}

func haltAll(executions []*Execution) {
	for _, execution := range executions {
		execution.halt()
	}
}
