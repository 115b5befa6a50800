package catalog

import (
	json "github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// historyLength is how many earlier change IDs an envelope keeps. A writer whose response was lost finds its change
// among them even after that many writes by others.
const historyLength = 16

// PastChange is an earlier write of the same key.
type PastChange struct {
	ChangeID string `json:"change_id"`
	Revision int64  `json:"revision"`
}

// Envelope is the value that the store holds under a key: the payload and the IDs of recent writes.
type Envelope struct {
	ChangeID string       `json:"change_id"`
	Deleted  bool         `json:"deleted,omitempty"`
	History  []PastChange `json:"history,omitempty"`
	// Payload is the compressed binary message. Compression keeps watch responses and pushes small.
	Payload []byte `json:"payload,omitempty"`
	// Document is the payload of entries that hold JSON, such as routes, leafs and nodes.
	Document json.RawMessage `json:"document,omitempty"`
	// Undecodable is the reason why the value in the store can't be decoded. All other fields are then empty.
	Undecodable string `json:"refused,omitempty"`
}

// NewUndecodable returns the value of an entry that can't be decoded, with the reason.
func NewUndecodable(reason error) []byte {
	value, err := json.Marshal(Envelope{Undecodable: reason.Error()})
	if err != nil {
		return nil // an empty value can't be decoded either
	}
	return value
}

// NewDocument wraps a JSON document for a write that replaces the given entry, if any. A nil document is a deletion.
func NewDocument(changeID string, document json.RawMessage, replaced *Entry) ([]byte, error) {
	envelope := Envelope{ChangeID: changeID, Deleted: document == nil, Document: document}
	if replaced != nil {
		envelope.History = pastChanges(replaced)
	}
	return json.Marshal(envelope)
}

// DecodeDocument returns the JSON document of an entry. Its error contains Envelope.Undecodable if that is set.
func DecodeDocument(entry Entry) (json.RawMessage, error) {
	envelope, err := OpenEnvelope(entry.Value)
	if err == nil && envelope.Undecodable != "" {
		err = failure.Invalid("value", "%s", envelope.Undecodable)
	}
	return envelope.Document, err
}

// NewEnvelope wraps a message for a write that replaces the given entry, if any. A nil message is a deletion.
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

// pastChanges returns the history for a write that replaces an entry: the entry's own change, then its history.
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

// FindChange returns the revision at which the change with the given ID was written to the entry's key.
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

func DecodeService(entry Entry) (*adminv1.ServiceSpec, error) {
	spec := &adminv1.ServiceSpec{}
	return spec, decodePayload(entry, spec)
}

func DecodeManifest(entry Entry) (*adminv1.SnapshotManifest, error) {
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

// parseDocument returns the parsed JSON document of an entry.
func parseDocument[T any](entry Entry, parse func([]byte) (T, error)) (T, error) {
	document, err := DecodeDocument(entry)
	if err != nil {
		var none T
		return none, err
	}
	return parse(document)
}

// parseDocumentAt is parseDocument for parsers that also take the revision of the entry.
func parseDocumentAt[T any](entry Entry, parse func(document []byte, revision int64) (T, error)) (T, error) {
	return parseDocument(entry, func(document []byte) (T, error) { return parse(document, entry.Revision) })
}
