// Package registry registers a node with the fleet, and counts the fleet's nodes.
//
// A Registry writes a record of its node into the store, under a lease that it renews; the records reach every
// node with the configuration. A Fleet reads them: which nodes there are, which of them gather for others, and
// what share of a common bound a node has. Ranking orders nodes by rendezvous hash. No permission depends on a
// record.
//
// A Registry owns the lease of its node; Run is its only goroutine. It relies on a store.Lessor, and on the
// catalog to find the record that an earlier process of the node left and to notice restores of the store. A
// Fleet owns the list of nodes and ages it by a clock that counts the time of a suspension.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/wait"
)

// renewals is how many times a lease is renewed in its time to live: if a renewal fails, two thirds of that time are left
// for retries.
const renewals = 3

// epochCheckInterval is how often a node checks whether the store was restored. The checks of a fleet are spread
// over it, and so are the renewals and registrations that follow.
const epochCheckInterval = time.Second

// Config configures the registration of a node.
type Config struct {
	// TimeToLive is how long a record outlives its node.
	TimeToLive time.Duration `yaml:"time_to_live"`
	// RetryPause is the pause between attempts to register.
	RetryPause time.Duration `yaml:"retry_pause"`
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// Memory is how long a node that is gone still counts.
	Memory time.Duration `yaml:"memory"`
}

// DefaultConfig keeps a record for half a minute.
func DefaultConfig() Config {
	return Config{TimeToLive: 30 * time.Second, RetryPause: time.Second, CallTimeout: time.Second, Memory: 15 * time.Second}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.TimeToLive < time.Second, "time_to_live", "must be at least 1s")
	checks.Refuse(c.RetryPause <= 0, "retry_pause", "must be positive")
	checks.Refuse(c.CallTimeout <= 0, "call_timeout", "must be positive")
	checks.Refuse(c.Memory <= 0, "memory", "must be positive")
	return checks.Err()
}

// Registry keeps the record of one node in the store.
type Registry struct {
	config   Config
	lessor   store.Lessor
	self     catalog.NodeRecord
	logger   *zap.Logger
	previous previousRecord
	// resumed receives a value when the machine resumed from a suspension.
	resumed chan struct{}
	// registeredAt is the revision in force when the node registered. A restore of the store since then may have
	// lost the lease and assigned its id to another node.
	registeredAt int64
}

// New returns a registry for a node.
func New(config Config, lessor store.Lessor, self catalog.NodeRecord, logger *zap.Logger) *Registry {
	return &Registry{config: config, lessor: lessor, self: self, logger: logger, resumed: make(chan struct{}, 1)}
}

// Run registers the node and renews its lease until the context ends; then it ends the lease.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.registeredAt = r.previous.revision()
		lease, granted, err := r.register(ctx)
		if r.registeredAt == 0 { // there was no configuration yet
			r.registeredAt = r.previous.revision()
		}
		if err != nil {
			r.logger.Warn("node can't be registered", zap.Error(err))
			if !wait.For(ctx, r.pause()) {
				return
			}
			continue
		}
		r.logger.Info("node registered", zap.Int64("lease", lease), zap.Duration("time_to_live", granted))
		r.renew(ctx, lease, granted)
	}
}

// ResumeFrom makes the registry take over the record that an earlier process of the node left in the
// configuration: renewing its lease costs the store far less than registering. Run waits a while for the
// configuration then. Call it before Run.
func (r *Registry) ResumeFrom(known *catalog.Catalog, ready <-chan struct{}) {
	r.previous = previousRecord{known: known, ready: ready}
}

// pause returns the pause before the next attempt, with jitter for nodes that failed together.
func (r *Registry) pause() time.Duration {
	return wait.Jittered(r.config.RetryPause)
}

// register takes over the record of an earlier process, or writes a new record under a new lease.
func (r *Registry) register(ctx context.Context) (lease int64, granted time.Duration, err error) {
	if lease, err = r.resume(ctx); lease != 0 || err != nil {
		return lease, r.config.TimeToLive, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	lease, granted, err = r.lessor.Grant(ctx, r.config.TimeToLive)
	if err != nil {
		return 0, 0, err
	}
	document, err := json.Marshal(leasedRecord{NodeRecord: r.self, Lease: lease})
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.Internal, failure.NotRun, "encode node record")
	}
	return lease, granted, r.lessor.PutLeased(ctx, catalog.NodeKey(r.self.ID), document, lease)
}

// resume renews the lease of the record that an earlier process left; 0 if there is no such record or its lease
// is over.
func (r *Registry) resume(ctx context.Context) (lease int64, err error) {
	lease = r.previous.lease(ctx, r.self)
	if lease == 0 {
		return 0, nil
	}
	err = r.keep(ctx, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		return 0, nil
	}
	return lease, err
}

// renew decides when the lease is renewed or given up. It renews the lease renewals times in its time to live,
// after a failure after Config.RetryPause, and at once when the machine resumed. It returns, so that the node
// registers again, when the store was restored, the lease is over, or the record is bound to another lease. When
// the context ends, it ends the lease.
func (r *Registry) renew(ctx context.Context, lease int64, granted time.Duration) {
	pause := granted / renewals
	for r.waitToRenew(ctx, pause) {
		if r.isRestored() {
			r.logger.Info("the store was restored: checking the node's record", zap.Int64("lease", lease))
			return
		}
		if r.previous.isReplaced(r.self, lease) {
			return
		}
		err := r.keep(ctx, lease)
		switch {
		case errors.Is(err, store.ErrLeaseGone):
			r.logger.Warn("lease of the node is over", zap.Int64("lease", lease))
			return
		case err != nil:
			r.logger.Warn("lease of the node can't be renewed", zap.Int64("lease", lease), zap.Error(err))
			pause = r.pause()
		default:
			pause = granted / renewals
		}
	}
	if !r.isRestored() { // otherwise the id may be another node's lease by now
		r.end(lease)
	}
}

// isRestored reports whether the store was restored since the node registered.
func (r *Registry) isRestored() bool { return revision.IsLater(r.previous.revision(), r.registeredAt) }

// Resumed makes the registry renew its lease at once: the lease kept running out while the machine was
// suspended.
func (r *Registry) Resumed() {
	select {
	case r.resumed <- struct{}{}:
	default:
	}
}

// waitToRenew waits for a pause, or until the machine resumes or the store was restored; false when the context
// ended.
func (r *Registry) waitToRenew(ctx context.Context, pause time.Duration) bool {
	for until := time.Now().Add(pause); ctx.Err() == nil; {
		left := time.Until(until)
		if left <= 0 || r.isRestored() {
			return true
		}
		if r.waitResumed(ctx, min(left, epochCheckInterval)) {
			return ctx.Err() == nil
		}
	}
	return false
}

// waitResumed waits for a pause, and reports whether the machine resumed meanwhile.
func (r *Registry) waitResumed(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.resumed:
		return true
	case <-ctx.Done():
	}
	return false
}

// keep renews the lease once.
func (r *Registry) keep(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	return r.lessor.Keep(ctx, lease)
}

// end ends the lease; if that fails, the lease expires by itself.
func (r *Registry) end(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.config.CallTimeout)
	defer cancel()
	if err := r.lessor.End(ctx, lease); err != nil {
		r.logger.Info("lease of the node can't be ended; it expires by itself", zap.Error(err))
	}
}
