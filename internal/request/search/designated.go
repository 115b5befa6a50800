package search

import "github.com/cespare/xxhash/v2"

// designatedLeaf decides which replica runs a request that may run at most once: the one with the highest weight, a hash
// of request id and leaf id (rendezvous hashing). The only other input is the replica set of the shard, so that nodes on
// the same snapshot agree whatever load or health they observe.
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
