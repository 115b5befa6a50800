// Package catalog holds the operators' configuration as one node knows it.
//
// The configuration is a set of keys, each written by compare-and-swap in the store. Every
// write has a store-wide revision. A node applies changes in order of revision and never
// goes back: what it has in force is the state of the store at one revision.
package catalog

import (
	json "github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// Key prefixes of the kinds of entry; there is one entry of routes.
const (
	servicePrefix  = "service/"
	snapshotPrefix = "snapshot/"
	leafPrefix     = "leaf/"
	nodePrefix     = "node/"
	// evacuationPrefix begins the keys of zones whose leafs must get nothing while the key stands.
	evacuationPrefix = "evacuation/"
	// rolloutPrefix begins the keys of operators' orders to move a service to another version, and
	// rolloutStatePrefix those of how far the fleet is with them.
	rolloutPrefix      = "rollout/"
	rolloutStatePrefix = "rollout-state/"
	// quarantinePrefix begins the keys of requests that go to no leaf.
	quarantinePrefix = "quarantine/"
	// RoutesKey is the store key of the routing configuration.
	RoutesKey = "routes"
	// RememberedKey is the store key of the list of leafs that the fleet wrote down.
	RememberedKey = "remembered-leafs"
	// VersionsKey is the store key of the versions that services without a roll-out are served by.
	VersionsKey = "service-versions"
	// MarkerKey is under no value: a change of it only moves the revision on.
	MarkerKey = "marker"
)

// ServiceKey is the store key of a service's settings.
func ServiceKey(name string) string { return servicePrefix + name }

// SnapshotKey is the store key of a service's current manifest.
func SnapshotKey(service string) string { return snapshotPrefix + service }

// LeafKey is the store key of a leaf's own record.
func LeafKey(id string) string { return leafPrefix + id }

// NodeKey is the store key of a node's own record.
func NodeKey(id string) string { return nodePrefix + id }

// EvacuationKey is the store key that stands while a zone is evacuated.
func EvacuationKey(zone string) string { return evacuationPrefix + zone }

// RolloutKey is the store key of the order to move a service to another version.
func RolloutKey(service string) string { return rolloutPrefix + service }

// RolloutStateKey is the store key of how far the fleet is with the order of a service.
func RolloutStateKey(service string) string { return rolloutStatePrefix + service }

// QuarantineKey is the store key that stands while a request is under quarantine, by its fingerprint.
func QuarantineKey(content string) string { return quarantinePrefix + content }

// Entry is the value of one key at the revision that wrote it; a tombstone has Deleted set.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// LiveRevision returns the revision that a write in place of the entry compares with: 0 for keys that were never written
// and for deleted ones.
func (e *Entry) LiveRevision() int64 {
	if e == nil || e.Deleted {
		return 0
	}
	return e.Revision
}

// Change is an entry with the revision of the change before it, which shows gaps.
type Change struct {
	Entry    Entry `json:"entry"`
	Previous int64 `json:"previous"`
	// More are the other entries that the same revision wrote, or, with MarkerKey as the entry, all
	// that differ between the two revisions.
	More []Entry `json:"more,omitempty"`
}

// Entries returns all entries of the change.
func (c Change) Entries() []Entry { return append([]Entry{c.Entry}, c.More...) }

// historyLength is how many earlier change ids an envelope keeps. A writer that lost a
// reply finds its change among them even if that many others wrote the key since.
const historyLength = 16

// PastChange is an earlier write of the same key.
type PastChange struct {
	ChangeID string `json:"change_id"`
	Revision int64  `json:"revision"`
}

// Envelope is what the store holds under a key: the payload and the ids of recent writes.
type Envelope struct {
	ChangeID string       `json:"change_id"`
	Deleted  bool         `json:"deleted,omitempty"`
	History  []PastChange `json:"history,omitempty"`
	// Payload is the message in compressed binary form: each watcher reads it from the store
	// and each node is sent it at each change.
	Payload []byte `json:"payload,omitempty"`
	// Document is the payload of entries that are JSON: routes, leafs and nodes.
	Document json.RawMessage `json:"document,omitempty"`
	// Refused says why what the store has under the key can't be read; such an entry has nothing else.
	Refused string `json:"refused,omitempty"`
}

// Marker returns the entry of a change that only moves the revision on, to the given one.
func Marker(at int64) Entry { return Entry{Key: MarkerKey, Revision: at, Deleted: true} }

// NewRefusal returns the value of an entry that can't be read, with the reason.
func NewRefusal(reason error) []byte {
	value, err := json.Marshal(Envelope{Refused: reason.Error()})
	if err != nil {
		return nil // a value that is refused as well
	}
	return value
}

// NewDocument wraps a JSON document for a write that replaces the given entry, if any.
func NewDocument(changeID string, document json.RawMessage, replaced *Entry) ([]byte, error) {
	envelope := Envelope{ChangeID: changeID, Deleted: document == nil, Document: document}
	if replaced != nil {
		envelope.History = pastChanges(replaced)
	}
	return json.Marshal(envelope)
}

// DecodeDocument reads the JSON document of an entry.
func DecodeDocument(entry Entry) (json.RawMessage, error) {
	envelope, err := OpenEnvelope(entry.Value)
	if err == nil && envelope.Refused != "" {
		err = failure.Invalid("value", "%s", envelope.Refused)
	}
	return envelope.Document, err
}

// NewEnvelope wraps a message for a write that replaces the given entry, if any.
func NewEnvelope(changeID string, message proto.Message, replaced *Entry) ([]byte, error) {
	envelope := Envelope{ChangeID: changeID, Deleted: message == nil}
	if message != nil {
		payload, err := packMessage(message)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode configuration value")
		}
		envelope.Payload = payload
	}
	if replaced != nil {
		envelope.History = pastChanges(replaced)
	}
	return json.Marshal(envelope)
}

// pastChanges puts the replaced entry's own change before those it already remembers.
func pastChanges(replaced *Entry) []PastChange {
	envelope, err := OpenEnvelope(replaced.Value)
	if err != nil {
		return nil
	}
	history := append([]PastChange{{ChangeID: envelope.ChangeID, Revision: replaced.Revision}}, envelope.History...)
	return history[:min(len(history), historyLength)]
}

// OpenEnvelope decodes a value read from the store.
func OpenEnvelope(value []byte) (Envelope, error) {
	var envelope Envelope
	if err := json.Unmarshal(value, &envelope); err != nil {
		return Envelope{}, failure.Wrap(err, failure.Internal, failure.NotRun, "configuration value is not an envelope")
	}
	return envelope, nil
}

// FindChange reports the revision at which a change id was written to the entry's key.
func FindChange(entry *Entry, changeID string) (int64, bool) {
	envelope, err := OpenEnvelope(entry.Value)
	if err != nil {
		return 0, false
	}
	if envelope.ChangeID == changeID {
		return entry.Revision, true
	}
	for _, past := range envelope.History {
		if past.ChangeID == changeID {
			return past.Revision, true
		}
	}
	return 0, false
}

// DecodeService reads a service entry's settings.
func DecodeService(entry Entry) (*adminv1.ServiceSpec, error) {
	spec := &adminv1.ServiceSpec{}
	return spec, decodePayload(entry, spec)
}

// DecodeSnapshot reads a snapshot entry's manifest.
func DecodeSnapshot(entry Entry) (*adminv1.SnapshotManifest, error) {
	message := &adminv1.SnapshotManifest{}
	return message, decodePayload(entry, message)
}

func decodePayload(entry Entry, message proto.Message) error {
	envelope, err := OpenEnvelope(entry.Value)
	if err != nil {
		return err
	}
	if err := unpackMessage(envelope.Payload, message); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "decode configuration value")
	}
	return nil
}
