package rolloutcontrol

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// withVersionsWriters runs a test on a fleet of three nodes that write the serving versions.
func withVersionsWriters(t *testing.T, run func(is *is.I, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, node := range f.all() {
			go NewVersionsWriter(f.cfg, node.catalog, storeView{f.store, node}, node.id, node).Run(ctx)
		}
		run(is.New(t), f)
	})
}

// versions waits until any node could have written, and returns the versions in force.
func (f *fleet) versions() map[string]string {
	time.Sleep(time.Duration(len(f.all())+1)*f.cfg.VersionsDelay + versionsInterval)
	return f.all()[0].catalog.View().Versions
}

func TestVersionsAreWrittenInOneWrite(t *testing.T) {
	withVersionsWriters(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "a", 3)
		f.addLeafs("u", "b", 3)
		is.Equal(f.versions(), map[string]string{"s": "a", "u": "b"})
		is.Equal(f.store.allCalls(), 1)
	})
}

// The stored version stays when leafs of another version are added or replace its leafs.
func TestStoredVersionStays(t *testing.T) {
	withVersionsWriters(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "a", 1)
		is.Equal(f.versions(), map[string]string{"s": "a"})
		f.addLeafs("s", "b", 1)
		f.store.set(catalog.LeafKey("s-a-0"), nil)
		is.Equal(f.versions(), map[string]string{"s": "a"})
		is.Equal(f.store.allCalls(), 1)
	})
}

func TestNoVersionIsWrittenForMixedOrUnversionedLeafs(t *testing.T) {
	withVersionsWriters(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "", 2)
		f.addLeafs("u", "a", 1)
		f.addLeafs("u", "b", 1)
		is.Equal(len(f.versions()), 0)
		is.Equal(f.store.allCalls(), 0)
	})
}

// No version is stored for a service with a spec, because its state contains the serving version.
func TestNoVersionIsWrittenDuringRollout(t *testing.T) {
	withVersionsWriters(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", time.Hour)
		f.addLeafs("s", "b", 1)
		is.Equal(len(f.versions()), 0)
	})
}

// A service without leafs keeps its version only while a route names it.
func TestVersionsOfRemovedServicesAreDropped(t *testing.T) {
	withVersionsWriters(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "a", 1)
		f.addLeafs("u", "a", 1)
		routesTo := func(service string) routing.Configuration {
			return routing.Configuration{Version: 1, Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/", Repeatability: routing.Repeatable, Service: service}}}
		}
		f.store.set(catalog.RoutesKey, routesTo("s"))
		is.Equal(f.versions(), map[string]string{"s": "a", "u": "a"})
		f.store.set(catalog.LeafKey("s-a-0"), nil)
		f.store.set(catalog.LeafKey("u-a-0"), nil)
		is.Equal(f.versions(), map[string]string{"s": "a"})
		is.Equal(f.store.allCalls(), 2)
	})
}

func TestNextNodeWritesVersionsIfFirstIsRejected(t *testing.T) {
	withVersionsWriters(t, func(is *is.I, f *fleet) {
		first := registry.RendezvousOrder(f.all()[0].catalog.View().Nodes, catalog.VersionsKey)[0].ID
		f.store.inject(func(m *memoryStore) { m.rejected[first] = true })
		f.addLeafs("s", "a", 1)
		is.Equal(f.versions(), map[string]string{"s": "a"})
	})
}
