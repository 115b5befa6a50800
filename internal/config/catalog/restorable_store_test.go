package catalog

import (
	"encoding/json"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// fatal fails a test; *testing.T and *rapid.T do.
type fatal interface{ Fatal(...any) }

// restorableStore is a store that is restored from backups.
type restorableStore struct {
	t       fatal
	epoch   int64
	count   int64
	entries map[string]Entry
	log     []Change // of the epoch
	backup  Snapshot
}

func newRestorableStore(t fatal) *restorableStore {
	return &restorableStore{t: t, entries: map[string]Entry{}}
}

// put writes a document under a key, nil to remove it, and returns the change.
func (d *restorableStore) put(key string, value any) Change {
	var document json.RawMessage
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			d.t.Fatal(err)
		}
		document = encoded
	}
	wrapped, err := NewDocument("", document, nil)
	if err != nil {
		d.t.Fatal(err)
	}
	return d.putValue(key, wrapped, value == nil)
}

// putValue writes a value under a key as it is, or removes the key, and returns the change.
func (d *restorableStore) putValue(key string, value json.RawMessage, remove bool) Change {
	before := revision.At(d.epoch, d.count)
	d.count++
	entry := Entry{Key: key, Value: value, Revision: revision.At(d.epoch, d.count), Deleted: remove}
	d.entries[key] = entry
	if entry.Deleted {
		delete(d.entries, key)
	}
	change := Change{Entry: entry, Previous: before}
	d.log = append(d.log, change)
	return change
}

// state returns the whole state as a read returns it.
func (d *restorableStore) state() Snapshot {
	snapshot := Snapshot{Revision: revision.At(d.epoch, d.count)}
	for _, entry := range d.entries {
		entry.Revision = revision.At(d.epoch, revision.Count(entry.Revision))
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}

func (d *restorableStore) save() { d.backup = d.state() }

// restore restores the store from its backup.
func (d *restorableStore) restore() {
	d.epoch++
	d.count = revision.Count(d.backup.Revision)
	d.entries = map[string]Entry{}
	for _, entry := range d.backup.Entries {
		d.entries[entry.Key] = entry
	}
	d.log = nil
}

func routesOf(version int64) routing.Configuration { return routing.Configuration{Version: version} }

func leafOf(id string, state leafset.State, sequence int64) leafset.Record {
	return leafset.Record{Name: id, Service: "s", Address: "127.0.0.1:1", State: state, Sequence: sequence}
}

// follower is a node that follows the store.
func follower(d *restorableStore) *Catalog {
	known := New(func(key string, err error) { d.t.Fatal(key, err) })
	known.EnableRollouts()
	known.Replace(d.state())
	return known
}
