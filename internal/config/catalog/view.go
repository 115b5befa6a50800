package catalog

import (
	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Service is the configuration of one service in force. It is immutable.
type Service struct {
	Spec             *adminv1.ServiceSpec
	Revision         int64
	Manifest         *manifest.Manifest
	ManifestRevision int64
	// Leafs indexes Spec.Leafs by ID.
	Leafs map[string]*adminv1.Leaf
}

// View is the configuration in force at one revision. It is immutable.
type View struct {
	Revision int64
	Services map[string]*Service
	// Routes is the routing table, nil while there is none.
	Routes *routing.Table
	// Leafs are the registered leafs.
	Leafs *leafset.Set
	// StoredLeafs is the stored list of leafs.
	StoredLeafs *leafset.Set
	// Nodes are the registered nodes by ID.
	Nodes map[string]NodeRecord
	// Rollouts are the rollout specs and their progress by service.
	Rollouts map[string]Rollout
	// Quarantine are the quarantined requests, which are sent to no leaf.
	Quarantine map[fingerprint.Fingerprint]*quarantine.Record
	// Versions are the serving versions of services without a rollout, by service.
	Versions map[string]string
}

func emptyView(at int64) *View {
	return &View{Revision: at, Services: map[string]*Service{}, Leafs: leafset.Empty(), StoredLeafs: leafset.Empty(), Nodes: map[string]NodeRecord{}, Rollouts: map[string]Rollout{}}
}

// NodeRecord is the record that a node publishes about itself.
type NodeRecord struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is the node's peer address.
	Address string `json:"address"`
	// Tree is the address at which the node gathers for other nodes, empty if it doesn't.
	Tree string `json:"tree,omitempty"`
	// Processors is the number of cores available to the node, 0 if unknown.
	Processors float64 `json:"processors,omitempty"`
}

// Rollout is the rollout of a service to another version.
type Rollout struct {
	// Spec is the operators' spec, nil if there is none.
	Spec *rollout.Spec
	// State is the progress of this spec or an earlier one, nil before the first.
	State *rollout.State
}
