package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Members that a push didn't reach get its changes within 3 s. The tree of a push depends on the time, so the test tries
// several start times.
func TestPartialPushIsRepaired(t *testing.T) {
	for _, late := range []time.Duration{0, 10, 50, 100, 200, 333, 500, 700} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1, 16)
			defer f.stopAll()
			time.Sleep(15*time.Second + late*time.Millisecond)
			f.network.SetLoss(0.3)
			f.network.Cut(func(from, to string) bool { return (from < "z0-n2") != (to < "z0-n2") && from > to })
			revision := f.platform.write(t, "a", 1)
			time.Sleep(3 * time.Second)
			is.Equal(len(f.lagging(revision)), 0)
		})
	}
}
