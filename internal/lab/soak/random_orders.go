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

// Bounds of the random orders' durations, and one in how many is good, or odd: cancelled, replaced, for the version that
// already serves, or for one without leafs.
const (
	shortOrder   = 6 * time.Second
	orderRange   = 5 * time.Second
	goodPart     = 3 // one order in so many is for a good version
	oddPart      = 8
	pauseOfOrder = 2 * time.Second
)

// run gives one order after the other while faults are injected, and waits for the outcome of the last one.
func (o *operator) run(ctx, faulty context.Context, random *rand.Rand) {
	for faulty.Err() == nil && ctx.Err() == nil {
		p := draw(random, o.environment.services())
		number, err := o.rollOut(ctx, p)
		if err != nil {
			o.log("FAILED ROLLOUT " + err.Error())
			return
		}
		release := o.allReleases()[number]
		status, at := release.Outcome()
		o.log(fmt.Sprintf("%s (%s, %v): %q after %v, %d bad answers", nameOf(release), describe(p), p.duration, status,
			at.Sub(release.At).Round(time.Millisecond), release.BadAnswers()))
		wait.For(faulty, pauseOfOrder)
	}
}

// draw returns a random order.
func draw(random *rand.Rand, services []string) plan {
	p := plan{
		service: services[random.IntN(len(services))], duration: shortOrder + time.Duration(random.Int64N(int64(orderRange))),
	}
	if random.IntN(goodPart) > 0 {
		faults := faultsOf(p.service)
		p.fault = faults[random.IntN(len(faults))]
	}
	switch random.IntN(oddPart) {
	case 0:
		p.cancelledAfter = time.Duration(random.Int64N(int64(p.duration)))
	case 1:
		p.replacedAfter = time.Duration(random.Int64N(int64(p.duration)))
	case 2:
		p.isServing = random.IntN(2) == 0
		p.isEmpty = !p.isServing
	}
	return p
}

// faultsOf returns the faults that a version of a service can have. Only one service has several routes that always lead to
// it.
func faultsOf(service string) []rollouts.Fault {
	return slices.DeleteFunc(rollouts.Faults(OncePrefix), func(fault rollouts.Fault) bool {
		return fault.Prefix != "" && service != singleName
	})
}

// describe returns what is special about an order.
func describe(p plan) string {
	switch {
	case p.isServing:
		return "serves already"
	case p.isEmpty:
		return "no leafs"
	case p.cancelledAfter > 0:
		return fmt.Sprintf("%s, cancelled after %v", p.fault, p.cancelledAfter.Round(time.Millisecond))
	case p.replacedAfter > 0:
		return fmt.Sprintf("%s, replaced after %v", p.fault, p.replacedAfter.Round(time.Millisecond))
	}
	return p.fault.String()
}
