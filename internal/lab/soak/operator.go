package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/wait"
	"github.com/portgauge/portgauge/platform"
)

// Intervals of an operator's rollouts.
const (
	statusInterval = 5 * time.Millisecond    // between two reads of the statuses
	leadTime       = 1500 * time.Millisecond // from the registration of the new leafs to the write of the spec
	// statusTimeout is how long the operator waits for an outcome after the deadline of a rollout.
	statusTimeout = 6 * time.Second
	drainDelay    = 3 * time.Second // from the end of a rollout to the drain of the new leafs, unless it succeeded
	drainTime     = 2 * time.Second // from the drain to the removal of the leafs' records
)

// plan describes a rollout that an operator performs.
type plan struct {
	service  string
	fault    rollouts.Fault
	duration time.Duration
	// targetsServingVersion rolls out the version that already serves; hasNoLeafs rolls out a version without leafs.
	targetsServingVersion, hasNoLeafs bool
	// cancelledAfter and replacedAfter are the times from its start until the rollout is cancelled or replaced by another
	// one; 0 means never.
	cancelledAfter, replacedAfter time.Duration
}

// operator writes rollout specs and reads the statuses of rollouts. It is safe for concurrent use.
type operator struct {
	environment *environment
	log         func(string)

	mu       sync.Mutex
	number   int
	status   map[string][]rollouts.StatusReading // by service
	releases []*rollouts.Release
}

func newOperator(e *environment, log func(string)) *operator {
	return &operator{environment: e, log: log, status: map[string][]rollouts.StatusReading{}}
}

// read records the statuses of all services until the context is done.
func (o *operator) read(ctx context.Context) {
	for wait.For(ctx, statusInterval) {
		for _, service := range o.environment.services() {
			o.readStatus(service)
		}
	}
}

// readStatus records the status of a service if it has changed.
func (o *operator) readStatus(service string) {
	item, found := o.environment.store.Item(platform.StatusKey(service))
	o.mu.Lock()
	defer o.mu.Unlock()
	readings := o.status[service]
	if !found || len(readings) > 0 && readings[len(readings)-1].Revision == item.Revision {
		return
	}
	target, phase, err := platform.ParseStatus(item.Value)
	if err != nil {
		o.log("MALFORMED status of a service: " + string(item.Value))
	}
	o.status[service] = append(readings, rollouts.StatusReading{
		Revision: item.Revision, Target: target, Outcome: outcomeByPhase[phase], At: time.Now(),
	})
}

// allReleases returns copies of all rollouts so far, with the status readings of their services.
func (o *operator) allReleases() []rollouts.Release {
	o.mu.Lock()
	defer o.mu.Unlock()
	var releases []rollouts.Release
	for _, release := range o.releases {
		copied := *release
		copied.Statuses = append([]rollouts.StatusReading(nil), o.status[release.Target.Service()]...)
		releases = append(releases, copied)
	}
	return releases
}

// rollOut performs a rollout, waits for its outcome and does what the outcome requires. It returns the number of the
// rollout.
func (o *operator) rollOut(ctx context.Context, p plan) (number int, err error) {
	if number, err = o.startRollout(ctx, p); err != nil {
		return number, err
	}
	o.follow(ctx, number, p)
	if status, _ := o.outcome(number); p.replacedAfter > 0 && (status == rollouts.Running || status == "") && ctx.Err() == nil {
		next := p
		next.replacedAfter, next.fault = 0, rollouts.Fault{}
		replacement, err := o.startRollout(ctx, next)
		if err != nil {
			return number, err
		}
		o.endReplaced(ctx, number, replacement)
		o.follow(ctx, replacement, next)
		o.conclude(ctx, replacement)
		return number, nil
	}
	o.conclude(ctx, number)
	return number, nil
}

// startRollout starts the leafs of a version and writes its rollout spec, which replaces a rollout of the service that is
// in progress.
func (o *operator) startRollout(ctx context.Context, p plan) (number int, err error) {
	old := o.environment.servingVersion(p.service)
	target := old
	if !p.targetsServingVersion {
		o.mu.Lock()
		o.number++
		name := fmt.Sprintf("next-%d", o.number)
		o.mu.Unlock()
		target = rollouts.NewVersion(p.service, name, serviceTime(p.service), p.fault)
	}
	if !p.targetsServingVersion && !p.hasNoLeafs {
		for range leafsPerVersion {
			if _, err := o.environment.addLeafWithVersion(target); err != nil {
				return 0, err
			}
		}
	}
	wait.For(ctx, leadTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	target.SetRolloutStart(now)
	revision := o.environment.store.Put(platform.SpecKey(p.service), platform.EncodeSpec(rollout.Spec{
		Service: p.service, Target: target.Name(), DurationMillis: p.duration.Milliseconds(),
	}))
	for _, release := range o.releases {
		if release.Target.Service() == p.service && release.Until == 0 {
			release.Until, release.Next = revision, target.Name()
		}
	}
	o.releases = append(o.releases, &rollouts.Release{
		Old: old, Target: target, Duration: p.duration, At: now, Revision: revision,
	})
	return len(o.releases) - 1, nil
}

// endReplaced ends a rollout that another one replaced, or concludes it if it succeeded before that.
func (o *operator) endReplaced(ctx context.Context, number, replacement int) {
	o.readStatus(o.allReleases()[number].Target.Service())
	if status, _ := o.outcome(number); status == rollouts.Succeeded {
		o.conclude(ctx, number)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.releases[replacement].Old = o.releases[number].Target
		return
	}
	o.mu.Lock()
	o.releases[number].Ended = o.releases[replacement].At
	o.mu.Unlock()
	o.drainLater(number)
}

// follow waits until the rollout has an outcome, times out or is due to be replaced. If its cancellation is due first,
// follow cancels it.
func (o *operator) follow(ctx context.Context, number int, p plan) {
	began := time.Now()
	for wait.For(ctx, statusInterval) {
		status, _ := o.outcome(number)
		span := time.Since(began)
		switch {
		case status == rollouts.Succeeded || status == rollouts.RolledBack || span > p.duration+statusTimeout:
			return
		case p.cancelledAfter > 0 && span >= p.cancelledAfter:
			o.cancel(number)
			return
		case p.replacedAfter > 0 && span >= p.replacedAfter:
			return
		}
	}
}

// outcome returns the last status of a rollout and the time at which it was first read.
func (o *operator) outcome(number int) (status rollouts.Outcome, at time.Time) {
	release := o.allReleases()[number]
	return release.Outcome()
}

func (o *operator) cancel(number int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	release := o.releases[number]
	release.EndRevision = o.environment.store.Remove(platform.SpecKey(release.Target.Service()))
	release.Ended = time.Now()
}

// conclude does what operators do after a rollout: it stops the old leafs at once if the rollout succeeded, and otherwise
// drains the new leafs after drainDelay. It cancels a rollout without an outcome. After a drain, it returns once the
// leafs' records have been removed. It does nothing if the target was already serving.
func (o *operator) conclude(ctx context.Context, number int) {
	release := o.allReleases()[number]
	o.readStatus(release.Target.Service())
	if status, _ := o.outcome(number); status == rollouts.Succeeded && release.Old != release.Target {
		release.Old.Stop()
		o.environment.promote(release.Old, release.Target)
		return
	}
	if release.Old == release.Target {
		return
	}
	if status, _ := o.outcome(number); status != rollouts.RolledBack && release.Ended.IsZero() && ctx.Err() == nil {
		o.log(fmt.Sprintf("version %s of service %s has no rollout outcome; cancelled the rollout", release.Target.Name(), release.Target.Service()))
		o.cancel(number)
	}
	o.drainLater(number)
	wait.For(ctx, drainDelay+drainTime)
}

// drainLater drains the new leafs of a rollout after drainDelay, and removes their records after another drainTime.
func (o *operator) drainLater(number int) {
	target := o.allReleases()[number].Target
	time.AfterFunc(drainDelay, func() { o.environment.drain(target) })
	time.AfterFunc(drainDelay+drainTime, func() { o.environment.remove(target) })
}
