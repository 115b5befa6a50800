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

// judgesOf returns the nodes that judge the roll-out of a service: the first by rendezvous hash in distinct zones,
// then, if there are too few zones, the first of the others.
func judgesOf(nodes map[string]catalog.NodeRecord, service string, limit int) []catalog.NodeRecord {
	var judges, others []catalog.NodeRecord
	zones := map[string]bool{}
	for _, node := range registry.Ranked(nodes, service) {
		if zones[node.Zone] {
			others = append(others, node)
			continue
		}
		zones[node.Zone] = true
		judges = append(judges, node)
	}
	judges = append(judges, others...)
	return judges[:min(limit, len(judges))]
}

// judgeSet caches the judges of services while the registered nodes stay the same. The zero value is empty; it is not
// safe for concurrent use.
type judgeSet struct {
	max              int
	view             *catalog.View
	nodes            map[string]catalog.NodeRecord
	byService        map[string][]catalog.NodeRecord
	nodesFingerprint uint64 // the fingerprint of nodes
}

// of returns the judges of a service. The slice is shared, and stays the same while the nodes do.
func (s *judgeSet) of(view *catalog.View, service string) []catalog.NodeRecord {
	s.refresh(view)
	judges, found := s.byService[service]
	if !found {
		judges = judgesOf(view.Nodes, service, s.max)
		s.byService[service] = judges
	}
	return judges
}

// fingerprint returns the fingerprint of the registered nodes.
func (s *judgeSet) fingerprint(view *catalog.View) uint64 {
	s.refresh(view)
	return s.nodesFingerprint
}

// refresh empties the cache if the nodes of the view differ.
func (s *judgeSet) refresh(view *catalog.View) {
	if view == s.view {
		return
	}
	if s.byService == nil || !maps.Equal(view.Nodes, s.nodes) {
		s.byService, s.nodesFingerprint = map[string][]catalog.NodeRecord{}, registry.Fingerprint(view.Nodes)
	}
	s.view, s.nodes = view, view.Nodes
}
