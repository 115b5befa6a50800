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

// versionsScene runs a test on a fleet whose nodes write the serving versions, with the services named by the routes.
func versionsScene(t *testing.T, run func(is *is.I, f *fleet)) {
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

// versions returns the versions in force after enough time for any node to write.
func (f *fleet) versions() map[string]string {
	time.Sleep(time.Duration(len(f.all())+1)*f.cfg.VersionsDelay + versionsInterval)
	return f.all()[0].catalog.View().Versions
}

func TestVersionsAreWrittenByOneNodeInOneWrite(t *testing.T) {
	versionsScene(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "a", 3)
		f.addLeafs("u", "b", 3)
		is.Equal(f.versions(), map[string]string{"s": "a", "u": "b"})
		is.Equal(f.store.allCalls(), 1)
	})
}

// The stored version stays, also when another appears beside it or in its place.
func TestVersionThatIsWrittenDownStays(t *testing.T) {
	versionsScene(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "a", 1)
		is.Equal(f.versions(), map[string]string{"s": "a"})
		f.addLeafs("s", "b", 1)
		f.store.set(catalog.LeafKey("s-a-0"), nil)
		is.Equal(f.versions(), map[string]string{"s": "a"})
		is.Equal(f.store.allCalls(), 1)
	})
}

func TestNothingIsWrittenWhereVersionsDifferOrAreNotTold(t *testing.T) {
	versionsScene(t, func(is *is.I, f *fleet) {
		f.addLeafs("s", "", 2)
		f.addLeafs("u", "a", 1)
		f.addLeafs("u", "b", 1)
		is.Equal(len(f.versions()), 0)
		is.Equal(f.store.allCalls(), 0)
	})
}

// A service that a spec concerns has a state and no stored version.
func TestNoVersionIsWrittenOfServicesUnderRollout(t *testing.T) {
	versionsScene(t, func(is *is.I, f *fleet) {
		f.startRollout("s", "b", time.Hour)
		f.addLeafs("s", "b", 1)
		is.Equal(len(f.versions()), 0)
	})
}

// A service without leafs keeps its version as long as a route names it.
func TestServicesThatAreGoneAreDropped(t *testing.T) {
	versionsScene(t, func(is *is.I, f *fleet) {
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

func TestAnotherNodeWritesVersionsIfTheFirstIsCutOff(t *testing.T) {
	versionsScene(t, func(is *is.I, f *fleet) {
		first := registry.RendezvousOrder(f.all()[0].catalog.View().Nodes, catalog.VersionsKey)[0].ID
		f.store.fail(func(m *memoryStore) { m.refused[first] = true })
		f.addLeafs("s", "a", 1)
		is.Equal(f.versions(), map[string]string{"s": "a"})
	})
}
