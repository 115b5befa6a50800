// Package revision orders the states of the platform's store, also across its restores.
//
// The store counts its changes. When it is restored from a backup its count goes back, and the same counts are
// used again for other changes: a count alone orders states only within one epoch, the time between two
// restores. A revision is the pair of epoch and count in one number, epoch first, so that a plain comparison
// orders any two and no comparison can leave the epoch out. In the first epoch, or with a store that doesn't
// count its restores, it is the count. The package has no state.
package revision

// unit is what an epoch adds to a count. A count doesn't reach it, and 9,000 epochs are below 2^53, beyond which
// some readers of JSON lose digits. Both parts can be read in decimals: 2000000000065 is count 65 of epoch 2.
const unit = 1_000_000_000_000

// MostCount is the highest count that a revision can contain.
const MostCount = unit - 1

// MaximumEpoch is the highest epoch that a revision can contain.
const MaximumEpoch = (1<<63-1)/unit - 1

// At returns the revision of a count of an epoch; both must be within their bounds.
func At(epoch, count int64) int64 { return epoch*unit + count }

// Epoch returns the epoch of a revision.
func Epoch(revision int64) int64 { return revision / unit }

// Count returns the store's own count of a revision: unique among what the store holds, also after restores,
// since what it holds from before a restore was counted before it.
func Count(revision int64) int64 { return revision % unit }

// IsLater reports whether the store was restored between two revisions.
func IsLater(revision, before int64) bool { return Epoch(revision) > Epoch(before) }
