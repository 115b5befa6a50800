// Package registry registers a node with the fleet and tracks the registered nodes.
//
// A Registry writes a record of its node to the store, under a lease that it renews. The records reach every node
// with the configuration. From them, a Fleet derives the list of nodes, the nodes that gather for others, and each
// node's share of a common bound. RendezvousOrder orders nodes by rendezvous hash. No permission depends on a record.
//
// A Registry owns the lease of its node; Run is its only goroutine. It uses a store.Lessor, and the catalog to find
// the record of a previous process of the node and to detect restores of the store. A Fleet owns the list of nodes and
// expires its entries by a clock that includes the time during which the machine was suspended.
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

// renewalsPerTTL is how many times a lease is renewed within its time to live. If a renewal fails, two thirds of the
// time to live are left for retries.
const renewalsPerTTL = 3

// epochCheckInterval is how often a node checks whether the store was restored. The checks of the nodes, and the
// renewals and registrations that follow a restore, are spread over this interval.
const epochCheckInterval = time.Second

// Config configures the registration of a node.
type Config struct {
	// TimeToLive is the time to live of a record's lease: how long the record stays in the store after its node has
	// crashed.
	TimeToLive time.Duration `yaml:"time_to_live"`
	// RetryPause is the average pause before a failed registration or renewal is retried.
	RetryPause time.Duration `yaml:"retry_pause"`
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration `yaml:"call_timeout"`
	// Retention is how long a node that is no longer registered still counts as a node of the fleet.
	Retention time.Duration `yaml:"memory"`
}

// DefaultConfig returns settings that keep the record of a crashed node for 30 seconds.
func DefaultConfig() Config {
	return Config{TimeToLive: 30 * time.Second, RetryPause: time.Second, CallTimeout: time.Second, Retention: 15 * time.Second}
}

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.TimeToLive < time.Second, "time_to_live", "must be at least 1s")
	checks.Refuse(c.RetryPause <= 0, "retry_pause", "must be positive")
	checks.Refuse(c.CallTimeout <= 0, "call_timeout", "must be positive")
	checks.Refuse(c.Retention <= 0, "memory", "must be positive")
	return checks.Err()
}

// Registry keeps the record of one node in the store.
type Registry struct {
	cfg      Config
	lessor   store.Lessor
	self     catalog.NodeRecord
	logger   *zap.Logger
	previous previousRecord
	// resumed receives a value when the machine has resumed from a suspension.
	resumed chan struct{}
	// registeredRevision is the revision in force when the node registered. A later restore of the store may have
	// removed the lease and assigned its ID to another node.
	registeredRevision int64
}

func New(cfg Config, lessor store.Lessor, self catalog.NodeRecord, logger *zap.Logger) *Registry {
	return &Registry{cfg: cfg, lessor: lessor, self: self, logger: logger, resumed: make(chan struct{}, 1)}
}

// Run registers the node and renews its lease until the context is done. Then it revokes the lease.
func (r *Registry) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.registeredRevision = r.previous.revision()
		lease, granted, err := r.register(ctx)
		if r.registeredRevision == 0 { // the node had no configuration yet
			r.registeredRevision = r.previous.revision()
		}
		if err != nil {
			r.logger.Warn("node registration failed; retrying", zap.Error(err))
			if !wait.For(ctx, r.pause()) {
				return
			}
			continue
		}
		r.logger.Info("node registered", zap.Int64("lease", lease), zap.Duration("time_to_live", granted))
		r.keepRenewing(ctx, lease, granted)
	}
}

// ResumeFrom lets the registry take over the record that a previous process of the node left in the configuration:
// renewing its lease costs the store far less than registering. Run then waits up to configurationWait for the
// configuration. ResumeFrom must be called before Run.
func (r *Registry) ResumeFrom(cat *catalog.Catalog, ready <-chan struct{}) {
	r.previous = previousRecord{catalog: cat, ready: ready}
}

// pause returns the jittered pause before the next attempt, so that nodes that failed together don't retry together.
func (r *Registry) pause() time.Duration {
	return wait.Jittered(r.cfg.RetryPause)
}

// register takes over the record of a previous process, or writes a new record under a new lease.
func (r *Registry) register(ctx context.Context) (lease int64, granted time.Duration, err error) {
	if lease, err = r.resume(ctx); lease != 0 || err != nil {
		return lease, r.cfg.TimeToLive, err
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	lease, granted, err = r.lessor.Grant(ctx, r.cfg.TimeToLive)
	if err != nil {
		return 0, 0, err
	}
	document, err := json.Marshal(leasedRecord{NodeRecord: r.self, Lease: lease})
	if err != nil {
		return 0, 0, failure.Wrap(err, failure.Internal, failure.NotRun, "encode node record")
	}
	return lease, granted, r.lessor.PutLeased(ctx, catalog.NodeKey(r.self.ID), document, lease)
}

// resume renews the lease of the record that a previous process left, and returns the lease. It returns 0 if there is
// no such record or its lease has expired.
func (r *Registry) resume(ctx context.Context) (lease int64, err error) {
	lease = r.previous.lease(ctx, r.self)
	if lease == 0 {
		return 0, nil
	}
	err = r.renewOnce(ctx, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		return 0, nil
	}
	return lease, err
}

// keepRenewing renews the lease renewalsPerTTL times within its time to live, after Config.RetryPause if a renewal
// failed, and at once when the machine resumes. It returns, so that the node registers again, if the store was
// restored, the lease has expired, or the record is bound to another lease. When the context ends, it revokes the
// lease.
func (r *Registry) keepRenewing(ctx context.Context, lease int64, granted time.Duration) {
	pause := granted / renewalsPerTTL
	for r.waitToRenew(ctx, pause) {
		if r.isRestored() {
			r.logger.Info("the store was restored; checking the record of the node", zap.Int64("lease", lease))
			return
		}
		if r.previous.isReplaced(r.self, lease) {
			return
		}
		err := r.renewOnce(ctx, lease)
		switch {
		case errors.Is(err, store.ErrLeaseGone):
			r.logger.Warn("lease of the node has expired; registering again", zap.Int64("lease", lease))
			return
		case err != nil:
			r.logger.Warn("renewal of the node's lease failed; retrying", zap.Int64("lease", lease), zap.Error(err))
			pause = r.pause()
		default:
			pause = granted / renewalsPerTTL
		}
	}
	if !r.isRestored() { // after a restore, the lease ID may belong to another node
		r.revoke(lease)
	}
}

// isRestored reports whether the store was restored since the node registered.
func (r *Registry) isRestored() bool {
	return revision.IsLater(r.previous.revision(), r.registeredRevision)
}

// Resumed makes the registry renew its lease at once, because the time to live of the lease elapsed while the machine
// was suspended.
func (r *Registry) Resumed() {
	select {
	case r.resumed <- struct{}{}:
	default:
	}
}

// waitToRenew waits for a pause, but only until the machine resumes or the store is restored. It returns false if the
// context ended.
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

// waitResumed waits for a pause, but only until the machine resumes, and reports whether it resumed.
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

func (r *Registry) renewOnce(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	return r.lessor.Renew(ctx, lease)
}

// revoke revokes the lease. If that fails, the lease expires.
func (r *Registry) revoke(lease int64) {
	ctx, cancel := context.WithTimeout(context.Background(), r.cfg.CallTimeout)
	defer cancel()
	if err := r.lessor.Revoke(ctx, lease); err != nil {
		r.logger.Info("lease of the node could not be revoked; it will expire", zap.Error(err))
	}
}
