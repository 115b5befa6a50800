// Package manifest validates snapshot manifests and finds the shards that hold a key range.
//
// A manifest is immutable. Its shards cover the key space without gaps or overlaps: in key order, the first shard starts
// at the lowest key, each further one starts at the end of the previous one, and the last has no upper bound. Queries are
// planned over key ranges, so a new partitioning only needs a new manifest. Errors are of type failure.Failure and name
// the invalid field.
package manifest

import (
	"fmt"
	"sort"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/failure"
)

// MaxShards bounds the number of shards of a manifest, so that one change stays small enough to be pushed to all nodes.
const MaxShards = 4096

// Shard is a range of the key space and the leafs that hold it.
type Shard struct {
	ID      string
	Range   keyspace.Range
	Weight  uint64
	LeafIDs []string
}

// Manifest is a validated snapshot manifest. Its shards are in key order.
type Manifest struct {
	Service    string
	SnapshotID string
	Shards     []Shard
}

// ShardRange is the part of a shard's key range that a query covers.
type ShardRange struct {
	Shard *Shard
	Range keyspace.Range
}

// New validates and compiles a manifest. Its error names the invalid field.
func New(message *adminv1.SnapshotManifest) (*Manifest, error) {
	if message.GetService() == "" {
		return nil, failure.Invalid("manifest.service", "must not be empty")
	}
	if message.GetSnapshotId() == "" {
		return nil, failure.Invalid("manifest.snapshot_id", "must not be empty")
	}
	if len(message.GetShards()) == 0 {
		return nil, failure.Invalid("manifest.shards", "must name at least one shard")
	}
	if len(message.GetShards()) > MaxShards {
		return nil, failure.Invalid("manifest.shards", "has %d shards; the limit is %d", len(message.GetShards()), MaxShards)
	}
	shards, err := compileShards(message.GetShards())
	if err != nil {
		return nil, err
	}
	if err := checkTiling(shards); err != nil {
		return nil, err
	}
	return &Manifest{Service: message.GetService(), SnapshotID: message.GetSnapshotId(), Shards: shards}, nil
}

func compileShards(messages []*adminv1.Shard) ([]Shard, error) {
	seen := make(map[string]bool, len(messages))
	shards := make([]Shard, 0, len(messages))
	for index, message := range messages {
		field := fmt.Sprintf("manifest.shards[%d]", index)
		if message.GetId() == "" {
			return nil, failure.Invalid(field+".id", "must not be empty")
		}
		if seen[message.GetId()] {
			return nil, failure.Invalid(field+".id", "shard %q is named twice", message.GetId())
		}
		seen[message.GetId()] = true
		if err := checkReplicas(field, message.GetLeafIds()); err != nil {
			return nil, err
		}
		keys := keyspace.Range{From: message.GetKeyFrom(), To: message.GetKeyTo()}
		if keys.Empty() {
			return nil, failure.Invalid(field+".key_to", "must be greater than key_from %q", keys.From)
		}
		shards = append(shards, Shard{ID: message.GetId(), Range: keys, Weight: max(message.GetWeight(), 1), LeafIDs: message.GetLeafIds()})
	}
	sort.SliceStable(shards, func(i, j int) bool { return shards[i].Range.From < shards[j].Range.From })
	return shards, nil
}

func checkReplicas(field string, leafIDs []string) error {
	if len(leafIDs) == 0 {
		return failure.Invalid(field+".leaf_ids", "must name at least one replica")
	}
	seen := make(map[string]bool, len(leafIDs))
	for index, leafID := range leafIDs {
		if leafID == "" || seen[leafID] {
			return failure.Invalid(fmt.Sprintf("%s.leaf_ids[%d]", field, index), "leaf ID %q is empty or named twice", leafID)
		}
		seen[leafID] = true
	}
	return nil
}

// checkTiling returns an error if there is a gap or an overlap between shards, which must be sorted by their first key.
func checkTiling(shards []Shard) error {
	expected := ""
	for index, shard := range shards {
		if index > 0 && expected == "" {
			return failure.Invalid("manifest.shards", "shard %q overlaps shard %q, which has no upper bound", shard.ID, shards[index-1].ID)
		}
		if shard.Range.From > expected {
			return failure.Invalid("manifest.shards", "no shard holds the keys [%q, %q) before shard %q", expected, shard.Range.From, shard.ID)
		}
		if shard.Range.From < expected {
			return failure.Invalid("manifest.shards", "shard %q overlaps the previous shard in [%q, %q)", shard.ID, shard.Range.From, expected)
		}
		expected = shard.Range.To
	}
	if expected != "" {
		return failure.Invalid("manifest.shards", "no shard holds the keys from %q to the end of the key space", expected)
	}
	return nil
}

// CheckLeafs returns an error if the manifest names a leaf that is not among the known leafs of its service.
func (m *Manifest) CheckLeafs(known map[string]bool) error {
	for _, shard := range m.Shards {
		for _, leafID := range shard.LeafIDs {
			if !known[leafID] {
				return failure.Invalid("manifest.shards", "shard %q names leaf %q, which service %q does not have", shard.ID, leafID, m.Service)
			}
		}
	}
	return nil
}

// Plan returns the parts of the shards' key ranges that a queried range covers, in key order.
func (m *Manifest) Plan(queried keyspace.Range) []ShardRange {
	first := sort.Search(len(m.Shards), func(i int) bool {
		end := m.Shards[i].Range.To
		return end == "" || end > queried.From
	})
	var shardRanges []ShardRange
	for index := first; index < len(m.Shards); index++ {
		common, overlaps := m.Shards[index].Range.Intersect(queried)
		if !overlaps {
			break
		}
		shardRanges = append(shardRanges, ShardRange{Shard: &m.Shards[index], Range: common})
	}
	return shardRanges
}
