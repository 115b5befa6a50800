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

// Service is one service as it is in force; immutable.
type Service struct {
	Spec             *adminv1.ServiceSpec
	Revision         int64
	Manifest         *manifest.Manifest
	SnapshotRevision int64
	// Leafs indexes Spec.Leafs by id.
	Leafs map[string]*adminv1.Leaf
}

// View is the configuration in force at one revision; immutable.
type View struct {
	Revision int64
	Services map[string]*Service
	// Routes is the routing table; nil while there is none.
	Routes *routing.Table
	// Leafs are the leafs as discovery knows them.
	Leafs *leafset.Set
	// Remembered is the list of leafs that the fleet saved last.
	Remembered *leafset.Set
	// Nodes are the registered nodes of the fleet by id.
	Nodes map[string]NodeRecord
	// Rollouts are the specs to move services to other versions, by service, and their progress.
	Rollouts map[string]Rollout
	// Quarantine are the requests that are sent to no leaf.
	Quarantine map[fingerprint.Fingerprint]*quarantine.Record
	// Versions are the versions that services without a roll-out are served by, by service.
	Versions map[string]string
}

func emptyView(at int64) *View {
	return &View{Revision: at, Services: map[string]*Service{}, Leafs: leafset.Empty(), Remembered: leafset.Empty(), Nodes: map[string]NodeRecord{}, Rollouts: map[string]Rollout{}}
}

// NodeRecord is what a node publishes of itself.
type NodeRecord struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is the node's peer address.
	Address string `json:"address"`
	// Tree is the address at which the node gathers for others; empty when it does not.
	Tree string `json:"tree,omitempty"`
	// Processors is the number of cores available to the node; 0 when unknown.
	Processors float64 `json:"processors,omitempty"`
}

// Rollout is the state of moving a service to another version.
type Rollout struct {
	// Spec is the operators' spec; nil if there is none.
	Spec *rollout.Spec
	// State is the progress of a spec, this one or an earlier one; nil before the first.
	State *rollout.State
}
