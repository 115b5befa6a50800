package catalog

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// In any order of writes, backups, restores, reads and updates between nodes, the version of the routes never decreases.
// Once the operators have rewritten the lost entries, all nodes match the store.
func TestNodesConvergeAfterStoreRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newRestorableStore(t)
		store.put(RoutesKey, routesOf(1))
		store.save()
		nodes := []*Catalog{newFollower(store), newFollower(store), newFollower(store)}
		highest := make([]int64, len(nodes))
		operators := map[string]any{RoutesKey: routesOf(1)}
		version := int64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"routes", "evacuate", "end", "leaf", "save", "restore", "again", "read", "watch", "late", "pull", "kept"}).Draw(t, "step") {
			case "routes":
				version++
				operators[RoutesKey] = routesOf(version)
				store.put(RoutesKey, routesOf(version))
			case "evacuate":
				operators[EvacuationKey("z")] = struct{}{}
				store.put(EvacuationKey("z"), struct{}{})
			case "end":
				delete(operators, EvacuationKey("z"))
				store.put(EvacuationKey("z"), nil)
			case "leaf":
				store.put(LeafKey("l"), leafOf("l", leafset.Ready, 0))
			case "save":
				store.save()
			case "restore":
				store.restore()
			case "again":
				rewriteAll(store, operators)
			case "read":
				node.Replace(store.state())
			case "watch":
				node.ApplyAll(store.log)
			case "late":
				from := rapid.IntRange(0, len(store.log)).Draw(t, "from")
				node.ApplyAll(store.log[from:])
			case "pull":
				pull(node, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")])
			case "kept":
				exchangeRetained(node, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")])
			}
			for index, other := range nodes {
				if now := other.View().Routes.Version; now < highest[index] {
					t.Fatal("routes went back from version ", highest[index], " to ", now)
				}
				highest[index] = other.View().Routes.Version
			}
		}
		for _, node := range nodes {
			node.Replace(store.state())
		}
		from := len(store.log)
		rewriteAll(store, operators)
		for _, node := range nodes {
			if !node.ApplyAll(store.log[from:]) {
				node.Replace(store.state())
			}
			if node.View().Routes.Version != version {
				t.Fatal("routes of version ", node.View().Routes.Version, " in force, version ", version, " written by the operators")
			}
			_, wanted := operators[EvacuationKey("z")]
			if node.View().Leafs.IsEvacuated("z") != wanted {
				t.Fatal("zone evacuated: ", !wanted, ", the operators wrote: ", wanted)
			}
		}
	})
}

// rewriteAll repeats the operators' writes and removals.
func rewriteAll(store *restorableStore, operators map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(operators)) {
		store.put(key, operators[key])
	}
	if _, wanted := operators[EvacuationKey("z")]; !wanted {
		store.put(EvacuationKey("z"), nil)
	}
}

// pull updates a node from a peer.
func pull(node, peer *Catalog) {
	changes, kept := peer.Since(node.Revision())
	if !kept {
		node.Replace(peer.Snapshot())
		return
	}
	node.ApplyAll(changes)
}

// exchangeRetained sends the peer's retained entries to a node if both are at the same revision.
func exchangeRetained(node, peer *Catalog) {
	if node.Revision() != peer.Revision() {
		return
	}
	node.Retain(peer.RetainedInForce())
}
