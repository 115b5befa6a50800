package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/node/boottime"
)

// Datagrams that were queued before a suspension are read when the machine resumes. The length of the suspension is added
// to their age.
func TestDatagramsQueuedBeforeSuspensionAreAged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspendedFor := time.Duration(0)
		node := catalog.New(nil)
		node.SetClock(func() time.Time { return time.Now().Add(suspendedFor) })
		s := New(Deps{Config: DefaultConfig(), Catalog: node})
		is.Equal(s.queueDelay(), time.Duration(0))
		time.Sleep(time.Second)
		is.Equal(s.queueDelay(), time.Duration(0))
		suspendedFor = 10 * time.Second
		is.Equal(s.queueDelay(), 10*time.Second)
		time.Sleep(time.Millisecond)
		is.Equal(s.queueDelay(), 10*time.Second) // the next queued datagram
		time.Sleep(boottime.CheckInterval)
		is.Equal(s.queueDelay(), time.Duration(0))
	})
}
