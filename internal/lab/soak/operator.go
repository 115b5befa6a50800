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

// Times of an operator who rolls versions out.
const (
	statusInterval = 5 * time.Millisecond // between two reads of the status
	leadTime       = 1500 * time.Millisecond
	// statusTimeout is how long after an order's deadline the operator waits for its outcome.
	statusTimeout = 6 * time.Second
	drainDelay    = 3 * time.Second
	drainTime     = 2 * time.Second
)

// plan is an order that an operator is to give.
type plan struct {
	service  string
	fault    rollouts.Fault
	duration time.Duration
	// isServing orders the version that already serves; isEmpty a version without leafs.
	isServing, isEmpty bool
	// cancelledAfter is when the order is cancelled, replacedAfter when another order replaces it, after its start; 0 for
	// never.
	cancelledAfter, replacedAfter time.Duration
}

// operator gives roll-out orders and reads their status; safe for concurrent use.
type operator struct {
	environment *environment
	log         func(string)

	mu       sync.Mutex
	number   int
	status   map[string][]rollouts.StatusReading // by service
	releases []*rollouts.Release
}

func newOperator(w *environment, log func(string)) *operator {
	return &operator{environment: w, log: log, status: map[string][]rollouts.StatusReading{}}
}

// read records every status of all services until the context ends.
func (o *operator) read(ctx context.Context) {
	for wait.For(ctx, statusInterval) {
		for _, service := range o.environment.services() {
			o.readStatus(service)
		}
	}
}

func (o *operator) readStatus(service string) {
	item, found := o.environment.store.Item(platform.StatusKey(service))
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.status[service]
	if !found || len(known) > 0 && known[len(known)-1].Revision == item.Revision {
		return
	}
	target, phase, err := platform.ParseStatus(item.Value)
	if err != nil {
		o.log("UNREADABLE STATUS " + string(item.Value))
	}
	o.status[service] = append(known, rollouts.StatusReading{
		Revision: item.Revision, Target: target, Outcome: outcomes[phase], At: time.Now(),
	})
}

// release returns copies of all orders so far, with the status readings of their services.
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

// run gives an order and does what its outcome requires. It returns the number of the order.
func (o *operator) rollOut(ctx context.Context, p plan) (number int, err error) {
	if number, err = o.startRollout(ctx, p); err != nil {
		return number, err
	}
	o.follow(ctx, number, p)
	if status, _ := o.outcome(number); p.replacedAfter > 0 && (status == rollouts.Running || status == "") && ctx.Err() == nil {
		next := p
		next.replacedAfter, next.fault = 0, rollouts.Fault{}
		second, err := o.startRollout(ctx, next)
		if err != nil {
			return number, err
		}
		o.endReplaced(ctx, number, second)
		o.follow(ctx, second, next)
		o.conclude(ctx, second)
		return number, nil
	}
	o.conclude(ctx, number)
	return number, nil
}

// startRollout starts the leafs of a version and orders it, which replaces an order in progress for the service.
func (o *operator) startRollout(ctx context.Context, p plan) (number int, err error) {
	old := o.environment.servingOf(p.service)
	target := old
	if !p.isServing {
		o.mu.Lock()
		o.number++
		name := fmt.Sprintf("next-%d", o.number)
		o.mu.Unlock()
		target = rollouts.NewVersion(p.service, name, workOf(p.service), p.fault)
	}
	if !p.isServing && !p.isEmpty {
		for range leafsEach {
			if _, err := o.environment.addLeafOf(target); err != nil {
				return 0, err
			}
		}
	}
	wait.For(ctx, leadTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	target.Order(now)
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

// endReplaced ends an order that was replaced by another one, unless it succeeded before.
func (o *operator) endReplaced(ctx context.Context, number, second int) {
	o.readStatus(o.allReleases()[number].Target.Service())
	if status, _ := o.outcome(number); status == rollouts.Succeeded {
		o.conclude(ctx, number)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.releases[second].Old = o.releases[number].Target
		return
	}
	o.mu.Lock()
	o.releases[number].Ended = o.releases[second].At
	o.mu.Unlock()
	o.drainLater(number)
}

// follow waits for the outcome of an order, or until it is due to be cancelled or replaced.
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

// outcome returns the status of an order and when it was read.
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

// conclude does what operators do after an order: they stop the old leafs at once if it succeeded, or else drain the new
// ones after a while.
func (o *operator) conclude(ctx context.Context, number int) {
	release := o.allReleases()[number]
	o.readStatus(release.Target.Service())
	if status, _ := o.outcome(number); status == rollouts.Succeeded && release.Old != release.Target {
		release.Old.Stop()
		o.environment.succeed(release.Old, release.Target)
		return
	}
	if release.Old == release.Target {
		return
	}
	if status, _ := o.outcome(number); status != rollouts.RolledBack && release.Ended.IsZero() && ctx.Err() == nil {
		o.log(fmt.Sprintf("no outcome of %s of %s; cancelled", release.Target.Name(), release.Target.Service()))
		o.cancel(number)
	}
	o.drainLater(number)
	wait.For(ctx, drainDelay+drainTime)
}

// drainLater drains the new leafs of an order after drainDelay, and removes them after drainTime more.
func (o *operator) drainLater(number int) {
	target := o.allReleases()[number].Target
	time.AfterFunc(drainDelay, func() { o.environment.drain(target) })
	time.AfterFunc(drainDelay+drainTime, func() { o.environment.remove(target) })
}
