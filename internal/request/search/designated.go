package search

import "github.com/cespare/xxhash/v2"

// designatedLeaf gives the replica that every node picks for a request id: the highest
// random weight of id and leaf (rendezvous hashing). Only the replica set of the shard
// enters, so nodes on the same snapshot agree whatever load or health they see.
func designatedLeaf(requestID string, leafIDs []string) string {
	best, bestWeight := "", uint64(0)
	for _, leafID := range leafIDs {
		weight := xxhash.Sum64String(requestID + "\x00" + leafID)
		if best == "" || weight > bestWeight || (weight == bestWeight && leafID < best) {
			best, bestWeight = leafID, weight
		}
	}
	return best
}
