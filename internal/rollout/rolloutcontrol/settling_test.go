package rolloutcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/rollout"
)

// The nodes are asked once the requests can have moved and not before, so that success is known soon by few calls.
func TestNodesAreAskedOnceTheyCanBeSettled(t *testing.T) {
	for _, ramp := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		t.Run(ramp.String(), func(t *testing.T) {
			scene(t, func(is *is.I, f *fleet) {
				f.ramp = ramp
				f.startRollout("s", "b", specDuration)
				for len(f.store.phases("s")) < 2 {
					f.serve(100*time.Millisecond, never)
				}
				f.serve(syncDelay+ramp+f.cfg.SettleInterval, never)
				is.Equal(f.store.phases("s"), succeeds[:2]) // it is looked at with all requests first
				f.serve(f.cfg.finalWatch(specDuration)+f.cfg.ReportInterval, never)
				is.Equal(f.store.phases("s"), succeeds)
				calls := int32(0)
				for _, node := range f.all() {
					calls += node.calls.Load()
				}
				is.Equal(calls, int32(1))
			})
		})
	}
}

// A version that fails once it has all requests is found bad before its spec succeeds, since the old leafs may stop
// then.
func TestVersionThatFailsWithAllRequestsIsFound(t *testing.T) {
	scene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", specDuration)
		for len(f.store.phases("s")) < 2 {
			f.serve(100*time.Millisecond, never)
		}
		f.serve(syncDelay+f.ramp+f.cfg.SettleInterval, never)
		f.serve(specDuration, 0) // it fails every request from here on
		is.Equal(f.store.phases("s"), []rollout.Phase{rollout.Canary, rollout.Switching, rollout.RolledBack})
	})
}

// A version that was found good late is watched with all requests until its spec's time is over, not only until the
// rollback margin.
func TestFinalWatchLastsUntilTheEndOfTheSpec(t *testing.T) {
	is := is.New(t)
	cfg, duration := DefaultConfig(), 9564*time.Millisecond
	began := time.Now()
	active := &activeRollout{spec: rollout.Spec{DurationMillis: duration.Milliseconds()}, learnedAt: began}
	margin := duration - cfg.rollbackMargin(duration)
	is.True(!active.isFinalWatchOver(began.Add(margin-100*time.Millisecond), cfg))
	is.True(!active.isFinalWatchOver(began.Add(margin), cfg))
	is.True(!active.isFinalWatchOver(began.Add(duration-time.Millisecond), cfg))
	is.True(active.isFinalWatchOver(began.Add(duration), cfg))
}
