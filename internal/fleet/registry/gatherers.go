package registry

import "github.com/portgauge/portgauge/internal/config/catalog"

// gathererCoreFraction times the largest number of cores among the zone's nodes with a Tree address is the number of
// cores that a node needs to gather for others. With fewer, it takes clearly longer for the same request.
const gathererCoreFraction = 0.5

// Gatherers returns the nodes that gather requests over many shards, for themselves and for the other nodes of their
// zone: nodes with at least gathererCoreFraction of the largest number of cores of a node with a Tree address in the
// zone, and nodes with an unknown number. If all nodes are alike, all gather. The order of the nodes is kept.
func Gatherers(nodes []catalog.NodeRecord) []catalog.NodeRecord {
	largest := map[string]float64{}
	for _, node := range nodes {
		if node.Tree != "" {
			largest[node.Zone] = max(largest[node.Zone], node.Processors)
		}
	}
	var gatherers []catalog.NodeRecord
	for _, node := range nodes {
		if node.Processors == 0 || node.Processors >= gathererCoreFraction*largest[node.Zone] {
			gatherers = append(gatherers, node)
		}
	}
	return gatherers
}
