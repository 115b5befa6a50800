// Package store is the interface to the platform's configuration store.
//
// The store is a small key-value service with compare-and-swap and watches. It is rate-limited, has outages, and
// may lose a reply after the write took effect. Implementations are ownplatform.Client and the adapter to the
// users' platform. Revisions are those of package revision; unless stated otherwise, errors are the client's own
// and say nothing about what the store did.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// ErrHistoryGone ends a watch whose changes the store no longer keeps; the whole state must be read again.
var ErrHistoryGone = errors.New("the store no longer keeps the changes after this revision")

// ErrLeaseGone says that a lease is over, with all keys bound to it.
var ErrLeaseGone = errors.New("the lease is over")

// Event is an event of a watch: a change, or only the confirmation that there is none newer.
type Event struct {
	Change *catalog.Change
	// Current is the store's newest revision at the time of the event.
	Current int64
}

// Consistency is how recent a response of the store must be.
type Consistency int

const (
	// Linearizable responses include all writes acknowledged before the call.
	Linearizable Consistency = iota
	// Stale responses may be seconds old. They cost the platform less; a caller must bring them up to date by a watch.
	Stale
)

// Answer is the outcome of one call of the store.
type Answer struct {
	// Call names the call.
	Call string
	// Status is the protocol's status, 0 if there was no response.
	Status int
	// Epoch counts the restores of the store from a backup; 0 if the store doesn't count them, or there was no
	// response.
	Epoch int64
	// Revision is the store's revision by the response; 0 if it doesn't contain one.
	Revision int64
}

// WatchRole is how closely a watch follows the store.
type WatchRole int

const (
	// Primary watches deliver changes as soon as possible.
	Primary WatchRole = iota
	// Standby watches may deliver changes later, in fewer calls: other nodes deliver them first.
	Standby
)

// SwapResult is the outcome of a compare-and-swap whose reply arrived.
type SwapResult struct {
	Swapped bool
	// Entry is the key's entry after the call; nil if it was never written.
	Entry *catalog.Entry
}

// Store reads, writes and watches configuration. An error of CompareAndSwap doesn't show whether the write took
// effect, except for a failure.Failure that says that nothing ran and a retry is useless: the store will never
// make that write. Implementations are safe for concurrent use.
type Store interface {
	// Get reads one key; nil if it was never written.
	Get(ctx context.Context, key string) (*catalog.Entry, error)
	// List reads every key, tombstones included, at one revision.
	List(ctx context.Context, consistency Consistency) (catalog.Snapshot, error)
	// CompareAndSwap writes the key if its revision is still the expected one; 0 means
	// that the key is absent or deleted.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, remove bool) (SwapResult, error)
	// Watch calls receive for each change after a revision, in order, until the context ends, the connection is
	// lost, or receive fails. It begins with the changes that exist already, or with an event without a change.
	Watch(ctx context.Context, after int64, role WatchRole, receive func(Event) error) error
}

// Owned is a store in which some keys may be written only by others than nodes.
type Owned interface {
	// MayWrite reports whether nodes may write a key.
	MayWrite(key string) bool
}

// Condition is a condition of a guarded write: the key is still at a revision; 0 means that it is absent or
// deleted.
type Condition struct {
	Key      string
	Revision int64
}

// Guarded writes a key under conditions on other keys. Implementations are safe for concurrent use.
type Guarded interface {
	// CompareAndSwapIf writes like Store.CompareAndSwap if all conditions hold as well; its errors mean the
	// same.
	CompareAndSwapIf(ctx context.Context, conditions []Condition, key string, expected int64, value []byte) (SwapResult, error)
}

// Lessor keeps keys that are removed when their writer is gone. Implementations are safe for concurrent use.
type Lessor interface {
	// Grant grants a lease and returns its id and the time to live that applies.
	Grant(ctx context.Context, timeToLive time.Duration) (lease int64, granted time.Duration, err error)
	// Keep renews a lease; its error wraps ErrLeaseGone when the lease is over.
	Keep(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
	// PutLeased writes a document under a key that is bound to the lease.
	PutLeased(ctx context.Context, key string, document json.RawMessage, lease int64) error
}
