package peer

import (
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/compression"
	"github.com/portgauge/portgauge/internal/config/catalog"
)

// Batch is a list of changes, compressed once by the node that starts a push; relays pass it on as it is.
type Batch []byte

// PackBatch compresses changes.
func PackBatch(changes []catalog.Change) (Batch, error) {
	content, err := json.Marshal(changes)
	if err != nil {
		return nil, err
	}
	return compression.Compress(content)
}

// Unpack returns the changes of a batch; an empty batch has none.
func (b Batch) Unpack() ([]catalog.Change, error) {
	if len(b) == 0 {
		return nil, nil
	}
	content, err := compression.Expand(b, MaximumLine)
	if err != nil {
		return nil, err
	}
	var changes []catalog.Change
	return changes, json.Unmarshal(content, &changes)
}

// PackedSnapshot is a whole state, compressed once and sent to many nodes as it is.
type PackedSnapshot []byte

// PackSnapshot compresses a whole state.
func PackSnapshot(snapshot catalog.Snapshot) (PackedSnapshot, error) {
	content, err := json.Marshal(snapshot)
	if err != nil {
		return nil, err
	}
	return compression.Compress(content)
}

// Unpack returns the whole state.
func (p PackedSnapshot) Unpack() (catalog.Snapshot, error) {
	content, err := compression.Expand(p, MaximumLine)
	if err != nil {
		return catalog.Snapshot{}, err
	}
	var snapshot catalog.Snapshot
	return snapshot, json.Unmarshal(content, &snapshot)
}
