package quarantinesync

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/quarantine"
)

// A record that the store accepted, and lost in a restore before any node's catalog had it, is written again by the
// node that found it, even if there is no aggregator besides this node.
func TestRecordLostInRestoreIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a")
		key := catalog.QuarantineKey(subject.Fingerprint.String())
		f.withLock(func() { f.node("a").isPartitioned = true })
		f.node("a").crashLeafs()
		time.Sleep(convergenceTime)
		f.withLock(func() { is.Equal(f.writes, 1) })
		f.withLock(func() {
			delete(f.entries, key)
			f.revision = revision.At(1, 1)
			f.node("a").isPartitioned = false
		})
		f.node("a").refresh()
		time.Sleep(convergenceTime)
		f.withLock(func() {
			_, isStored := f.entries[key]
			is.Equal(f.writes, 2)
			is.True(isStored)
		})
		is.True(f.allInState(quarantine.Quarantined))
	})
}
