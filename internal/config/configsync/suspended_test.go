package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Datagrams that were sent before the machine was suspended are read when it resumes: they confirm nothing about
// the present.
func TestDatagramsFromBeforeASuspensionAreOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspendedFor := time.Duration(0)
		known := catalog.New(nil)
		known.SetClock(func() time.Time { return time.Now().Add(suspendedFor) })
		s := New(Deps{Config: DefaultConfig(), Catalog: known})
		is.Equal(s.queueDelay(), time.Duration(0))
		time.Sleep(time.Second)
		is.Equal(s.queueDelay(), time.Duration(0))
		suspendedFor = 10 * time.Second
		is.Equal(s.queueDelay(), 10*time.Second)
		time.Sleep(time.Millisecond)
		is.Equal(s.queueDelay(), 10*time.Second) // the next in the queue
		time.Sleep(boottime.CheckInterval)
		is.Equal(s.queueDelay(), time.Duration(0))
	})
}
