package rolloutcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout"
)

// The first query of the nodes is sent after the ramp, so that one query suffices.
func TestNodesAreQueriedAfterRamp(t *testing.T) {
	for _, ramp := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		t.Run(ramp.String(), func(t *testing.T) {
			withFleet(t, func(is *is.I, f *fleet) {
				f.ramp = ramp
				f.startRollout("s", "b", specDuration)
				for len(f.store.phases("s")) < 2 {
					f.serve(100*time.Millisecond, never)
				}
				f.serve(syncDelay+ramp+f.cfg.SettleInterval, never)
				is.Equal(f.store.phases("s"), successPhases[:2]) // the final watch is not over
				f.serve(f.cfg.finalWatch(specDuration)+f.cfg.ReportInterval, never)
				is.Equal(f.store.phases("s"), successPhases)
				queries := int32(0)
				for _, node := range f.all() {
					queries += node.queries.Load()
				}
				is.Equal(queries, int32(1))
			})
		})
	}
}

// A version that fails only with all requests is rolled back before its spec succeeds, because the old leafs may stop
// afterwards.
func TestVersionThatFailsUnderFullLoadIsRolledBack(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		for len(f.store.phases("s")) < 2 {
			f.serve(100*time.Millisecond, never)
		}
		f.serve(syncDelay+f.ramp+f.cfg.SettleInterval, never)
		f.serve(specDuration, 0) // all requests fail
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.PhaseCanary, rollout.PhaseSwitching, rollout.PhaseRolledBack})
	})
}

// The final watch of a version that passes late ends with the spec, not with the rollback margin.
func TestFinalWatchLastsUntilEndOfSpec(t *testing.T) {
	is := is.New(t)
	cfg, duration := DefaultConfig(), 9564*time.Millisecond
	startedAt := time.Now()
	active := &activeRollout{spec: rollout.Spec{DurationMillis: duration.Milliseconds()}, learnedAt: startedAt}
	margin := duration - cfg.rollbackMargin(duration)
	is.True(!active.isFinalWatchOver(startedAt.Add(margin-100*time.Millisecond), cfg))
	is.True(!active.isFinalWatchOver(startedAt.Add(margin), cfg))
	is.True(!active.isFinalWatchOver(startedAt.Add(duration-time.Millisecond), cfg))
	is.True(active.isFinalWatchOver(startedAt.Add(duration), cfg))
}
