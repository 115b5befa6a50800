package rolloutcontrol

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The nodes are asked once the requests can have moved and not before, so that success is told soon by few calls.
func TestNodesAreAskedOnceTheyCanBeSettled(t *testing.T) {
	for _, ramp := range []time.Duration{100 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second} {
		t.Run(ramp.String(), func(t *testing.T) {
			scene(t, func(is *is.I, f *fleet) {
				f.ramp = ramp
				f.order("s", "b", usual)
				for len(f.store.phases("s")) < 2 {
					f.serve(100*time.Millisecond, never)
				}
				f.serve(syncDelay+ramp+f.cfg.SettleInterval, never)
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
