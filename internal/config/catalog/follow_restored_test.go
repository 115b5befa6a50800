package catalog

import (
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/leaf/leafset"
)

// However the store is restored, whatever nodes read of it and send each other, in whatever order: the version of the routes
// never decreases, and once operators have rewritten what was lost, all nodes have what the store has.
func TestNodesFollowAStoreThatIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newRestorableStore(t)
		d.put(RoutesKey, routesOf(1))
		d.save()
		nodes := []*Catalog{follower(d), follower(d), follower(d)}
		highest := make([]int64, len(nodes))
		operators := map[string]any{RoutesKey: routesOf(1)}
		version := int64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"routes", "evacuate", "end", "leaf", "save", "restore", "again", "read", "watch", "late", "pull", "kept"}).Draw(t, "step") {
			case "routes":
				version++
				operators[RoutesKey] = routesOf(version)
				d.put(RoutesKey, routesOf(version))
			case "evacuate":
				operators[EvacuationKey("z")] = struct{}{}
				d.put(EvacuationKey("z"), struct{}{})
			case "end":
				delete(operators, EvacuationKey("z"))
				d.put(EvacuationKey("z"), nil)
			case "leaf":
				d.put(LeafKey("l"), leafOf("l", leafset.Ready, 0))
			case "save":
				d.save()
			case "restore":
				d.restore()
			case "again":
				writeAgain(d, operators)
			case "read":
				node.Replace(d.state())
			case "watch":
				node.ApplyAll(d.log)
			case "late":
				from := rapid.IntRange(0, len(d.log)).Draw(t, "from")
				node.ApplyAll(d.log[from:])
			case "pull":
				pull(node, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")])
			case "kept":
				exchangeRetained(node, nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")])
			}
			for index, one := range nodes {
				if now := one.View().Routes.Version; now < highest[index] {
					t.Fatal("routes fell from ", highest[index], " to ", now)
				}
				highest[index] = one.View().Routes.Version
			}
		}
		for _, node := range nodes {
			node.Replace(d.state())
		}
		from := len(d.log)
		writeAgain(d, operators)
		for _, node := range nodes {
			if !node.ApplyAll(d.log[from:]) {
				node.Replace(d.state())
			}
			if node.View().Routes.Version != version {
				t.Fatal("routes ", node.View().Routes.Version, " in force, ", version, " accepted")
			}
			_, wanted := operators[EvacuationKey("z")]
			if node.View().Leafs.IsEvacuated("z") != wanted {
				t.Fatal("evacuated: ", !wanted, ", accepted: ", wanted)
			}
		}
	})
}

// writeAgain makes the operators rewrite what they wrote, and remove what they removed.
func writeAgain(d *restorableStore, operators map[string]any) {
	for _, key := range slices.Sorted(maps.Keys(operators)) {
		d.put(key, operators[key])
	}
	if _, wanted := operators[EvacuationKey("z")]; !wanted {
		d.put(EvacuationKey("z"), nil)
	}
}

// pull updates a node from another one, as peers do.
func pull(node, peer *Catalog) {
	changes, kept := peer.Since(node.Revision())
	if !kept {
		node.Replace(peer.Snapshot())
		return
	}
	node.ApplyAll(changes)
}

// exchangeRetained passes the entries that one node retains to another one, as peers at the same revision do.
func exchangeRetained(node, peer *Catalog) {
	if node.Revision() != peer.Revision() {
		return
	}
	node.Retain(peer.RetainedInForce())
}
