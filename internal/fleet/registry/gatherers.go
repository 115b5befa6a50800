package registry

import "github.com/portgauge/portgauge/internal/config/catalog"

// gathererShare is the part of its zone's largest share of processors that a node must have to gather
// for others: below it, the time that the work of one request takes a node is most of the
// difference between them.
const gathererShare = 0.5

// Gatherers returns those of some nodes that gather requests over many shards, for themselves and for
// the others of their zone: the ones with the most processors there, and nodes that don't say. Where
// all are alike, all gather. The order is kept.
func Gatherers(nodes []catalog.NodeRecord) []catalog.NodeRecord {
	largest := map[string]float64{}
	for _, node := range nodes {
		if node.Tree != "" {
			largest[node.Zone] = max(largest[node.Zone], node.Processors)
		}
	}
	var gatherers []catalog.NodeRecord
	for _, node := range nodes {
		if node.Processors == 0 || node.Processors >= gathererShare*largest[node.Zone] {
			gatherers = append(gatherers, node)
		}
	}
	return gatherers
}
