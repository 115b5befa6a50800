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

// A record that the store accepted and lost in a restore before it was in force at any node is written again by the
// node that found it, even if there is no other node to take over.
func TestRecordThatARestoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, "a")
		key := catalog.QuarantineKey(subject.Content.String())
		f.set(func() { f.node("a").isCut = true })
		f.node("a").crashLeafs()
		time.Sleep(contact)
		f.set(func() { is.Equal(f.writes, 1) })
		f.set(func() {
			delete(f.entries, key)
			f.revision = revision.At(1, 1)
			f.node("a").isCut = false
		})
		f.node("a").follow()
		time.Sleep(contact)
		f.set(func() {
			_, isKept := f.entries[key]
			is.Equal(f.writes, 2)
			is.True(isKept)
		})
		is.True(f.allInState(quarantine.Quarantined))
	})
}
