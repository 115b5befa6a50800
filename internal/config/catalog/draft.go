package catalog

import (
	"maps"
	"strings"

	json "github.com/goccy/go-json"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/boottime"
	"github.com/portgauge/portgauge/internal/request/routing"
)

// NodeRecord is a node's own word on itself.
type NodeRecord struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Address is the node's peer address.
	Address string `json:"address"`
	// Tree is where the node gathers for others; empty when it does not.
	Tree string `json:"tree,omitempty"`
	// Processors is the node's part of processors, in cores; 0 when it does not say.
	Processors float64 `json:"processors,omitempty"`
}

// isTransient reports whether a key may end without a tombstone that must be kept: it stands only while something
// lasts, a process, an evacuation, a quarantine or an order, or tells of versions, of which what a whole state lacks is void.
func isTransient(key string) bool {
	return strings.HasPrefix(key, leafPrefix) || strings.HasPrefix(key, nodePrefix) || strings.HasPrefix(key, evacuationPrefix) ||
		strings.HasPrefix(key, quarantinePrefix) || isRollout(key)
}

// draft is a view that is not yet in force. Parts of the view before it are copied only when
// they change.
type draft struct {
	view   *View
	leafs  *leafset.Editor // nil while no leaf changed
	before *leafset.Set    // the leafs in force before the draft
	// rolloutsBefore are the roll-outs in force before the draft.
	rolloutsBefore map[string]Rollout
	ownsNodes      bool
	ownService     bool
	// ownsQuarantine says that the requests under quarantine are a copy of the draft's own.
	ownsQuarantine bool
	// ownsRollouts says that the roll-outs are a copy of the draft's own.
	ownsRollouts bool
	// rollouts says that versions of leafs matter.
	rollouts bool
	// isOlderTaken says that routes go before those in force that a later revision wrote.
	isOlderTaken bool
	clock        boottime.Clock
}

func (c *Catalog) newDraft(current *View, revision int64) *draft {
	next := *current
	next.Revision = revision
	return &draft{view: &next, before: current.Leafs, rolloutsBefore: current.Rollouts, rollouts: c.rollouts, clock: c.clock}
}

func (d *draft) done() *View {
	if d.leafs != nil {
		d.view.Leafs = d.leafs.Done()
	}
	return d.view
}

// compile puts one entry into a draft.
func (c *Catalog) compile(target *draft, entry Entry) {
	var err error
	switch {
	case entry.Key == RoutesKey:
		err = target.compileRoutes(entry)
	case entry.Key == RememberedKey:
		err = target.compileRemembered(entry)
	case strings.HasPrefix(entry.Key, servicePrefix):
		err = target.compileService(strings.TrimPrefix(entry.Key, servicePrefix), entry)
	case strings.HasPrefix(entry.Key, snapshotPrefix):
		err = target.compileSnapshot(strings.TrimPrefix(entry.Key, snapshotPrefix), entry)
	case strings.HasPrefix(entry.Key, leafPrefix):
		err = target.compileLeaf(strings.TrimPrefix(entry.Key, leafPrefix), entry)
	case strings.HasPrefix(entry.Key, nodePrefix):
		err = target.compileNode(strings.TrimPrefix(entry.Key, nodePrefix), entry)
	case !c.rollouts && isRollout(entry.Key):
	case entry.Key == VersionsKey:
		err = target.compileVersions(entry)
	case strings.HasPrefix(entry.Key, rolloutPrefix):
		err = target.compileOrder(strings.TrimPrefix(entry.Key, rolloutPrefix), entry)
	case strings.HasPrefix(entry.Key, rolloutStatePrefix):
		err = target.compileRolloutState(strings.TrimPrefix(entry.Key, rolloutStatePrefix), entry)
	case strings.HasPrefix(entry.Key, quarantinePrefix):
		err = target.compileQuarantine(strings.TrimPrefix(entry.Key, quarantinePrefix), entry)
	case strings.HasPrefix(entry.Key, evacuationPrefix):
		target.leafEditor().SetEvacuated(strings.TrimPrefix(entry.Key, evacuationPrefix), !entry.Deleted)
	}
	if err != nil && c.rejected != nil {
		c.rejected(entry.Key, err)
	}
}

// compileRoutes takes a routing configuration that is newer than the one in force.
func (d *draft) compileRoutes(entry Entry) error {
	if entry.Deleted {
		return nil
	}
	configuration, err := parsed(entry, routing.Parse)
	if err != nil {
		return err
	}
	if d.view.Routes != nil && d.view.Routes.Revision >= entry.Revision && !d.isOlderTaken {
		return nil
	}
	d.view.Routes = routing.NewTable(configuration, entry.Revision)
	return nil
}

func (d *draft) compileRemembered(entry Entry) error {
	if entry.Deleted {
		d.view.Remembered = leafset.Empty()
		return nil
	}
	document, err := DecodeDocument(entry)
	if err != nil {
		return err
	}
	remembered, err := leafset.ParseList(document, entry.Revision)
	if err != nil {
		return err
	}
	d.view.Remembered = remembered
	return nil
}

// leafEditor gives the editor of the draft's leafs.
func (d *draft) leafEditor() *leafset.Editor {
	if d.leafs == nil {
		d.useEditor(d.view.Leafs.Edit())
	}
	return d.leafs
}

// useEditor has the draft's leafs changed by an editor.
func (d *draft) useEditor(leafs *leafset.Editor) {
	d.leafs = leafs
	leafs.SetClock(d.clock)
	if d.rollouts {
		leafs.ServeOneVersion()
	}
}

// compileLeaf takes the record of a leaf. One that can't be read may come from another writer: it tells of no leaf, also not
// of the one that was told of under its name before.
func (d *draft) compileLeaf(name string, entry Entry) error {
	leafs := d.leafEditor()
	if entry.Deleted {
		leafs.Remove(name)
		return nil
	}
	record, err := leafRecord(name, entry)
	if err != nil {
		leafs.Exclude(name)
		return err
	}
	known, found := d.before.ByName(name)
	if !found || known.Revision != entry.Revision {
		known = leafset.Learn(known, record, entry.Revision, d.clock.Now())
	}
	leafs.Put(known)
	return nil
}

// leafRecord reads the record of a leaf, which must be kept under the leaf's name.
func leafRecord(name string, entry Entry) (leafset.Record, error) {
	record, err := parsed(entry, leafset.Parse)
	if err != nil {
		return leafset.Record{}, err
	}
	if record.Name != name {
		return leafset.Record{}, failure.Invalid("id", "%q; the record is kept under %q", record.Name, name)
	}
	return record, nil
}

func (d *draft) compileNode(id string, entry Entry) error {
	if !d.ownsNodes {
		d.view.Nodes = maps.Clone(d.view.Nodes)
		d.ownsNodes = true
	}
	if entry.Deleted {
		delete(d.view.Nodes, id)
		return nil
	}
	document, err := DecodeDocument(entry)
	if err != nil {
		return err
	}
	var record NodeRecord
	if err := json.Unmarshal(document, &record); err != nil {
		return failure.Invalid("node", "not a node record: %v", err)
	}
	d.view.Nodes[id] = record
	return nil
}

func (d *draft) compileService(name string, entry Entry) error {
	service := d.editable(name)
	service.Revision = entry.Revision
	if entry.Deleted {
		service.Spec, service.Leafs = nil, nil
		return nil
	}
	spec, err := DecodeService(entry)
	if err != nil {
		return err
	}
	service.Spec = spec
	service.Leafs = make(map[string]*adminv1.Leaf, len(spec.GetLeafs()))
	for _, leaf := range spec.GetLeafs() {
		service.Leafs[leaf.GetId()] = leaf
	}
	return nil
}

func (d *draft) compileSnapshot(name string, entry Entry) error {
	service := d.editable(name)
	service.SnapshotRevision = entry.Revision
	if entry.Deleted {
		service.Manifest = nil
		return nil
	}
	message, err := DecodeSnapshot(entry)
	if err != nil {
		return err
	}
	compiled, err := manifest.New(message)
	if err != nil {
		return err
	}
	service.Manifest = compiled
	return nil
}

// editable gives a copy of the service that belongs to the draft alone.
func (d *draft) editable(name string) *Service {
	if !d.ownService {
		d.view.Services = maps.Clone(d.view.Services)
		d.ownService = true
	}
	service := &Service{}
	if known, found := d.view.Services[name]; found {
		*service = *known
	}
	d.view.Services[name] = service
	return service
}
