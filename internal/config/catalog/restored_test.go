package catalog

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/revision"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Routes that were acknowledged to operators stay in force while the restored store has older ones, until the operators
// rewrite them or write newer ones.
func TestRoutesStayThroughARestore(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	d.put(RoutesKey, routesOf(21))
	d.save()
	node := follower(d)
	node.Apply(d.put(RoutesKey, routesOf(25)))
	node.Apply(d.put(RoutesKey, routesOf(27)))
	d.restore()
	is.True(node.Replace(d.state()))
	is.Equal(node.View().Routes.Version, int64(27))
	is.Equal(revision.Epoch(node.Revision()), int64(1))
	is.Equal(len(node.RetainedEntries()), 1)

	node.Apply(d.put(RoutesKey, routesOf(25))) // an intermediate state is rewritten first
	is.Equal(node.View().Routes.Version, int64(27))
	node.Apply(d.put(RoutesKey, routesOf(27)))
	is.Equal(node.View().Routes.Version, int64(27))
	is.Equal(node.View().Routes.Revision, revision.At(1, 3))
	is.Equal(len(node.RetainedEntries()), 0)
	node.Apply(d.put(RoutesKey, routesOf(30)))
	is.Equal(node.View().Routes.Version, int64(30))
	node.Apply(d.put(RoutesKey, routesOf(29))) // operators may return to an older version
	is.Equal(node.View().Routes.Version, int64(29))
}

// A change of the new epoch whose count was used before comes into force, and a late one of the epoch before does not.
func TestCountsGivenOutAgain(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	d.put(RoutesKey, routesOf(1))
	d.save()
	node := follower(d)
	var late []Change
	for version := range int64(5) {
		change := d.put(RoutesKey, routesOf(2+version))
		late = append(late, change)
		node.Apply(change)
	}
	before := node.Revision()
	d.restore()
	changed := d.put(RoutesKey, routesOf(10))
	is.True(!node.Apply(changed)) // a gap: the whole state is needed
	is.True(changed.Entry.Revision > before)
	is.True(revision.Count(changed.Entry.Revision) < revision.Count(before))
	is.True(node.Replace(d.state()))
	is.Equal(node.View().Routes.Version, int64(10))
	is.Equal(len(node.RetainedEntries()), 0)
	is.True(node.ApplyAll(late))
	is.Equal(node.View().Routes.Version, int64(10))
	_, found := node.Since(before)
	is.True(!found) // no change leads from one epoch to the next
}

// Leafs that drain or are gone stay so although the restored store lists them as before, until they write again; those that
// it lost are the last choice.
func TestLeafsThroughARestore(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	d.put(LeafKey("stays"), leafOf("stays", leafset.Ready, 1))
	d.put(LeafKey("drains"), leafOf("drains", leafset.Ready, 1))
	d.put(LeafKey("goes"), leafOf("goes", leafset.Ready, 1))
	d.save()
	node := follower(d)
	node.Apply(d.put(LeafKey("drains"), leafOf("drains", leafset.Draining, 2)))
	node.Apply(d.put(LeafKey("goes"), nil))
	node.Apply(d.put(LeafKey("comes"), leafOf("comes", leafset.Ready, 1)))
	began := time.Now()
	d.restore()
	is.True(node.Replace(d.state()))
	leafs := node.View().Leafs
	drains, _ := leafs.ByID("drains")
	is.Equal(drains.State, leafset.Draining)
	_, isListed := leafs.ByID("goes")
	is.True(!isListed)
	_, isListed = leafs.ByID("comes")
	is.True(!isListed)
	_, isLast := leafs.LostByID("comes", began)
	is.True(isLast)
	is.Equal(len(leafs.Ready("s")), 1)

	node.Apply(d.put(LeafKey("comes"), leafOf("comes", leafset.Ready, 2)))
	node.Apply(d.put(LeafKey("drains"), leafOf("drains", leafset.Ready, 1))) // by its own sequence number this is older
	drains, _ = node.View().Leafs.ByID("drains")
	is.Equal(drains.State, leafset.Draining)
	node.Apply(d.put(LeafKey("drains"), nil))
	is.Equal(len(node.View().Leafs.Ready("s")), 2)
}

// A leaf that was cold when it registered is not cold again because the store was restored.
func TestLeafsStayWarmThroughARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newRestorableStore(t)
		cold := leafOf("a", leafset.Ready, 1)
		cold.WarmupMillis = 3000
		d.put(LeafKey("a"), cold)
		d.save()
		node := follower(d)
		time.Sleep(time.Minute)
		d.restore()
		is.True(node.Replace(d.state()))
		leaf, _ := node.View().Leafs.ByID("a")
		is.True(leaf.ColdUntil.Before(time.Now()))
		node.Apply(d.put(LeafKey("a"), cold)) // the leaf itself registered again
		leaf, _ = node.View().Leafs.ByID("a")
		is.True(leaf.ColdUntil.After(time.Now()))
	})
}

// fleetMayWrite reserves two evacuations for operators.
func fleetMayWrite(key string) bool { return key != EvacuationKey("z") && key != EvacuationKey("new") }

// What operators and the fleet wrote since the backup stays in force until it is rewritten, or for RetainFor; what is older
// and missing was removed.
func TestOtherEntriesThroughARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newRestorableStore(t)
		d.put(EvacuationKey("long"), struct{}{})
		node := follower(d)
		node.SetWritable(fleetMayWrite)
		time.Sleep(2 * lossWindow)
		node.Apply(d.put(EvacuationKey("back"), struct{}{}))
		d.save()
		node.Apply(d.put(EvacuationKey("new"), struct{}{}))
		node.Apply(d.put(EvacuationKey("again"), struct{}{}))
		node.Apply(d.put(EvacuationKey("back"), nil))
		d.restore()
		d.put(EvacuationKey("long"), nil) // before the node reads the store
		is.True(node.Replace(d.state()))
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"again", "back", "new"})
		node.Apply(d.put(EvacuationKey("again"), struct{}{}))
		is.Equal(len(node.RetainedEntries()), 1)
		time.Sleep(RetainFor - time.Second)
		node.DropExpired()
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"again", "back", "new"})
		time.Sleep(time.Second)
		node.DropExpired()
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"again", "back"})
		is.Equal(len(node.RetainedEntries()), 0)
	})
}

// What nodes write themselves stays until one of them has rewritten it, however long the store refuses writes.
func TestFleetsOwnStaysUntilItIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newRestorableStore(t)
		d.save()
		node := follower(d)
		node.SetWritable(fleetMayWrite)
		node.Apply(d.put(EvacuationKey("fleets"), struct{}{}))
		d.restore()
		is.True(node.Replace(d.state()))
		time.Sleep(time.Hour)
		node.DropExpired()
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"fleets"})
		node.Apply(d.put(EvacuationKey("fleets"), struct{}{}))
		is.Equal(len(node.RetainedEntries()), 0)
	})
}

// A change of many entries is named by the marker key, which has no value in the store: it is never retained or rewritten.
func TestMarkersAreNotKept(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	d.put(RoutesKey, routesOf(1))
	d.save()
	first, second := follower(d), follower(d)
	d.put(RoutesKey, routesOf(2))
	first.Replace(d.state())
	changes, found := first.Since(second.Revision())
	is.True(found)
	is.Equal(changes[0].Entry.Key, MarkerKey)
	is.True(second.ApplyAll(changes))
	is.Equal(second.View().Routes.Version, int64(2))
	d.restore()
	is.True(second.Replace(d.state()))
	is.Equal(len(second.RetainedEntries()), 1)
	is.Equal(second.RetainedEntries()[0].Entry.Key, RoutesKey)
}

// A verdict on a version outlives the restore, even if its spec was lost as well and is rewritten.
func TestVerdictsThroughARestore(t *testing.T) {
	for _, isSpecLost := range []bool{false, true} {
		t.Run(fmt.Sprint("order lost: ", isSpecLost), func(t *testing.T) {
			is := is.New(t)
			d := newRestorableStore(t)
			spec := rollout.Spec{Service: "s", Target: "v2", DurationMillis: 60000}
			if isSpecLost {
				d.save()
			}
			node := follower(d)
			node.Apply(d.put(RolloutKey("s"), spec))
			if !isSpecLost {
				d.save()
			}
			written := node.View().Rollouts["s"].Spec
			state := rollout.State{Service: "s", SpecRevision: revision.Count(written.Revision), Phase: rollout.RolledBack, Serving: "v1", Target: "v2"}
			node.Apply(d.put(RolloutStateKey("s"), state))
			is.Equal(node.View().Leafs.Rule("s").Canary, "")
			d.restore()
			d.put(EvacuationKey("other"), struct{}{}) // uses the count of the spec, or of its state
			is.True(node.Replace(d.state()))
			is.Equal(node.View().Leafs.Rule("s").Canary, "")
			if isSpecLost {
				node.Apply(d.put(RolloutKey("s"), spec))
				is.Equal(node.View().Rollouts["s"].Spec.ID(), written.ID())
			}
			is.Equal(node.View().Leafs.Rule("s").Canary, "")
			is.Equal(node.View().Leafs.Rule("s").Serving, "v1")

			// A node that never saw the lost entry understands the rewritten one.
			renewed, isDue := node.RewriteValue(node.RetainedEntries()[0].Entry)
			is.True(isDue)
			node.Apply(d.putValue(RolloutStateKey("s"), renewed, false))
			is.Equal(len(node.RetainedEntries()), 0)
			fresh := follower(d)
			is.Equal(fresh.View().Leafs.Rule("s").Canary, "")

			spec.Target = "v3"
			node.Apply(d.put(RolloutStateKey("s"), nil))
			node.Apply(d.put(RolloutKey("s"), spec))
			is.Equal(node.View().Leafs.Rule("s").Canary, "v3")
		})
	}
}

// A node that started after the restore learns from another one what the store lacks, and drops it in time.
func TestFreshNodeLearnsWhatIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newRestorableStore(t)
		d.put(RoutesKey, routesOf(1))
		d.save()
		node := follower(d)
		node.SetWritable(fleetMayWrite)
		node.Apply(d.put(RoutesKey, routesOf(2)))
		node.Apply(d.put(EvacuationKey("z"), struct{}{}))
		d.restore()
		is.True(node.Replace(d.state()))
		fresh := follower(d)
		is.Equal(fresh.View().Routes.Version, int64(1))
		is.True(fresh.RetainedFingerprint() != node.RetainedFingerprint())
		kept := node.RetainedInForce()
		fresh.Retain(kept)
		is.Equal(fresh.View().Routes.Version, int64(2))
		is.Equal(fresh.View().Leafs.EvacuatedZones(), []string{"z"})
		is.Equal(fresh.RetainedFingerprint(), node.RetainedFingerprint())

		another := New(nil)
		is.True(another.Replace(node.Snapshot())) // as a peer sends it
		is.Equal(another.RetainedFingerprint(), node.RetainedFingerprint())
		is.Equal(another.View().Routes.Version, int64(2))

		time.Sleep(RetainFor)
		node.DropExpired()
		node.Retain(kept)
		is.Equal(len(node.View().Leafs.EvacuatedZones()), 0)
		is.Equal(node.View().Routes.Version, int64(2)) // routes stay
	})
}

// Restores may follow each other, even two between two reads, while what the first one lost has not been rewritten.
func TestRestoresInARow(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	d.put(RoutesKey, routesOf(1))
	d.save()
	node := follower(d)
	node.Apply(d.put(RoutesKey, routesOf(2)))
	d.restore()
	is.True(node.Replace(d.state()))
	d.restore()
	d.restore()
	is.True(node.Replace(d.state()))
	is.Equal(revision.Epoch(node.Revision()), int64(3))
	is.Equal(node.View().Routes.Version, int64(2))
	node.Apply(d.put(RoutesKey, routesOf(2)))
	is.Equal(len(node.RetainedEntries()), 0)
}

// A node that starts may read a stale state, with a revision that is not of the epoch.
func TestStaleStateOfAnEpochBefore(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	d.put(RoutesKey, routesOf(1))
	d.save()
	for version := range int64(5) {
		d.put(RoutesKey, routesOf(2+version))
	}
	late := d.state()
	d.restore()
	late.Revision, late.IsStale = revision.At(d.epoch, revision.Count(late.Revision)), true
	node := New(nil)
	is.True(node.Replace(late))
	is.True(node.Replace(d.state()))
	is.Equal(node.Revision(), revision.At(1, 1))
	is.Equal(node.View().Routes.Version, int64(1))
	is.True(!node.Replace(d.state()))
}

// A late record of an earlier process of a leaf, in a change or a whole state, changes nothing.
func TestLateRecordOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	d := newRestorableStore(t)
	first, second := leafOf("a", leafset.Draining, 9), leafOf("a", leafset.Ready, 1)
	first.Born, second.Born = 10, 20
	d.put(LeafKey("a"), second)
	node := follower(d)
	node.Apply(d.put(LeafKey("a"), first))
	is.Equal(node.View().Leafs.IDs(), []string{"a@20"})
	is.Equal(len(node.View().Leafs.Ready("s")), 1)
	d.put(RoutesKey, routesOf(1))
	is.True(node.Replace(d.state()))
	is.Equal(node.View().Leafs.IDs(), []string{"a@20"})
	is.Equal(node.View().Routes.Version, int64(1))
	node.Apply(d.put(LeafKey("a"), nil))
	is.Equal(node.View().Leafs.Len(), 0)
}
