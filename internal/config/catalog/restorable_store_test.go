package catalog

import (
	"encoding/json"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// fataler is implemented by *testing.T and *rapid.T.
type fataler interface{ Fatal(...any) }

// restorableStore is an in-memory store that can be restored from a backup.
type restorableStore struct {
	t       fataler
	epoch   int64
	count   int64
	entries map[string]Entry
	log     []Change // the changes of the epoch
	backup  Snapshot
}

func newRestorableStore(t fataler) *restorableStore {
	return &restorableStore{t: t, entries: map[string]Entry{}}
}

// put writes a document under a key, or removes the key if it is nil, and returns the change.
func (s *restorableStore) put(key string, value any) Change {
	var document json.RawMessage
	if value != nil {
		encoded, err := json.Marshal(value)
		if err != nil {
			s.t.Fatal(err)
		}
		document = encoded
	}
	wrapped, err := NewDocument("", document, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return s.putValue(key, wrapped, value == nil)
}

// putValue writes an encoded value under a key, or removes the key, and returns the change.
func (s *restorableStore) putValue(key string, value json.RawMessage, remove bool) Change {
	before := revision.At(s.epoch, s.count)
	s.count++
	entry := Entry{Key: key, Value: value, Revision: revision.At(s.epoch, s.count), Deleted: remove}
	s.entries[key] = entry
	if entry.Deleted {
		delete(s.entries, key)
	}
	change := Change{Entry: entry, Previous: before}
	s.log = append(s.log, change)
	return change
}

// state returns the whole state, as a read of the store does.
func (s *restorableStore) state() Snapshot {
	snapshot := Snapshot{Revision: revision.At(s.epoch, s.count)}
	for _, entry := range s.entries {
		entry.Revision = revision.At(s.epoch, revision.Count(entry.Revision))
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}

func (s *restorableStore) save() { s.backup = s.state() }

// restore replaces the state with the backup and starts a new epoch.
func (s *restorableStore) restore() {
	s.epoch++
	s.count = revision.Count(s.backup.Revision)
	s.entries = map[string]Entry{}
	for _, entry := range s.backup.Entries {
		s.entries[entry.Key] = entry
	}
	s.log = nil
}

func routesOf(version int64) routing.Configuration { return routing.Configuration{Version: version} }

func leafOf(id string, state leafset.State, sequence int64) leafset.Record {
	return leafset.Record{Name: id, Service: "s", Address: "127.0.0.1:1", State: state, Sequence: sequence}
}

// newFollower returns the catalog of a node that has read the store.
func newFollower(store *restorableStore) *Catalog {
	node := New(func(key string, err error) { store.t.Fatal(key, err) })
	node.EnableRollouts()
	node.Replace(store.state())
	return node
}
