package node

import (
	"context"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/configsync"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
)

// stateEvents writes changes of the state that decisions are based on to the decision log: configuration, leafs, nodes
// and zones.
type stateEvents struct {
	log     *decisionlog.Log
	catalog *catalog.Catalog
}

// Names of state events in the decision log.
const (
	eventEntryChanged = "entry_changed"
	eventLeafsChanged = "leafs_changed"
	eventNodesChanged = "nodes_changed"
	eventLeafEjected  = "leaf_ejected"
	eventLeafReturned = "leaf_returned"
	eventLeafAssessed = "leaf_judged"
	eventLeafLeaving  = "leaf_leaving"
	eventZoneLost     = "zone_lost"
	eventZoneFound    = "zone_found"
)

type entryEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Key      string    `json:"key"`
	Revision int64     `json:"revision"`
	Gone     bool      `json:"gone,omitempty"`
	// Version is the version number that operators gave to the routes in force after the change.
	Version int64 `json:"config_version,omitempty"`
}

type leafEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Leaf     string    `json:"leaf"`
	Revision int64     `json:"revision"`
}

// leafAssessedEvent is a new assessment of a leaf. FromPeer is set if it is based on reports of other nodes instead of
// this node's attempts.
type leafAssessedEvent struct {
	Time          time.Time          `json:"time"`
	Event         string             `json:"event"`
	Leaf          string             `json:"leaf"`
	Condition     balancer.Condition `json:"condition"`
	Slowness      float64            `json:"slowness,omitempty"`
	SilenceMillis int64              `json:"silence_millis,omitempty"`
	FromPeer      bool               `json:"told"`
}

// leafLeavingEvent reports that the node learned that a leaf is leaving, and from which source.
type leafLeavingEvent struct {
	Time   time.Time               `json:"time"`
	Event  string                  `json:"event"`
	Leaf   string                  `json:"leaf"`
	Source configsync.NoticeSource `json:"source"`
}

// zoneEvent reports that a zone became unreachable, or reachable again.
type zoneEvent struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	Zone  string    `json:"zone"`
}

// leafsEvent lists the leafs that changed together, by their new state, and the evacuated zones.
type leafsEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Revision int64     `json:"revision"`
	Ready    []string  `json:"ready,omitempty"`
	Draining []string  `json:"draining,omitempty"`
	Gone     []string  `json:"gone,omitempty"`
	// LeftOut is how many changed leafs are not listed.
	LeftOut   int      `json:"left_out,omitempty"`
	Evacuated []string `json:"evacuated,omitempty"`
}

// nodesEvent lists the nodes that registered and the nodes whose registration is gone.
type nodesEvent struct {
	Time       time.Time `json:"time"`
	Event      string    `json:"event"`
	Revision   int64     `json:"revision"`
	Registered []string  `json:"registered,omitempty"`
	Gone       []string  `json:"gone,omitempty"`
	// LeftOut is how many changed nodes are not listed.
	LeftOut int `json:"left_out,omitempty"`
}

// add adds a changed node to the event.
func (e *nodesEvent) add(id string, registered bool) {
	switch {
	case len(e.Registered)+len(e.Gone) >= maxListed:
		e.LeftOut++
	case registered:
		e.Registered = append(e.Registered, id)
	default:
		e.Gone = append(e.Gone, id)
	}
}

// maxListed bounds the leafs or nodes listed on one line; with IDs of 12 bytes, the list takes 6 KB.
const maxListed = 512

// add adds a changed leaf to the event.
func (e *leafsEvent) add(id string, state leafset.State, gone bool) {
	if len(e.Ready)+len(e.Draining)+len(e.Gone) >= maxListed {
		e.LeftOut++
		return
	}
	switch {
	case gone:
		e.Gone = append(e.Gone, id)
	case state == leafset.Ready:
		e.Ready = append(e.Ready, id)
	default:
		e.Draining = append(e.Draining, id)
	}
}

// changeBacklog bounds the configuration changes queued for logging.
const changeBacklog = 128

// run logs configuration changes as they come into force, until the context is done.
func (e *stateEvents) run(ctx context.Context) {
	changes, stop := e.catalog.Subscribe(changeBacklog)
	defer stop()
	for {
		select {
		case change := <-changes:
			e.changed(withQueued(change, changes))
		case <-ctx.Done():
			return
		}
	}
}

// withQueued returns the entries of a change and of the changes queued behind it.
func withQueued(change catalog.Change, changes <-chan catalog.Change) []catalog.Entry {
	entries := change.Entries()
	for {
		select {
		case next := <-changes:
			entries = append(entries, next.Entries()...)
		default:
			return entries
		}
	}
}

// changed logs all changed leafs on one line, all changed nodes on another, and each other entry on a line of its own.
func (e *stateEvents) changed(entries []catalog.Entry) {
	view := e.catalog.View()
	var leafs, nodes []string
	for _, entry := range entries {
		if id, isLeaf := strings.CutPrefix(entry.Key, catalog.LeafKey("")); isLeaf {
			leafs = append(leafs, id)
			continue
		}
		if id, isNode := strings.CutPrefix(entry.Key, catalog.NodeKey("")); isNode {
			nodes = append(nodes, id)
			continue
		}
		if entry.Key != catalog.MarkerKey {
			e.entryChanged(entry)
		}
	}
	if len(leafs) > 0 {
		e.leafsChanged(view, leafs)
	}
	if len(nodes) > 0 {
		e.nodesChanged(view, nodes)
	}
}

func (e *stateEvents) leafsChanged(view *catalog.View, ids []string) {
	event := leafsEvent{Time: time.Now(), Event: eventLeafsChanged, Revision: view.Revision, Evacuated: view.Leafs.EvacuatedZones()}
	for _, id := range ids {
		state := leafset.State("")
		leaf, found := view.Leafs.ByName(id)
		if found {
			state = leaf.State
		}
		event.add(id, state, !found)
	}
	e.log.Write(decisionlog.Important, event)
}

func (e *stateEvents) nodesChanged(view *catalog.View, ids []string) {
	event := nodesEvent{Time: time.Now(), Event: eventNodesChanged, Revision: view.Revision}
	for _, id := range ids {
		_, registered := view.Nodes[id]
		event.add(id, registered)
	}
	e.log.Write(decisionlog.Important, event)
}

func (e *stateEvents) entryChanged(entry catalog.Entry) {
	event := entryEvent{Time: time.Now(), Event: eventEntryChanged, Key: entry.Key, Revision: entry.Revision, Gone: entry.Deleted}
	view := e.catalog.View()
	if entry.Key == catalog.RoutesKey && view.Routes != nil {
		event.Version = view.Routes.Version
	}
	e.log.Write(decisionlog.Important, event)
}

// leafEjected logs that a leaf was ejected because of its failures, or that its ejection ended.
func (e *stateEvents) leafEjected(leafID string, ejected bool) {
	event := leafEvent{Time: time.Now(), Event: eventLeafReturned, Leaf: leafID, Revision: e.catalog.Revision()}
	if ejected {
		event.Event = eventLeafEjected
	}
	e.log.Write(decisionlog.Ordinary, event)
}

// leafAssessed logs the new assessment of a leaf, such as slow or silent.
func (e *stateEvents) leafAssessed(assessment balancer.Assessment) {
	e.log.Write(decisionlog.Ordinary, leafAssessedEvent{
		Time: time.Now(), Event: eventLeafAssessed, Leaf: assessment.LeafID, Condition: assessment.Condition,
		Slowness: assessment.Slowness, SilenceMillis: assessment.Silence.Milliseconds(), FromPeer: assessment.FromPeer,
	})
}

// leafLeaving logs that the node learned that a leaf is leaving, and from which source.
func (e *stateEvents) leafLeaving(leafID string, source configsync.NoticeSource) {
	e.log.Write(decisionlog.Ordinary, leafLeavingEvent{Time: time.Now(), Event: eventLeafLeaving, Leaf: leafID, Source: source})
}

// zoneChanged logs that a zone became unreachable, or reachable again.
func (e *stateEvents) zoneChanged(change reachability.Change) {
	event := zoneEvent{Time: time.Now(), Event: eventZoneFound, Zone: change.Zone}
	if change.Lost {
		event.Event = eventZoneLost
	}
	e.log.Write(decisionlog.Important, event)
}

func newStateEvents(log *decisionlog.Log, cat *catalog.Catalog) *stateEvents {
	return &stateEvents{log: log, catalog: cat}
}
