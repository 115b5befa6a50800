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

// draft is a view under construction. Parts of the previous view are copied only when they change.
type draft struct {
	view  *View
	clock boottime.Clock
	// rollouts says that requests are routed by the versions of leafs.
	rollouts bool
	// acceptsOlderRoutes says that routes replace those in force even if their revision is older.
	acceptsOlderRoutes bool

	leafs          *leafset.Editor    // nil while no leaf changed
	leafsBefore    *leafset.Set       // the leafs in force before the draft
	rolloutsBefore map[string]Rollout // the rollouts in force before the draft

	// The fields below say which maps of the view are the draft's own copies.
	ownsNodes      bool
	ownsServices   bool
	ownsQuarantine bool
	ownsRollouts   bool
}

func (c *Catalog) newDraft(current *View, revision int64) *draft {
	next := *current
	next.Revision = revision
	return &draft{view: &next, leafsBefore: current.Leafs, rolloutsBefore: current.Rollouts, rollouts: c.rollouts, clock: c.clock}
}

func (d *draft) compiled() *View {
	if d.leafs != nil {
		d.view.Leafs = d.leafs.Done()
	}
	return d.view
}

// compile applies one entry to a draft. A value that can't be decoded is rejected.
func (c *Catalog) compile(target *draft, entry Entry) {
	var err error
	switch {
	case entry.Key == RoutesKey:
		err = target.compileRoutes(entry)
	case entry.Key == StoredLeafsKey:
		err = target.compileStoredLeafs(entry)
	case strings.HasPrefix(entry.Key, servicePrefix):
		err = target.compileService(strings.TrimPrefix(entry.Key, servicePrefix), entry)
	case strings.HasPrefix(entry.Key, manifestPrefix):
		err = target.compileManifest(strings.TrimPrefix(entry.Key, manifestPrefix), entry)
	case strings.HasPrefix(entry.Key, leafPrefix):
		err = target.compileLeaf(strings.TrimPrefix(entry.Key, leafPrefix), entry)
	case strings.HasPrefix(entry.Key, nodePrefix):
		err = target.compileNode(strings.TrimPrefix(entry.Key, nodePrefix), entry)
	case !c.rollouts && isRollout(entry.Key):
	case entry.Key == VersionsKey:
		err = target.compileVersions(entry)
	case strings.HasPrefix(entry.Key, rolloutPrefix):
		err = target.compileSpec(strings.TrimPrefix(entry.Key, rolloutPrefix), entry)
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

// compileRoutes applies routes that are newer than those in force.
func (d *draft) compileRoutes(entry Entry) error {
	if entry.Deleted {
		return nil
	}
	configuration, err := parseDocument(entry, routing.Parse)
	if err != nil {
		return err
	}
	if d.view.Routes != nil && d.view.Routes.Revision >= entry.Revision && !d.acceptsOlderRoutes {
		return nil
	}
	d.view.Routes = routing.NewTable(configuration, entry.Revision)
	return nil
}

func (d *draft) compileStoredLeafs(entry Entry) error {
	if entry.Deleted {
		d.view.StoredLeafs = leafset.Empty()
		return nil
	}
	storedLeafs, err := parseDocumentAt(entry, leafset.ParseList)
	if err != nil {
		return err
	}
	d.view.StoredLeafs = storedLeafs
	return nil
}

// leafEditor returns the editor of the draft's leafs, and creates it on first use.
func (d *draft) leafEditor() *leafset.Editor {
	if d.leafs == nil {
		d.useEditor(d.view.Leafs.Edit())
	}
	return d.leafs
}

// useEditor sets and configures the editor of the draft's leafs.
func (d *draft) useEditor(leafs *leafset.Editor) {
	d.leafs = leafs
	leafs.SetClock(d.clock)
	if d.rollouts {
		leafs.DefaultToFirstVersion()
	}
}

// compileLeaf applies the record of a leaf. If it can't be decoded, another writer may have written it, so the leaf
// that was registered under the name is excluded.
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
	known, found := d.leafsBefore.ByName(name)
	if !found || known.Revision != entry.Revision {
		known = leafset.ReplaceLeaf(known, record, entry.Revision, d.clock.Now())
	}
	leafs.Put(known)
	return nil
}

// leafRecord decodes the record of a leaf, which must be stored under the leaf's name.
func leafRecord(name string, entry Entry) (leafset.Record, error) {
	record, err := parseDocument(entry, leafset.Parse)
	if err != nil {
		return leafset.Record{}, err
	}
	if record.Name != name {
		return leafset.Record{}, failure.Invalid("id", "%q; the record is stored under %q", record.Name, name)
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
	service := d.editableService(name)
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

func (d *draft) compileManifest(name string, entry Entry) error {
	service := d.editableService(name)
	service.ManifestRevision = entry.Revision
	if entry.Deleted {
		service.Manifest = nil
		return nil
	}
	message, err := DecodeManifest(entry)
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

// editableService returns the draft's own copy of a service.
func (d *draft) editableService(name string) *Service {
	if !d.ownsServices {
		d.view.Services = maps.Clone(d.view.Services)
		d.ownsServices = true
	}
	service := &Service{}
	if known, found := d.view.Services[name]; found {
		*service = *known
	}
	d.view.Services[name] = service
	return service
}
