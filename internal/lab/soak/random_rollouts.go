package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/wait"
)

// Durations of the random rollouts and of the pause after each, and frequencies of good versions and special cases.
const (
	minRolloutSpan   = 6 * time.Second
	rolloutSpanRange = 5 * time.Second
	goodOneIn        = 3 // one in this many is of a good version
	specialOneIn     = 8 // each special case occurs once in this many
	rolloutPause     = 2 * time.Second
)

// run performs random rollouts one after the other until faultCtx ends, and waits for the outcome of the last one.
func (o *operator) run(ctx, faultCtx context.Context, random *rand.Rand) {
	for faultCtx.Err() == nil && ctx.Err() == nil {
		p := randomPlan(random, o.environment.services())
		number, err := o.rollOut(ctx, p)
		if err != nil {
			o.log("FAILED to start a rollout: " + err.Error())
			return
		}
		release := o.allReleases()[number]
		status, at := release.Outcome()
		o.log(fmt.Sprintf("%s (%s, %v): %q after %v, %d bad answers", nameOf(release), describe(p), p.duration, status,
			at.Sub(release.At).Round(time.Millisecond), release.BadAnswers()))
		wait.For(faultCtx, rolloutPause)
	}
}

// randomPlan returns the plan of a random rollout.
func randomPlan(random *rand.Rand, services []string) plan {
	p := plan{
		service: services[random.IntN(len(services))], duration: minRolloutSpan + time.Duration(random.Int64N(int64(rolloutSpanRange))),
	}
	if random.IntN(goodOneIn) > 0 {
		faults := faultsOf(p.service)
		p.fault = faults[random.IntN(len(faults))]
	}
	switch random.IntN(specialOneIn) {
	case 0:
		p.cancelledAfter = time.Duration(random.Int64N(int64(p.duration)))
	case 1:
		p.replacedAfter = time.Duration(random.Int64N(int64(p.duration)))
	case 2:
		p.targetsServingVersion = random.IntN(2) == 0
		p.hasNoLeafs = !p.targetsServingVersion
	}
	return p
}

// faultsOf returns the faults that a version of a service can have. Faults of one route need a service to which several
// routes always lead; only one service has these.
func faultsOf(service string) []rollouts.Fault {
	return slices.DeleteFunc(rollouts.Faults(AtMostOncePrefix), func(fault rollouts.Fault) bool {
		return fault.Prefix != "" && service != singleName
	})
}

// describe names the fault or the special case of a rollout.
func describe(p plan) string {
	switch {
	case p.targetsServingVersion:
		return "serves already"
	case p.hasNoLeafs:
		return "no leafs"
	case p.cancelledAfter > 0:
		return fmt.Sprintf("%s, cancelled after %v", p.fault, p.cancelledAfter.Round(time.Millisecond))
	case p.replacedAfter > 0:
		return fmt.Sprintf("%s, replaced after %v", p.fault, p.replacedAfter.Round(time.Millisecond))
	}
	return p.fault.String()
}
