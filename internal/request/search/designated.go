package search

import "github.com/cespare/xxhash/v2"

// designatedLeaf selects the replica that runs an at-most-once search by rendezvous hashing: the one with the highest
// hash of request ID and leaf ID. The only other input is the replica set of the shard, so nodes on the same snapshot
// select the same replica whatever load or health they observe.
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
