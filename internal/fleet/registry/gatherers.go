package registry

import "github.com/portgauge/portgauge/internal/config/catalog"

// gathererShare is the part of the most cores of a node in the zone that a node needs to gather for others: with
// less, it takes clearly longer for the same request.
const gathererShare = 0.5

// Gatherers returns the nodes that gather requests over many shards, for themselves and for the others of their
// zone: those with at least gathererShare of the most cores there, and those of unknown size. If all are alike,
// all gather. The order is kept.
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
