package sample

import (
	"fmt"
	"strings"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/failure"
)

// Service returns a service over leafs, with default limits.
func Service(name string, leafs []*adminv1.Leaf) *adminv1.ServiceSpec {
	return &adminv1.ServiceSpec{Name: name, Leafs: leafs}
}

// Manifest returns a manifest with shards of nearly equal size, whose replicas are assigned to the leafs round-robin.
func Manifest(service string, index *Index, shards, replicas int, leafIDs []string) *adminv1.SnapshotManifest {
	manifest := &adminv1.SnapshotManifest{Service: service, SnapshotId: index.Snapshot}
	replicas = min(replicas, len(leafIDs))
	for number, keys := range index.Split(shards) {
		shard := &adminv1.Shard{
			Id: fmt.Sprintf("s%03d", number), KeyFrom: keys.From, KeyTo: keys.To, Weight: uint64(len(index.In(keys))),
		}
		for replica := range replicas {
			shard.LeafIds = append(shard.LeafIds, leafIDs[(number+replica)%len(leafIDs)])
		}
		manifest.Shards = append(manifest.Shards, shard)
	}
	return manifest
}

// ParseLeafs parses leafs of the form id=address@zone.
func ParseLeafs(texts []string) ([]*adminv1.Leaf, error) {
	var leafs []*adminv1.Leaf
	for _, text := range texts {
		id, rest, hasAddress := strings.Cut(text, "=")
		address, zone, hasZone := strings.Cut(rest, "@")
		if !hasAddress || !hasZone {
			return nil, failure.Invalid("leafs", "%q; must have the form id=address@zone", text)
		}
		leafs = append(leafs, &adminv1.Leaf{Id: id, Address: address, Zone: zone})
	}
	return leafs, nil
}
