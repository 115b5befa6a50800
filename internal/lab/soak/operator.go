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

// Times of an operator who moves services to other versions.
const (
	statusLook = 5 * time.Millisecond // how often it reads what it is told
	leadTime   = 1500 * time.Millisecond
	// tellingTime is how long after an order's time it waits for the outcome.
	tellingTime = 6 * time.Second
	drainAfter  = 3 * time.Second
	drainTime   = 2 * time.Second
)

// plan is one order that an operator is to give.
type plan struct {
	service  string
	fault    rollouts.Fault
	duration time.Duration
	// isServing asks for the version that serves already, isEmpty for one without leafs.
	isServing, isEmpty bool
	// takenBack is when the order is taken back, replaced when another one takes its place; 0 for neither.
	takenBack, replaced time.Duration
}

// operator moves services to other versions, and reads what it is told of it.
type operator struct {
	world *world
	tell  func(string)

	mu       sync.Mutex
	number   int
	told     map[string][]rollouts.Telling // by service
	releases []*rollouts.Release
}

func newOperator(w *world, tell func(string)) *operator {
	return &operator{world: w, tell: tell, told: map[string][]rollouts.Telling{}}
}

// read notes what is told of all services until the context ends.
func (o *operator) read(ctx context.Context) {
	for wait.For(ctx, statusLook) {
		for _, service := range o.world.services() {
			o.look(service)
		}
	}
}

func (o *operator) look(service string) {
	item, found := o.world.store.Item(platform.StatusKey(service))
	o.mu.Lock()
	defer o.mu.Unlock()
	known := o.told[service]
	if !found || len(known) > 0 && known[len(known)-1].Revision == item.Revision {
		return
	}
	target, phase, err := platform.ParseStatus(item.Value)
	if err != nil {
		o.tell("UNREADABLE STATUS " + string(item.Value))
	}
	o.told[service] = append(known, rollouts.Telling{
		Revision: item.Revision, Target: target, Outcome: outcomes[phase], At: time.Now(),
	})
}

// played gives all orders so far with what was told.
func (o *operator) played() []rollouts.Release {
	o.mu.Lock()
	defer o.mu.Unlock()
	var played []rollouts.Release
	for _, release := range o.releases {
		copied := *release
		copied.Told = append([]rollouts.Telling(nil), o.told[release.Target.Service()]...)
		played = append(played, copied)
	}
	return played
}

// play gives an order and does what follows from its outcome. It gives the number of the order.
func (o *operator) play(ctx context.Context, p plan) (number int, err error) {
	if number, err = o.order(ctx, p); err != nil {
		return number, err
	}
	o.follow(ctx, number, p)
	if told, _ := o.outcome(number); p.replaced > 0 && (told == rollouts.Running || told == "") && ctx.Err() == nil {
		next := p
		next.replaced, next.fault = 0, rollouts.Fault{}
		second, err := o.order(ctx, next)
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

// order starts the leafs of a version and orders it. An order under way for the service is replaced.
func (o *operator) order(ctx context.Context, p plan) (number int, err error) {
	old := o.world.servingOf(p.service)
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
			if _, err := o.world.addLeafOf(target); err != nil {
				return 0, err
			}
		}
	}
	wait.For(ctx, leadTime)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	target.Order(now)
	revision := o.world.store.Put(platform.OrderKey(p.service), platform.EncodeOrder(rollout.Order{
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

// endReplaced ends an order that another one took the place of, unless it succeeded first.
func (o *operator) endReplaced(ctx context.Context, number, second int) {
	o.look(o.played()[number].Target.Service())
	if told, _ := o.outcome(number); told == rollouts.Succeeded {
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

// follow waits for the outcome of an order, or until it is to be taken back or replaced.
func (o *operator) follow(ctx context.Context, number int, p plan) {
	began := time.Now()
	for wait.For(ctx, statusLook) {
		told, _ := o.outcome(number)
		span := time.Since(began)
		switch {
		case told == rollouts.Succeeded || told == rollouts.RolledBack || span > p.duration+tellingTime:
			return
		case p.takenBack > 0 && span >= p.takenBack:
			o.takeBack(number)
			return
		case p.replaced > 0 && span >= p.replaced:
			return
		}
	}
}

// outcome gives what was told of an order and when.
func (o *operator) outcome(number int) (told rollouts.Outcome, at time.Time) {
	played := o.played()[number]
	return played.Outcome()
}

func (o *operator) takeBack(number int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	release := o.releases[number]
	release.EndRevision = o.world.store.Remove(platform.OrderKey(release.Target.Service()))
	release.Ended = time.Now()
}

// conclude does what operators do after an order: the old leafs stop at once, or the new ones drain after a while.
func (o *operator) conclude(ctx context.Context, number int) {
	release := o.played()[number]
	o.look(release.Target.Service())
	if told, _ := o.outcome(number); told == rollouts.Succeeded && release.Old != release.Target {
		release.Old.Stop()
		o.world.succeed(release.Old, release.Target)
		return
	}
	if release.Old == release.Target {
		return
	}
	if told, _ := o.outcome(number); told != rollouts.RolledBack && release.Ended.IsZero() && ctx.Err() == nil {
		o.tell(fmt.Sprintf("no outcome of %s of %s; taken back", release.Target.Name(), release.Target.Service()))
		o.takeBack(number)
	}
	o.drainLater(number)
	wait.For(ctx, drainAfter+drainTime)
}

// drainLater has the new leafs of an order drain after some time, and end after some more.
func (o *operator) drainLater(number int) {
	target := o.played()[number].Target
	time.AfterFunc(drainAfter, func() { o.world.drain(target) })
	time.AfterFunc(drainAfter+drainTime, func() { o.world.remove(target) })
}
