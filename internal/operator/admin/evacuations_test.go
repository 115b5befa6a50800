package admin

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configwriter"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/failure"
)

// memoryStore is an in-memory store that applies each change to a catalog at once.
type memoryStore struct {
	store.Store
	cat *catalog.Catalog

	mu      sync.Mutex
	entries map[string]catalog.Entry
}

func (s *memoryStore) Get(_ context.Context, key string) (*catalog.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found := s.entries[key]
	if !found {
		return nil, nil
	}
	return &entry, nil
}

func (s *memoryStore) CompareAndSwap(_ context.Context, key string, expected int64, value []byte, remove bool) (store.SwapResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before, found := s.entries[key]
	current := before.Revision
	if !found || before.Deleted {
		current = 0
	}
	if current != expected {
		return store.SwapResult{Entry: &before}, nil
	}
	entry := catalog.Entry{Key: key, Value: value, Revision: s.cat.Revision() + 1, Deleted: remove}
	s.entries[key] = entry
	s.cat.Apply(catalog.Change{Entry: entry, Previous: entry.Revision - 1})
	return store.SwapResult{Swapped: true, Entry: &entry}, nil
}

func newTestAdmin() (*Admin, *catalog.Catalog) {
	cat := catalog.New(nil)
	memory := &memoryStore{cat: cat, entries: map[string]catalog.Entry{}}
	return New(cat, memory, configwriter.New(configwriter.DefaultConfig(), memory)), cat
}

// Evacuating an evacuated zone, or restoring a restored one, must be a conflict.
func TestZoneIsEvacuatedAndRestored(t *testing.T) {
	is := is.New(t)
	admin, cat := newTestAdmin()
	evacuated, err := admin.EvacuateZone(t.Context(), &adminv1.EvacuateZoneRequest{Zone: "east", ChangeId: "c1"})
	is.NoErr(err)
	is.True(cat.View().Leafs.IsEvacuated("east"))
	again, err := admin.EvacuateZone(t.Context(), &adminv1.EvacuateZoneRequest{Zone: "east", ChangeId: "c1"})
	is.NoErr(err) // the same change sent again after a lost reply
	is.Equal(again.GetRevision(), evacuated.GetRevision())
	_, err = admin.EvacuateZone(t.Context(), &adminv1.EvacuateZoneRequest{Zone: "east", ChangeId: "c2"})
	is.True(failure.Is(err, failure.RevisionConflict))

	listed := admin.ListEvacuatedZones().GetZones()
	is.Equal(len(listed), 1)
	is.Equal(listed[0].GetZone(), "east")
	is.Equal(listed[0].GetRevision(), evacuated.GetRevision())

	_, err = admin.RestoreZone(t.Context(), &adminv1.RestoreZoneRequest{Zone: "east", ExpectedRevision: evacuated.GetRevision()})
	is.NoErr(err)
	is.True(!cat.View().Leafs.IsEvacuated("east"))
	_, err = admin.RestoreZone(t.Context(), &adminv1.RestoreZoneRequest{Zone: "east", ExpectedRevision: evacuated.GetRevision()})
	is.True(failure.Is(err, failure.RevisionConflict))
	is.Equal(len(admin.ListEvacuatedZones().GetZones()), 0)
}

// If several operators evacuate a zone at the same time, exactly one must succeed.
func TestConcurrentEvacuationsConflict(t *testing.T) {
	is := is.New(t)
	admin, _ := newTestAdmin()
	outcomes := make(chan error, 8)
	for range cap(outcomes) {
		go func() {
			_, err := admin.EvacuateZone(context.Background(), &adminv1.EvacuateZoneRequest{Zone: "east"})
			outcomes <- err
		}()
	}
	accepted := 0
	for range cap(outcomes) {
		err := <-outcomes
		if err == nil {
			accepted++
			continue
		}
		is.True(failure.Is(err, failure.RevisionConflict))
	}
	is.Equal(accepted, 1)
}

func TestInvalidEvacuationNamesField(t *testing.T) {
	is := is.New(t)
	admin, _ := newTestAdmin()
	_, err := admin.EvacuateZone(t.Context(), &adminv1.EvacuateZoneRequest{})
	is.Equal(failure.From(err).Field, "zone")
	_, err = admin.RestoreZone(t.Context(), &adminv1.RestoreZoneRequest{ExpectedRevision: 1})
	is.Equal(failure.From(err).Field, "zone")
	_, err = admin.RestoreZone(t.Context(), &adminv1.RestoreZoneRequest{Zone: "east"})
	is.Equal(failure.From(err).Field, "expected_revision")
}
