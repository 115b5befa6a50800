// Package catalog holds the operators' configuration as one node knows it.
//
// The configuration is a set of keys, each written by compare-and-swap in the store. Every
// write has a store-wide revision. A node applies changes in order of revision and never
// goes back: what it has in force is the state of the store at one revision.
package catalog

import (
	"encoding/json"
	"strings"

	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// Key prefixes of the two kinds of entry.
const (
	servicePrefix  = "service/"
	snapshotPrefix = "snapshot/"
)

// ServiceKey is the store key of a service's settings.
func ServiceKey(name string) string { return servicePrefix + name }

// SnapshotKey is the store key of a service's current manifest.
func SnapshotKey(service string) string { return snapshotPrefix + service }

// Entry is the value of one key at the revision that wrote it; a tombstone has Deleted set.
type Entry struct {
	Key      string          `json:"key"`
	Value    json.RawMessage `json:"value,omitempty"`
	Revision int64           `json:"revision"`
	Deleted  bool            `json:"deleted,omitempty"`
}

// Change is an entry with the revision of the change before it, which shows gaps.
type Change struct {
	Entry    Entry `json:"entry"`
	Previous int64 `json:"previous"`
}

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

func serviceOfKey(key string) (string, bool) { return strings.CutPrefix(key, servicePrefix) }

func serviceOfSnapshotKey(key string) (string, bool) { return strings.CutPrefix(key, snapshotPrefix) }
