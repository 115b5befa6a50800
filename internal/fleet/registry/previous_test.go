package registry

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

var ownRecord = catalog.NodeRecord{ID: "n", Zone: "z", Address: "127.0.0.1:1"}

// putRecord puts a node record with a lease into a configuration.
func putRecord(t *testing.T, cat *catalog.Catalog, record leasedRecord) {
	t.Helper()
	document, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		t.Fatal(err)
	}
	revision := cat.Revision()
	cat.Apply(catalog.Change{Entry: catalog.Entry{Key: catalog.NodeKey(record.ID), Value: value, Revision: revision + 1}, Previous: revision})
}

// startResuming runs the registry of a node that may resume a previous record, and returns a function that stops the
// registry and waits for its end.
func startResuming(t *testing.T, lessor *memoryLessor, cat *catalog.Catalog, ready chan struct{}) (stop func()) {
	t.Helper()
	record := New(DefaultConfig(), lessor, ownRecord, zap.NewNop())
	record.ResumeFrom(cat, ready)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		record.Run(ctx)
		close(ended)
	}()
	return func() {
		cancel()
		<-ended
	}
}

// runResuming runs such a registry for a number of seconds and returns how many leases it was granted and how often it
// renewed one.
func runResuming(t *testing.T, lessor *memoryLessor, cat *catalog.Catalog, ready chan struct{}, seconds int) (granted, kept int) {
	t.Helper()
	stop := startResuming(t, lessor, cat, ready)
	defer stop()
	time.Sleep(time.Duration(seconds) * time.Second)
	granted, kept, _, _ = lessor.calls(catalog.NodeKey("n"))
	return granted, kept
}

// closedChannel returns a closed channel, which signals that there is a configuration.
func closedChannel() chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}

// A node that restarts while its record is in the store renews the lease of the record instead of registering, unless the
// record differs or the lease has expired.
func TestRecordOfPreviousProcessIsResumed(t *testing.T) {
	moved := ownRecord
	moved.Address = "127.0.0.1:2"
	for name, test := range map[string]struct {
		record  leasedRecord
		lost    bool
		granted int
	}{
		"unchanged":          {leasedRecord{NodeRecord: ownRecord, Lease: 7}, false, 0},
		"address changed":    {leasedRecord{NodeRecord: moved, Lease: 7}, false, 1},
		"lease expired":      {leasedRecord{NodeRecord: ownRecord, Lease: 7}, true, 1},
		"no lease in record": {leasedRecord{NodeRecord: ownRecord}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				cat := catalog.New(nil)
				putRecord(t, cat, test.record)
				lessor := &memoryLessor{put: map[string]int64{}, lost: test.lost}
				granted, kept := runResuming(t, lessor, cat, closedChannel(), 25)
				is.Equal(granted, test.granted)
				is.Equal(kept, 3-test.granted)
			})
		})
	}
}

// A node that receives no configuration still registers.
func TestNodeWithoutConfigurationRegisters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lessor := &memoryLessor{put: map[string]int64{}}
		granted, _ := runResuming(t, lessor, catalog.New(nil), make(chan struct{}), 3)
		is.Equal(granted, 1)
	})
}

// A node that resumed from an old state switches to the lease that its record is bound to.
func TestReplacedLeaseIsNotRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cat := catalog.New(nil)
		putRecord(t, cat, leasedRecord{NodeRecord: ownRecord, Lease: 7})
		lessor := &memoryLessor{put: map[string]int64{}}
		go func() {
			time.Sleep(5 * time.Second)
			putRecord(t, cat, leasedRecord{NodeRecord: ownRecord, Lease: 8})
		}()
		granted, kept := runResuming(t, lessor, cat, closedChannel(), 25)
		is.Equal(granted, 0)
		is.Equal(kept, 3)
		is.Equal(lessor.keptLast, int64(8))
	})
}
