package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/revision"
)

// A node detects a restore of the store within a second. It registers again if its record was lost, and else renews the
// lease of the record. It never revokes the lease that it had before, since that may belong to another node.
func TestRecordIsCheckedAfterStoreRestore(t *testing.T) {
	for name, isLost := range map[string]bool{"lost": true, "still there": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cat := catalog.New(nil)
				putRecord(t, cat, leasedRecord{NodeRecord: ownRecord, Lease: 7})
				lessor := &memoryLessor{put: map[string]int64{}}
				stop := startResuming(t, lessor, cat, closedChannel())
				time.Sleep(time.Second)
				_, kept, _, _ := lessor.calls(catalog.NodeKey("n"))
				is.Equal(kept, 1)
				snapshot := cat.Snapshot()
				snapshot.Revision = revision.At(1, 1)
				if isLost {
					snapshot.Entries = nil
				}
				for index := range snapshot.Entries {
					snapshot.Entries[index].Revision = revision.At(1, 1)
				}
				is.True(cat.Replace(snapshot))
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

// A node that stops before it has handled a restore doesn't revoke the lease that it had.
func TestLeaseFromBeforeStoreRestoreIsNotEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := catalog.New(nil)
		putRecord(t, cat, leasedRecord{NodeRecord: catalog.NodeRecord{ID: "other"}})
		lessor := &memoryLessor{put: map[string]int64{}}
		stop := startResuming(t, lessor, cat, closedChannel())
		time.Sleep(500 * time.Millisecond)
		is.True(cat.Replace(catalog.Snapshot{Revision: revision.At(1, 1)}))
		stop()
		_, _, ended, _ := lessor.calls(catalog.NodeKey("n"))
		is.Equal(ended, 0)
	})
}
