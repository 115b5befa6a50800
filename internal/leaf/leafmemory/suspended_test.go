package leafmemory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// The time during which the machine was suspended counts toward the retention of a lost leaf.
func TestRetentionIncludesSuspendedTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	cat := catalog.New(nil)
	cat.SetClock(clock)
	memory := New(DefaultConfig(), cat)
	memory.SetClock(clock)
	put(t, cat, catalog.LeafKey("a"), record("a", leafset.Ready))
	now = now.Add(time.Minute)
	put(t, cat, catalog.LeafKey("a"), record("a", leafset.Draining))
	is.True(memory.MaySend("a"))
	now = now.Add(DefaultConfig().Retention + time.Second) // the machine is suspended
	is.True(!memory.MaySend("a"))
	leafs, _ := memory.Candidates("s")
	is.Equal(len(leafs), 0)
}
