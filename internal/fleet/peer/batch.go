package peer

import (
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/compression"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/memorybudget"
)

// Batch is a compressed list of changes. The node that starts a push compresses it once; relays forward it unchanged.
type Batch []byte

func PackBatch(changes []catalog.Change) (Batch, error) {
	content, err := json.Marshal(changes)
	if err != nil {
		return nil, err
	}
	return compression.Compress(content)
}

// Unpack returns the changes of a batch; nil if the batch is empty. It adds their memory to the reservation, which may be
// nil.
func (b Batch) Unpack(reservation *memorybudget.Reservation) ([]catalog.Change, error) {
	if len(b) == 0 {
		return nil, nil
	}
	var changes []catalog.Change
	return changes, expandInto(&changes, b, reservation)
}

// PackedSnapshot is a compressed snapshot. It is compressed once and sent to many nodes.
type PackedSnapshot []byte

func PackSnapshot(snapshot catalog.Snapshot) (PackedSnapshot, error) {
	content, err := json.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	return compression.Compress(content)
}

// Unpack returns the snapshot. It adds its memory to the reservation, which may be nil.
func (p PackedSnapshot) Unpack(reservation *memorybudget.Reservation) (catalog.Snapshot, error) {
	var snapshot catalog.Snapshot
	return snapshot, expandInto(&snapshot, p, reservation)
}

// expandInto expands and decodes content, and adds the memory of both to the reservation.
func expandInto(decoded any, packed []byte, reservation *memorybudget.Reservation) error {
	content, err := compression.Expand(packed, MaxLine, reservation)
	if err != nil {
		return err
	}
	return decodeInto(decoded, content, reservation)
}

// decodeInto decodes a text, and adds the memory of the result to the reservation.
func decodeInto(decoded any, text []byte, reservation *memorybudget.Reservation) error {
	if err := reservation.Grow(memorybudget.DecodedBytes(text)); err != nil {
		return err
	}
	return json.Unmarshal(text, decoded)
}
