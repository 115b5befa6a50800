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

// Orders at random: how long they take, and one in how many is taken back, replaced, or names the version that
// serves or one without leafs.
const (
	shortOrder   = 6 * time.Second
	orderRange   = 5 * time.Second
	goodPart     = 3 // of the orders are for a good version
	oddPart      = 8
	pauseOfOrder = 2 * time.Second
)

// run gives one order after the other while faults are brought about, and ends the last one.
func (o *operator) run(ctx, faulty context.Context, random *rand.Rand) {
	for faulty.Err() == nil && ctx.Err() == nil {
		p := draw(random, o.world.services())
		number, err := o.play(ctx, p)
		if err != nil {
			o.tell("FAILED ROLLOUT " + err.Error())
			return
		}
		release := o.played()[number]
		told, at := release.Outcome()
		o.tell(fmt.Sprintf("%s (%s, %v): %q after %v, %d bad answers", nameOf(release), describe(p), p.duration, told,
			at.Sub(release.At).Round(time.Millisecond), release.BadAnswers()))
		wait.For(faulty, pauseOfOrder)
	}
}

// draw draws an order.
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
		p.takenBack = time.Duration(random.Int64N(int64(p.duration)))
	case 1:
		p.replaced = time.Duration(random.Int64N(int64(p.duration)))
	case 2:
		p.isServing = random.IntN(2) == 0
		p.isEmpty = !p.isServing
	}
	return p
}

// faultsOf gives the sorts of bad versions of a service; only one has several routes that always lead to it.
func faultsOf(service string) []rollouts.Fault {
	return slices.DeleteFunc(rollouts.Faults(OncePrefix), func(fault rollouts.Fault) bool {
		return fault.Prefix != "" && service != singleName
	})
}

// describe says what is special of an order.
func describe(p plan) string {
	switch {
	case p.isServing:
		return "serves already"
	case p.isEmpty:
		return "no leafs"
	case p.takenBack > 0:
		return fmt.Sprintf("%s, taken back after %v", p.fault, p.takenBack.Round(time.Millisecond))
	case p.replaced > 0:
		return fmt.Sprintf("%s, replaced after %v", p.fault, p.replaced.Round(time.Millisecond))
	}
	return p.fault.String()
}
