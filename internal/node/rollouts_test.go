package node

import (
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/node/settings"
)

// A node with disabled rollouts must handle no rollout messages and run no loops.
func TestDisabledRolloutsHandleNoMessages(t *testing.T) {
	is := is.New(t)
	disabled, err := newRollouts(rolloutDeps{Config: settings.Default()})
	is.NoErr(err)
	is.True(disabled.handler() == nil)
	disabled.run(t.Context()) // run must return at once
}

// Without guarded writes two evaluator nodes could overwrite each other's decisions.
func TestRolloutsRequireGuardedWrites(t *testing.T) {
	is := is.New(t)
	cfg := settings.Default()
	cfg.Rollouts.Enabled = true
	_, err := newRollouts(rolloutDeps{Config: cfg})
	faults := failure.Faults(err)
	is.Equal(len(faults), 1)
	is.Equal(faults[0].Field, "rollouts.enabled")
}
