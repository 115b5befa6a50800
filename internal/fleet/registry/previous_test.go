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

var resuming = catalog.NodeRecord{ID: "n", Zone: "z", Address: "127.0.0.1:1"}

// leave puts a record that is bound to a lease into a configuration.
func leave(t *testing.T, known *catalog.Catalog, left leasedRecord) {
	t.Helper()
	document, err := json.Marshal(left)
	if err != nil {
		t.Fatal(err)
	}
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		t.Fatal(err)
	}
	revision := known.Revision()
	known.Apply(catalog.Change{Entry: catalog.Entry{Key: catalog.NodeKey(left.ID), Value: value, Revision: revision + 1}, Previous: revision})
}

// startResuming runs the registry of a node with an earlier record, in virtual time, and returns the function that stops it
// and waits for its end.
func startResuming(t *testing.T, lessor *memoryLessor, known *catalog.Catalog, ready chan struct{}) (stop func()) {
	t.Helper()
	record := New(DefaultConfig(), lessor, resuming, zap.NewNop())
	record.ResumeFrom(known, ready)
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

// runResuming runs such a registry and returns its calls in some seconds.
func runResuming(t *testing.T, lessor *memoryLessor, known *catalog.Catalog, ready chan struct{}, seconds int) (granted, kept int) {
	t.Helper()
	stop := startResuming(t, lessor, known, ready)
	defer stop()
	time.Sleep(time.Duration(seconds) * time.Second)
	granted, kept, _, _ = lessor.calls(catalog.NodeKey("n"))
	return granted, kept
}

// closed returns a closed channel: there is configuration.
func closed() chan struct{} {
	ready := make(chan struct{})
	close(ready)
	return ready
}

// A node that restarts before its record is gone renews the lease of the record instead of registering, unless the record
// differs, or its lease is over.
func TestRecordOfAnEarlierProcessIsResumed(t *testing.T) {
	moved := resuming
	moved.Address = "127.0.0.1:2"
	for name, one := range map[string]struct {
		left    leasedRecord
		lost    bool
		granted int
	}{
		"as it was":    {leasedRecord{NodeRecord: resuming, Lease: 7}, false, 0},
		"elsewhere":    {leasedRecord{NodeRecord: moved, Lease: 7}, false, 1},
		"lease over":   {leasedRecord{NodeRecord: resuming, Lease: 7}, true, 1},
		"lease untold": {leasedRecord{NodeRecord: resuming}, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				known := catalog.New(nil)
				leave(t, known, one.left)
				lessor := &memoryLessor{put: map[string]int64{}, lost: one.lost}
				granted, kept := runResuming(t, lessor, known, closed(), 25)
				is.Equal(granted, one.granted)
				is.Equal(kept, 3-one.granted)
			})
		})
	}
}

// A node that gets no configuration registers all the same.
func TestNodeWithoutConfigurationRegisters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		lessor := &memoryLessor{put: map[string]int64{}}
		granted, _ := runResuming(t, lessor, catalog.New(nil), make(chan struct{}), 3)
		is.Equal(granted, 1)
	})
}

// A node that resumed by an old state changes to the lease that its record is bound to.
func TestReplacedLeaseIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		known := catalog.New(nil)
		leave(t, known, leasedRecord{NodeRecord: resuming, Lease: 7})
		lessor := &memoryLessor{put: map[string]int64{}}
		go func() {
			time.Sleep(5 * time.Second)
			leave(t, known, leasedRecord{NodeRecord: resuming, Lease: 8})
		}()
		granted, kept := runResuming(t, lessor, known, closed(), 25)
		is.Equal(granted, 0)
		is.Equal(kept, 3)
		is.Equal(lessor.keptLast, int64(8))
	})
}
