// Package store is the interface to the platform's configuration store.
//
// The store is a small key-value service with compare-and-swap and watches. It is
// rate-limited, has outages, and may lose a reply after the write took effect.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// ErrHistoryGone ends a watch whose changes the store no longer keeps; the whole state must be
// read anew.
var ErrHistoryGone = errors.New("the store no longer keeps the changes after this revision")

// ErrLeaseGone says that a lease is over, with all keys that it held.
var ErrLeaseGone = errors.New("the lease is over")

// Event is what a watch yields: a change, or only a confirmation that none is newer.
type Event struct {
	Change *catalog.Change
	// Current is the store's newest revision at the time of the event.
	Current int64
}

// Consistency is how new an answer of the store must be.
type Consistency int

const (
	// Linearizable answers hold all that was acknowledged before the call.
	Linearizable Consistency = iota
	// Stale answers may be seconds old. They cost the platform less, and those who use them for more than
	// a first look must bring them up to date by a watch.
	Stale
)

// Answer says how a call of the store went.
type Answer struct {
	// Call names the call.
	Call string
	// Status is the protocol's status, 0 when no answer came.
	Status int
	// Epoch counts the restores of the store from a copy; 0 where it tells of none, or no answer came.
	Epoch int64
	// Revision is where the store stands by the answer; 0 where it does not say.
	Revision int64
}

// WatchRole is how closely a watch follows the store.
type WatchRole int

const (
	// Primary watches tell of changes as soon as may be.
	Primary WatchRole = iota
	// Standby watches may tell of changes later, in fewer calls: others have told of them already.
	Standby
)

// SwapResult is the outcome of a compare-and-swap whose reply arrived.
type SwapResult struct {
	Swapped bool
	// Entry is the key as it stands after the call; nil when it was never written.
	Entry *catalog.Entry
}

// Store reads, writes and watches configuration. An error of CompareAndSwap says nothing
// about whether the write took effect, but for a failure.Failure by which nothing ran and asking
// again makes no sense: the store will never make that write. Implementations are safe for concurrent use.
type Store interface {
	// Get reads one key; nil when it was never written.
	Get(ctx context.Context, key string) (*catalog.Entry, error)
	// List reads every key, tombstones included, at one revision.
	List(ctx context.Context, consistency Consistency) (catalog.Snapshot, error)
	// CompareAndSwap writes the key if its revision is still the expected one; 0 means
	// that the key is absent or deleted.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, remove bool) (SwapResult, error)
	// Watch calls receive for each change after a revision, in order, until the context
	// ends, the connection is lost, or receive fails. It begins with the changes that there are
	// already, or with an event without one.
	Watch(ctx context.Context, after int64, role WatchRole, receive func(Event) error) error
}

// Owned is a store of which some keys are written by others only.
type Owned interface {
	// MayWrite reports whether nodes may write a key.
	MayWrite(key string) bool
}

// Condition is what a guarded write needs of a key: that it is still at a revision; 0 means that the key is
// absent or deleted.
type Condition struct {
	Key      string
	Revision int64
}

// Guarded writes a key under conditions on others. Implementations are safe for concurrent use.
type Guarded interface {
	// CompareAndSwapIf writes like Store.CompareAndSwap, if moreover all conditions hold; its errors say as much.
	CompareAndSwapIf(ctx context.Context, conditions []Condition, key string, expected int64, value []byte) (SwapResult, error)
}

// Lessor keeps keys that go when their writer does. Implementations are safe for concurrent use.
type Lessor interface {
	// Grant opens a lease and gives its id and the time to live that applies.
	Grant(ctx context.Context, timeToLive time.Duration) (lease int64, granted time.Duration, err error)
	// Keep renews a lease; its error wraps ErrLeaseGone when the lease is over.
	Keep(ctx context.Context, lease int64) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease int64) error
	// PutLeased writes a document under a key that goes with the lease.
	PutLeased(ctx context.Context, key string, document json.RawMessage, lease int64) error
}
