package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
)

// A restore of the store is noticed within a second, not by the next renewal: a node whose record was lost registers again, a
// node whose record is still there renews its lease, and neither touches the lease that it had, which may be another node's.
func TestRecordIsLookedAfterOnceTheStoreIsRestored(t *testing.T) {
	for name, isLost := range map[string]bool{"lost": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				known := catalog.New(nil)
				leave(t, known, leasedRecord{NodeRecord: resuming, Lease: 7})
				lessor := &memoryLessor{put: map[string]int64{}}
				stop := startResuming(t, lessor, known, closed())
				time.Sleep(time.Second)
				_, kept, _, _ := lessor.calls(catalog.NodeKey("n"))
				is.Equal(kept, 1)
				snapshot := known.Snapshot()
				snapshot.Revision = revision.At(1, 1)
				if isLost {
					snapshot.Entries = nil
				}
				for index := range snapshot.Entries {
					snapshot.Entries[index].Revision = revision.At(1, 1)
				}
				is.True(known.Replace(snapshot))
				time.Sleep(1100 * time.Millisecond)
				granted, kept, lost, _ := lessor.calls(catalog.NodeKey("n"))
				is.Equal(granted == 1, isLost)
				is.Equal(kept == 2, !isLost)
				is.Equal(lost, 0)
				stop()
			})
		})
	}
}

// A node that stops before it has noticed a restore doesn't end the lease that it had.
func TestLeaseOfBeforeARestoreIsNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := catalog.New(nil)
		leave(t, known, leasedRecord{NodeRecord: catalog.NodeRecord{ID: "other"}})
		lessor := &memoryLessor{put: map[string]int64{}}
		stop := startResuming(t, lessor, known, closed())
		time.Sleep(500 * time.Millisecond)
		is.True(known.Replace(catalog.Snapshot{Revision: revision.At(1, 1)}))
		stop()
		_, _, ended, _ := lessor.calls(catalog.NodeKey("n"))
		is.Equal(ended, 0)
	})
}
