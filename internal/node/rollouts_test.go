package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/node/settings"
)

// Roll-outs that are off have no part in what nodes tell each other.
func TestRolloutsThatAreOffHearNothing(t *testing.T) {
	is := is.New(t)
	off, err := newRollouts(rolloutDeps{Config: settings.Default()})
	is.NoErr(err)
	is.True(off.hearer() == nil)
	off.run(t.Context()) // ends at once
}

// A store without writes under conditions can't keep the promises of roll-outs.
func TestRolloutsNeedGuardedWrites(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Rollouts.Enabled = true
	_, err := newRollouts(rolloutDeps{Config: config})
	faults := failure.Faults(err)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Field, "rollouts.enabled")
}
