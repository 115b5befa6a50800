package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/node/settings"
)

// Disabled roll-outs neither send nor receive messages.
func TestRolloutsThatAreOffHearNothing(t *testing.T) {
	is := is.New(t)
	off, err := newRollouts(rolloutDeps{Config: settings.Default()})
	is.NoErr(err)
	is.True(off.handler() == nil)
	off.run(t.Context()) // ends at once
}

// Without guarded writes two evaluator nodes could overwrite each other's decisions.
func TestRolloutsNeedGuardedWrites(t *testing.T) {
	is := is.New(t)
	config := settings.Default()
	config.Rollouts.Enabled = true
	_, err := newRollouts(rolloutDeps{Config: config})
	faults := failure.Faults(err)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Field, "rollouts.enabled")
}
