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

// Acknowledged routes stay in force while the restored store has older ones, until the operators rewrite them or write
// newer ones.
func TestRoutesSurviveRestore(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	store.put(RoutesKey, routesOf(21))
	store.save()
	node := newFollower(store)
	node.Apply(store.put(RoutesKey, routesOf(25)))
	node.Apply(store.put(RoutesKey, routesOf(27)))
	store.restore()
	is.True(node.Replace(store.state()))
	is.Equal(node.View().Routes.Version, int64(27))
	is.Equal(revision.Epoch(node.Revision()), int64(1))
	is.Equal(len(node.RetainedEntries()), 1)

	node.Apply(store.put(RoutesKey, routesOf(25))) // the operators rewrite an intermediate state first
	is.Equal(node.View().Routes.Version, int64(27))
	node.Apply(store.put(RoutesKey, routesOf(27)))
	is.Equal(node.View().Routes.Version, int64(27))
	is.Equal(node.View().Routes.Revision, revision.At(1, 3))
	is.Equal(len(node.RetainedEntries()), 0)
	node.Apply(store.put(RoutesKey, routesOf(30)))
	is.Equal(node.View().Routes.Version, int64(30))
	node.Apply(store.put(RoutesKey, routesOf(29))) // operators may return to an older version
	is.Equal(node.View().Routes.Version, int64(29))
}

// A change of the new epoch is applied although its count was used before; a late change of the earlier epoch isn't.
func TestCountsAreReusedAfterRestore(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	store.put(RoutesKey, routesOf(1))
	store.save()
	node := newFollower(store)
	var late []Change
	for version := range int64(5) {
		change := store.put(RoutesKey, routesOf(2+version))
		late = append(late, change)
		node.Apply(change)
	}
	before := node.Revision()
	store.restore()
	changed := store.put(RoutesKey, routesOf(10))
	is.True(!node.Apply(changed)) // a gap, so the whole state is needed
	is.True(changed.Entry.Revision > before)
	is.True(revision.Count(changed.Entry.Revision) < revision.Count(before))
	is.True(node.Replace(store.state()))
	is.Equal(node.View().Routes.Version, int64(10))
	is.Equal(len(node.RetainedEntries()), 0)
	is.True(node.ApplyAll(late))
	is.Equal(node.View().Routes.Version, int64(10))
	_, found := node.Since(before)
	is.True(!found) // no change leads from one epoch to the next
}

// Draining and removed leafs keep their state although the restored store lists them as ready. Leafs that the store lost
// are used only as a last resort. Either state ends when the leaf rewrites its record.
func TestLeafStatesSurviveRestore(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	store.put(LeafKey("stays"), leafOf("stays", leafset.Ready, 1))
	store.put(LeafKey("drains"), leafOf("drains", leafset.Ready, 1))
	store.put(LeafKey("goes"), leafOf("goes", leafset.Ready, 1))
	store.save()
	node := newFollower(store)
	node.Apply(store.put(LeafKey("drains"), leafOf("drains", leafset.Draining, 2)))
	node.Apply(store.put(LeafKey("goes"), nil))
	node.Apply(store.put(LeafKey("comes"), leafOf("comes", leafset.Ready, 1)))
	began := time.Now()
	store.restore()
	is.True(node.Replace(store.state()))
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

	node.Apply(store.put(LeafKey("comes"), leafOf("comes", leafset.Ready, 2)))
	node.Apply(store.put(LeafKey("drains"), leafOf("drains", leafset.Ready, 1))) // older by its sequence number
	drains, _ = node.View().Leafs.ByID("drains")
	is.Equal(drains.State, leafset.Draining)
	node.Apply(store.put(LeafKey("drains"), nil))
	is.Equal(len(node.View().Leafs.Ready("s")), 2)
}

// A leaf that has warmed up doesn't become cold again when the store is restored.
func TestLeafsStayWarmAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRestorableStore(t)
		cold := leafOf("a", leafset.Ready, 1)
		cold.WarmupMillis = 3000
		store.put(LeafKey("a"), cold)
		store.save()
		node := newFollower(store)
		time.Sleep(time.Minute)
		store.restore()
		is.True(node.Replace(store.state()))
		leaf, _ := node.View().Leafs.ByID("a")
		is.True(leaf.ColdUntil.Before(time.Now()))
		node.Apply(store.put(LeafKey("a"), cold)) // the leaf registers again
		leaf, _ = node.View().Leafs.ByID("a")
		is.True(leaf.ColdUntil.After(time.Now()))
	})
}

// fleetMayWrite reports whether nodes may write a key. Two evacuations are reserved for operators.
func fleetMayWrite(key string) bool { return key != EvacuationKey("z") && key != EvacuationKey("new") }

// Entries written since the backup stay in force until they are rewritten, those of operators for RetentionPeriod at
// most. An older entry that is missing was removed.
func TestRecentEntriesSurviveRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRestorableStore(t)
		store.put(EvacuationKey("long"), struct{}{})
		node := newFollower(store)
		node.SetWritable(fleetMayWrite)
		time.Sleep(2 * lossWindow)
		node.Apply(store.put(EvacuationKey("back"), struct{}{}))
		store.save()
		node.Apply(store.put(EvacuationKey("new"), struct{}{}))
		node.Apply(store.put(EvacuationKey("again"), struct{}{}))
		node.Apply(store.put(EvacuationKey("back"), nil))
		store.restore()
		store.put(EvacuationKey("long"), nil) // before the node reads the store
		is.True(node.Replace(store.state()))
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"again", "back", "new"})
		node.Apply(store.put(EvacuationKey("again"), struct{}{}))
		is.Equal(len(node.RetainedEntries()), 1)
		time.Sleep(RetentionPeriod - time.Second)
		node.DropExpired()
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"again", "back", "new"})
		time.Sleep(time.Second)
		node.DropExpired()
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"again", "back"})
		is.Equal(len(node.RetainedEntries()), 0)
	})
}

// An entry that nodes may write is retained until a node has rewritten it, however long the store rejects writes.
func TestNodeWritableEntryIsRetainedUntilRewritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRestorableStore(t)
		store.save()
		node := newFollower(store)
		node.SetWritable(fleetMayWrite)
		node.Apply(store.put(EvacuationKey("fleets"), struct{}{}))
		store.restore()
		is.True(node.Replace(store.state()))
		time.Sleep(time.Hour)
		node.DropExpired()
		is.Equal(node.View().Leafs.EvacuatedZones(), []string{"fleets"})
		node.Apply(store.put(EvacuationKey("fleets"), struct{}{}))
		is.Equal(len(node.RetainedEntries()), 0)
	})
}

// The marker of a change has no value in the store, so it is never retained.
func TestMarkersAreNotRetained(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	store.put(RoutesKey, routesOf(1))
	store.save()
	first, second := newFollower(store), newFollower(store)
	store.put(RoutesKey, routesOf(2))
	first.Replace(store.state())
	changes, found := first.Since(second.Revision())
	is.True(found)
	is.Equal(changes[0].Entry.Key, MarkerKey)
	is.True(second.ApplyAll(changes))
	is.Equal(second.View().Routes.Version, int64(2))
	store.restore()
	is.True(second.Replace(store.state()))
	is.Equal(len(second.RetainedEntries()), 1)
	is.Equal(second.RetainedEntries()[0].Entry.Key, RoutesKey)
}

// The verdict of a rollout survives the restore, even if its spec was lost as well and is rewritten.
func TestRolloutVerdictSurvivesRestore(t *testing.T) {
	for _, isSpecLost := range []bool{false, true} {
		t.Run(fmt.Sprint("spec lost: ", isSpecLost), func(t *testing.T) {
			is := is.New(t)
			store := newRestorableStore(t)
			spec := rollout.Spec{Service: "s", Target: "v2", DurationMillis: 60000}
			if isSpecLost {
				store.save()
			}
			node := newFollower(store)
			node.Apply(store.put(RolloutKey("s"), spec))
			if !isSpecLost {
				store.save()
			}
			written := node.View().Rollouts["s"].Spec
			state := rollout.State{Service: "s", SpecRevision: revision.Count(written.Revision), Phase: rollout.PhaseRolledBack, Serving: "v1", Target: "v2"}
			node.Apply(store.put(RolloutStateKey("s"), state))
			is.Equal(node.View().Leafs.Rule("s").Canary, "")
			store.restore()
			store.put(EvacuationKey("other"), struct{}{}) // uses the count of the spec, or of its state
			is.True(node.Replace(store.state()))
			is.Equal(node.View().Leafs.Rule("s").Canary, "")
			if isSpecLost {
				node.Apply(store.put(RolloutKey("s"), spec))
				is.Equal(node.View().Rollouts["s"].Spec.ID(), written.ID())
			}
			is.Equal(node.View().Leafs.Rule("s").Canary, "")
			is.Equal(node.View().Leafs.Rule("s").Serving, "v1")

			// A node that never saw the lost entry applies the rewritten one.
			renewed, isDue := node.RewriteValue(node.RetainedEntries()[0].Entry)
			is.True(isDue)
			node.Apply(store.putValue(RolloutStateKey("s"), renewed, false))
			is.Equal(len(node.RetainedEntries()), 0)
			fresh := newFollower(store)
			is.Equal(fresh.View().Leafs.Rule("s").Canary, "")

			spec.Target = "v3"
			node.Apply(store.put(RolloutStateKey("s"), nil))
			node.Apply(store.put(RolloutKey("s"), spec))
			is.Equal(node.View().Leafs.Rule("s").Canary, "v3")
		})
	}
}

// A node that started after the restore gets the lost entries from another node. An expired entry isn't retained again.
func TestNewNodeReceivesRetainedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newRestorableStore(t)
		store.put(RoutesKey, routesOf(1))
		store.save()
		node := newFollower(store)
		node.SetWritable(fleetMayWrite)
		node.Apply(store.put(RoutesKey, routesOf(2)))
		node.Apply(store.put(EvacuationKey("z"), struct{}{}))
		store.restore()
		is.True(node.Replace(store.state()))
		fresh := newFollower(store)
		is.Equal(fresh.View().Routes.Version, int64(1))
		is.True(fresh.RetainedFingerprint() != node.RetainedFingerprint())
		kept := node.RetainedInForce()
		fresh.Retain(kept)
		is.Equal(fresh.View().Routes.Version, int64(2))
		is.Equal(fresh.View().Leafs.EvacuatedZones(), []string{"z"})
		is.Equal(fresh.RetainedFingerprint(), node.RetainedFingerprint())

		another := New(nil)
		is.True(another.Replace(node.Snapshot())) // the state that a peer sends
		is.Equal(another.RetainedFingerprint(), node.RetainedFingerprint())
		is.Equal(another.View().Routes.Version, int64(2))

		time.Sleep(RetentionPeriod)
		node.DropExpired()
		node.Retain(kept)
		is.Equal(len(node.View().Leafs.EvacuatedZones()), 0)
		is.Equal(node.View().Routes.Version, int64(2)) // routes don't expire
	})
}

// Retained entries survive further restores, even two between two reads, until they are rewritten.
func TestRetainedEntriesSurviveFurtherRestores(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	store.put(RoutesKey, routesOf(1))
	store.save()
	node := newFollower(store)
	node.Apply(store.put(RoutesKey, routesOf(2)))
	store.restore()
	is.True(node.Replace(store.state()))
	store.restore()
	store.restore()
	is.True(node.Replace(store.state()))
	is.Equal(revision.Epoch(node.Revision()), int64(3))
	is.Equal(node.View().Routes.Version, int64(2))
	node.Apply(store.put(RoutesKey, routesOf(2)))
	is.Equal(len(node.RetainedEntries()), 0)
}

// A starting node may read a stale state of an earlier epoch with a revision of the new one. The next read replaces it.
func TestStaleStateOfEarlierEpochIsReplaced(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	store.put(RoutesKey, routesOf(1))
	store.save()
	for version := range int64(5) {
		store.put(RoutesKey, routesOf(2+version))
	}
	late := store.state()
	store.restore()
	late.Revision, late.IsStale = revision.At(store.epoch, revision.Count(late.Revision)), true
	node := New(nil)
	is.True(node.Replace(late))
	is.True(node.Replace(store.state()))
	is.Equal(node.Revision(), revision.At(1, 1))
	is.Equal(node.View().Routes.Version, int64(1))
	is.True(!node.Replace(store.state()))
}

// A late record of an earlier process of a leaf is ignored, in a change and in a whole state.
func TestLateRecordOfEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	store := newRestorableStore(t)
	first, second := leafOf("a", leafset.Draining, 9), leafOf("a", leafset.Ready, 1)
	first.Born, second.Born = 10, 20
	store.put(LeafKey("a"), second)
	node := newFollower(store)
	node.Apply(store.put(LeafKey("a"), first))
	is.Equal(node.View().Leafs.IDs(), []string{"a@20"})
	is.Equal(len(node.View().Leafs.Ready("s")), 1)
	store.put(RoutesKey, routesOf(1))
	is.True(node.Replace(store.state()))
	is.Equal(node.View().Leafs.IDs(), []string{"a@20"})
	is.Equal(node.View().Routes.Version, int64(1))
	node.Apply(store.put(LeafKey("a"), nil))
	is.Equal(node.View().Leafs.Len(), 0)
}
