// Package registry makes a node known to the fleet, and knows how many nodes there are.
//
// Each node writes a record of itself into the store, under a lease that it renews. The records
// reach every node with the rest of the configuration. No right depends on a record: the count
// of nodes only says how large a node's part of shared bounds is.
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

// Config tunes the registration of a node.
type Config struct {
	// TimeToLive is how long a record outlives its node.
	TimeToLive time.Duration `yaml:"time_to_live"`
	// RetryPause is the pause between tries to register.
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

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.TimeToLive < time.Second, "time_to_live", "must be at least 1s")
	checks.Refuse(c.RetryPause <= 0, "retry_pause", "must be positive")
	checks.Refuse(c.CallTimeout <= 0, "call_timeout", "must be positive")
	checks.Refuse(c.Memory <= 0, "memory", "must be positive")
	return checks.Err()
}

// Registry keeps the record of one node.
type Registry struct {
	config Config
	lessor store.Lessor
	self   catalog.NodeRecord
	logger *zap.Logger
	left   leftRecord
	// woken tells that the machine was suspended.
	woken chan struct{}
	// registeredAt is the revision in force when the node registered: a restore of the store since may have lost its lease, and
	// given the lease's id to another node.
	registeredAt int64
}

// New returns a registry for a node.
func New(config Config, lessor store.Lessor, self catalog.NodeRecord, logger *zap.Logger) *Registry {
	return &Registry{config: config, lessor: lessor, self: self, logger: logger, woken: make(chan struct{}, 1)}
}

// renewals is how many times a lease is renewed in its time to live.
const renewals = 3

// Run registers the node and renews its lease until the context ends; then it ends the lease.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.registeredAt = r.left.revision()
		lease, granted, err := r.register(ctx)
		if r.registeredAt == 0 { // there was no configuration yet
			r.registeredAt = r.left.revision()
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

// ResumeFrom has the registry take over the record that an earlier process of the node left in the
// configuration: to renew its lease is a tenth of a call of the store, and to register anew is two. It waits
// for the configuration for a while. Call it before Run.
func (r *Registry) ResumeFrom(known *catalog.Catalog, ready <-chan struct{}) {
	r.left = leftRecord{known: known, ready: ready}
}

// pause spreads the tries of nodes that failed together.
func (r *Registry) pause() time.Duration {
	return wait.Jittered(r.config.RetryPause)
}

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

// resume renews the lease of the record that an earlier process left, if the record still holds; 0 when there
// is none.
func (r *Registry) resume(ctx context.Context) (lease int64, err error) {
	lease = r.left.lease(ctx, r.self)
	if lease == 0 {
		return 0, nil
	}
	err = r.keep(ctx, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		return 0, nil
	}
	return lease, err
}

// renew keeps the lease until it is over or the context ends.
func (r *Registry) renew(ctx context.Context, lease int64, granted time.Duration) {
	pause := granted / renewals
	for r.rest(ctx, pause) {
		if r.isRestored() {
			r.logger.Info("the store was restored: looking after the node's record", zap.Int64("lease", lease))
			return
		}
		if r.left.isReplaced(r.self, lease) {
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
	if !r.isRestored() { // the id may be another node's by now
		r.end(lease)
	}
}

// isRestored reports whether the store was restored since the node registered.
func (r *Registry) isRestored() bool { return revision.IsLater(r.left.revision(), r.registeredAt) }

// Resumed has the lease renewed at once: it went on to run out while the machine was suspended.
func (r *Registry) Resumed() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// lookInterval is how often a node looks whether the store was restored. The looks of a fleet are spread over it, so that
// 3,300 nodes renew or register within a second, of the 6,000 calls that a store of that size takes.
const lookInterval = time.Second

// rest waits for a time, or until the machine wakes or the store was restored; false when the context ended.
func (r *Registry) rest(ctx context.Context, pause time.Duration) bool {
	for until := time.Now().Add(pause); ctx.Err() == nil; {
		left := time.Until(until)
		if left <= 0 || r.isRestored() {
			return true
		}
		if r.awoke(ctx, min(left, lookInterval)) {
			return ctx.Err() == nil
		}
	}
	return false
}

// awoke waits for a time, and reports whether the machine woke meanwhile.
func (r *Registry) awoke(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.woken:
		return true
	case <-ctx.Done():
	}
	return false
}

func (r *Registry) keep(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	return r.lessor.Keep(ctx, lease)
}

// end returns the lease up; if that fails, it runs out by itself.
func (r *Registry) end(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.config.CallTimeout)
	defer cancel()
	if err := r.lessor.End(ctx, lease); err != nil {
		r.logger.Info("lease of the node was left to run out", zap.Error(err))
	}
}
