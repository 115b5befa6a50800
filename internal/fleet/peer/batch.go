package peer

import (
	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/compression"
	"github.com/portgauge/portgauge/internal/config/catalog"
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

// Unpack returns the changes of a batch; nil if the batch is empty.
func (b Batch) Unpack() ([]catalog.Change, error) {
	if len(b) == 0 {
		return nil, nil
	}
	content, err := compression.Expand(b, MaxLine)
	if err != nil {
		return nil, err
	}
	var changes []catalog.Change
	return changes, json.Unmarshal(content, &changes)
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

func (p PackedSnapshot) Unpack() (catalog.Snapshot, error) {
	content, err := compression.Expand(p, MaxLine)
	if err != nil {
		return catalog.Snapshot{}, err
	}
	var snapshot catalog.Snapshot
	return snapshot, json.Unmarshal(content, &snapshot)
}
