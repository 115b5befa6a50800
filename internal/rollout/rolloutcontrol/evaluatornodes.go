package rolloutcontrol

import (
	"maps"
	"slices"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/registry"
)

// rankOf returns the index of a node in a list, -1 if it is not in it.
func rankOf(nodes []catalog.NodeRecord, id string) int {
	return slices.IndexFunc(nodes, func(node catalog.NodeRecord) bool { return node.ID == id })
}

// evaluatorNodesOf returns the nodes that evaluate the roll-out of a service: the first by rendezvous hash in distinct zones,
// then, if there are too few zones, the first of the others.
func evaluatorNodesOf(nodes map[string]catalog.NodeRecord, service string, limit int) []catalog.NodeRecord {
	var evaluatorNodes, others []catalog.NodeRecord
	zones := map[string]bool{}
	for _, node := range registry.RendezvousOrder(nodes, service) {
		if zones[node.Zone] {
			others = append(others, node)
			continue
		}
		zones[node.Zone] = true
		evaluatorNodes = append(evaluatorNodes, node)
	}
	evaluatorNodes = append(evaluatorNodes, others...)
	return evaluatorNodes[:min(limit, len(evaluatorNodes))]
}

// evaluatorNodeSet caches the evaluator nodes of services while the registered nodes stay the same. The zero value is empty; it is not
// safe for concurrent use.
type evaluatorNodeSet struct {
	max              int
	view             *catalog.View
	nodes            map[string]catalog.NodeRecord
	byService        map[string][]catalog.NodeRecord
	nodesFingerprint uint64 // the fingerprint of nodes
}

// of returns the evaluator nodes of a service. The slice is shared, and stays the same while the nodes do.
func (s *evaluatorNodeSet) of(view *catalog.View, service string) []catalog.NodeRecord {
	s.refresh(view)
	evaluatorNodes, found := s.byService[service]
	if !found {
		evaluatorNodes = evaluatorNodesOf(view.Nodes, service, s.max)
		s.byService[service] = evaluatorNodes
	}
	return evaluatorNodes
}

// fingerprint returns the fingerprint of the registered nodes.
func (s *evaluatorNodeSet) fingerprint(view *catalog.View) uint64 {
	s.refresh(view)
	return s.nodesFingerprint
}

// refresh empties the cache if the nodes of the view differ.
func (s *evaluatorNodeSet) refresh(view *catalog.View) {
	if view == s.view {
		return
	}
	if s.byService == nil || !maps.Equal(view.Nodes, s.nodes) {
		s.byService, s.nodesFingerprint = map[string][]catalog.NodeRecord{}, registry.Fingerprint(view.Nodes)
	}
	s.view, s.nodes = view, view.Nodes
}
