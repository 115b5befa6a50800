package rolloutcontrol

import (
	"maps"
	"slices"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/registry"
)

// rankOf returns the index of the node with the given ID, -1 if it is not in the list.
func rankOf(nodes []catalog.NodeRecord, id string) int {
	return slices.IndexFunc(nodes, func(node catalog.NodeRecord) bool { return node.ID == id })
}

// evaluatorNodesOf returns up to limit nodes that evaluate the rollout of a service: the first node of each zone by
// rendezvous hash, followed by the other nodes if there are fewer zones than limit.
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

// evaluatorNodeSet caches the evaluator nodes of services while the registered nodes stay the same. It is not safe for
// concurrent use.
type evaluatorNodeSet struct {
	max              int
	view             *catalog.View
	nodes            map[string]catalog.NodeRecord
	byService        map[string][]catalog.NodeRecord
	nodesFingerprint uint64 // the fingerprint of nodes
}

// of returns the evaluator nodes of a service. The slice is shared and must not be modified.
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

// refresh clears the cache if the registered nodes have changed.
func (s *evaluatorNodeSet) refresh(view *catalog.View) {
	if view == s.view {
		return
	}
	if s.byService == nil || !maps.Equal(view.Nodes, s.nodes) {
		s.byService, s.nodesFingerprint = map[string][]catalog.NodeRecord{}, registry.Fingerprint(view.Nodes)
	}
	s.view, s.nodes = view, view.Nodes
}
