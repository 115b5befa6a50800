// Package store is the interface to the platform's configuration store.
//
// The store is a small key-value service with compare-and-swap and watches. It is rate-limited, has outages, and may lose
// a response after a write took effect. Implementations are ownplatform.Client and the adapter to the users' platform.
// Revisions are those of package revision. Unless stated otherwise, an error doesn't show whether the store ran the call.
package store

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// ErrHistoryGone ends a watch whose next changes the store no longer keeps. The whole state must be read again.
var ErrHistoryGone = errors.New("the store no longer keeps the changes after this revision")

// ErrLeaseGone says that a lease has expired or ended, and that the keys bound to it were removed.
var ErrLeaseGone = errors.New("the lease has expired or ended")

// Event is an event of a watch: a change, or the confirmation that there is no newer one.
type Event struct {
	Change *catalog.Change // nil for a confirmation
	// Current is the store's newest revision at the time of the event.
	Current int64
}

// Consistency is how recent a response of the store must be.
type Consistency int

const (
	// Linearizable responses include all writes acknowledged before the call.
	Linearizable Consistency = iota
	// Stale responses may be seconds old. They cost the platform less. The caller must catch up with a watch.
	Stale
)

// CallOutcome is the outcome of one call to the store.
type CallOutcome struct {
	// Call is the name of the call.
	Call string
	// Status is the protocol's status code, 0 if there was no response.
	Status int
	// Epoch is the number of restores of the store from a backup. It is 0 if the store doesn't count them or there was
	// no response.
	Epoch int64
	// Revision is the store's revision in the response, 0 if the response has none.
	Revision int64
}

// WatchRole is the delay that a watch tolerates.
type WatchRole int

const (
	// Primary watches deliver changes as soon as possible.
	Primary WatchRole = iota
	// Standby watches may deliver changes later and in fewer calls, since a primary watch delivers them first.
	Standby
)

// SwapResult is the response to a compare-and-swap.
type SwapResult struct {
	Swapped bool
	// Entry is the key's entry after the call, nil if the key was never written.
	Entry *catalog.Entry
}

// Store reads, writes and watches configuration. An error of CompareAndSwap doesn't show whether the write took effect,
// unless it is a failure.Failure with NotRun and no RetryAfter: then the store rejected the write permanently.
// Implementations are safe for concurrent use.
type Store interface {
	// Get reads one key. The entry is nil if the key was never written.
	Get(ctx context.Context, key string) (*catalog.Entry, error)
	// List reads all keys, including tombstones, at one revision.
	List(ctx context.Context, consistency Consistency) (catalog.Snapshot, error)
	// CompareAndSwap writes or removes a key if it has the expected revision; 0 means that the key must be absent or
	// deleted.
	CompareAndSwap(ctx context.Context, key string, expected int64, value []byte, remove bool) (SwapResult, error)
	// Watch calls receive for each change after a revision, in order, until the context is done, the connection is
	// lost, or receive fails. It starts with the changes that already exist, or with an event without a change.
	Watch(ctx context.Context, after int64, role WatchRole, receive func(Event) error) error
}

// WriteRestricted is implemented by stores in which nodes may not write some of the keys.
type WriteRestricted interface {
	// MayWrite reports whether nodes may write a key.
	MayWrite(key string) bool
}

// Condition is a condition of a guarded write: the key must have the given revision. 0 means that it must be absent or
// deleted.
type Condition struct {
	Key      string
	Revision int64
}

// Guarded is implemented by stores that support writes under conditions on other keys. Implementations are safe for
// concurrent use.
type Guarded interface {
	// CompareAndSwapIf is Store.CompareAndSwap without removal that also requires all conditions. Its errors mean the
	// same.
	CompareAndSwapIf(ctx context.Context, conditions []Condition, key string, expected int64, value []byte) (SwapResult, error)
}

// Lessor writes keys that are bound to a lease and removed with it. Implementations are safe for concurrent use.
type Lessor interface {
	// Grant grants a lease and returns its ID and the granted time to live.
	Grant(ctx context.Context, timeToLive time.Duration) (lease int64, granted time.Duration, err error)
	// Renew renews a lease. Its error wraps ErrLeaseGone if the lease has expired or ended.
	Renew(ctx context.Context, lease int64) error
	// Revoke revokes a lease and removes its keys.
	Revoke(ctx context.Context, lease int64) error
	// PutLeased writes a document under a key that is bound to the lease.
	PutLeased(ctx context.Context, key string, document json.RawMessage, lease int64) error
}
