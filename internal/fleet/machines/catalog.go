package machines

import (
	"context"
	"math/rand/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// CatalogLister lists the registered nodes from the configuration in force, without a call to the platform. It does not
// list leafs, which callers find in the configuration.
type CatalogLister struct {
	catalog *catalog.Catalog
}

var _ Lister = (*CatalogLister)(nil)

func NewCatalogLister(cat *catalog.Catalog) *CatalogLister { return &CatalogLister{catalog: cat} }

func (l *CatalogLister) ListMachines(_ context.Context, query Query) (List, error) {
	if query.Role == RoleLeaf {
		return List{Unchanged: true}, nil
	}
	var list List
	perZone := map[string]int{}
	view := l.catalog.View()
	list.Version = uint64(view.Revision)
	nodes := make([]catalog.NodeRecord, 0, len(view.Nodes))
	for _, node := range view.Nodes {
		nodes = append(nodes, node)
	}
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	for _, node := range nodes {
		if query.Zone != "" && query.Zone != node.Zone {
			continue
		}
		if query.MaxPerZone > 0 && perZone[node.Zone] >= int(query.MaxPerZone) {
			continue
		}
		perZone[node.Zone]++
		list.Machines = append(list.Machines, Machine{ID: node.ID, Address: node.Address, Zone: node.Zone, State: Live, Role: RoleNode})
	}
	return list, nil
}
