// Package revision orders the states of the platform's store, including across restores from a backup.
//
// The store counts its changes. A restore from a backup resets the count, so that counts are used again for other
// changes: a count orders states only within one epoch, the time between two restores. A revision combines the epoch
// and the count in one number, so that comparing two numbers always compares the epochs first. In the first epoch, or
// with a store that doesn't count its restores, the revision is the count.
package revision

// epochUnit is the difference between the revisions of the same count in consecutive epochs. Counts stay below it, and
// 9,000 epochs stay below 2^53, above which some JSON decoders lose precision. It is a power of ten so that both parts
// are readable: 2000000000065 is count 65 of epoch 2.
const epochUnit = 1_000_000_000_000

// MaxCount is the highest count that a revision can contain.
const MaxCount = epochUnit - 1

// MaxEpoch is the highest epoch that a revision can contain.
const MaxEpoch = (1<<63-1)/epochUnit - 1

// At returns the revision of a count in an epoch. Both must be within their bounds.
func At(epoch, count int64) int64 { return epoch*epochUnit + count }

func Epoch(revision int64) int64 { return revision / epochUnit }

// Count returns the store's count of a revision. It is unique among the store's current entries, also after a restore:
// the entries from the backup have counts up to the one at which the new epoch starts.
func Count(revision int64) int64 { return revision % epochUnit }

// IsLater reports whether a revision is of a later epoch than an earlier one.
func IsLater(revision, before int64) bool { return Epoch(revision) > Epoch(before) }
