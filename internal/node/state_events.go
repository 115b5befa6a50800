package node

import (
	"context"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/reachability"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
)

// stateEvents tells the decision log of changes of the state that the node acts on.
type stateEvents struct {
	log     *decisionlog.Log
	catalog *catalog.Catalog
}

// Names of events that change what the node believes.
const (
	eventEntryChanged = "entry_changed"
	eventLeafsChanged = "leafs_changed"
	eventNodesChanged = "nodes_changed"
	eventLeafEjected  = "leaf_ejected"
	eventLeafReturned = "leaf_returned"
	eventLeafJudged   = "leaf_judged"
	eventZoneLost     = "zone_lost"
	eventZoneFound    = "zone_found"
)

type entryEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Key      string    `json:"key"`
	Revision int64     `json:"revision"`
	Gone     bool      `json:"gone,omitempty"`
	// Version is the operators' number of the routes in force after the change.
	Version int64 `json:"config_version,omitempty"`
}

type leafEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Leaf     string    `json:"leaf"`
	Revision int64     `json:"revision"`
}

// judgedEvent says how a leaf does, and who found it: this node's own attempts or others' word.
type judgedEvent struct {
	Time          time.Time          `json:"time"`
	Event         string             `json:"event"`
	Leaf          string             `json:"leaf"`
	Condition     balancer.Condition `json:"condition"`
	Slowness      float64            `json:"slowness,omitempty"`
	SilenceMillis int64              `json:"silence_millis,omitempty"`
	Told          bool               `json:"told"`
}

// zoneEvent says that a zone is out of reach, or back.
type zoneEvent struct {
	Time  time.Time `json:"time"`
	Event string    `json:"event"`
	Zone  string    `json:"zone"`
}

// leafsEvent says which leafs a node began or ceased to send work to, and where its evacuations stand: of
// hundreds of leafs that change together, each is named.
type leafsEvent struct {
	Time     time.Time `json:"time"`
	Event    string    `json:"event"`
	Revision int64     `json:"revision"`
	Ready    []string  `json:"ready,omitempty"`
	Draining []string  `json:"draining,omitempty"`
	Gone     []string  `json:"gone,omitempty"`
	// LeftOut is how many more leafs changed than one line names.
	LeftOut int `json:"left_out,omitempty"`
	// Evacuated are the zones whose leafs get nothing.
	Evacuated []string `json:"evacuated,omitempty"`
}

// nodesEvent says which nodes of the fleet registered themselves, and which are gone.
type nodesEvent struct {
	Time       time.Time `json:"time"`
	Event      string    `json:"event"`
	Revision   int64     `json:"revision"`
	Registered []string  `json:"registered,omitempty"`
	Gone       []string  `json:"gone,omitempty"`
	// LeftOut is how many more nodes changed than one line names.
	LeftOut int `json:"left_out,omitempty"`
}

// add notes the change of a node.
func (e *nodesEvent) add(id string, registered bool) {
	switch {
	case len(e.Registered)+len(e.Gone) >= mostNamed:
		e.LeftOut++
	case registered:
		e.Registered = append(e.Registered, id)
	default:
		e.Gone = append(e.Gone, id)
	}
}

// mostNamed bounds the leafs or nodes that one line names; at 12 bytes an id it is 6 KB at most.
const mostNamed = 512

// add notes the change of a leaf.
func (e *leafsEvent) add(id string, state leafset.State, gone bool) {
	if len(e.Ready)+len(e.Draining)+len(e.Gone) >= mostNamed {
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

// changeBacklog is how many changes of configuration may wait to be logged.
const changeBacklog = 128

// run logs each change that is put into force until the context ends.
func (j *stateEvents) run(ctx context.Context) {
	changes, stop := j.catalog.Subscribe(changeBacklog)
	defer stop()
	for {
		select {
		case change := <-changes:
			j.changed(withWaiting(change, changes))
		case <-ctx.Done():
			return
		}
	}
}

// withWaiting gives the entries of a change and of those that wait behind it.
func withWaiting(change catalog.Change, changes <-chan catalog.Change) []catalog.Entry {
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

// changed logs the leafs among some changed entries in one line, the nodes in another, and the other entries
// one by one.
func (j *stateEvents) changed(entries []catalog.Entry) {
	view := j.catalog.View()
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
			j.entryChanged(entry)
		}
	}
	if len(leafs) > 0 {
		j.leafsChanged(view, leafs)
	}
	if len(nodes) > 0 {
		j.nodesChanged(view, nodes)
	}
}

func (j *stateEvents) leafsChanged(view *catalog.View, ids []string) {
	event := leafsEvent{Time: time.Now(), Event: eventLeafsChanged, Revision: view.Revision, Evacuated: view.Leafs.EvacuatedZones()}
	for _, id := range ids {
		state := leafset.State("")
		leaf, found := view.Leafs.ByName(id)
		if found {
			state = leaf.State
		}
		event.add(id, state, !found)
	}
	j.log.Write(decisionlog.Failed, event)
}

func (j *stateEvents) nodesChanged(view *catalog.View, ids []string) {
	event := nodesEvent{Time: time.Now(), Event: eventNodesChanged, Revision: view.Revision}
	for _, id := range ids {
		_, registered := view.Nodes[id]
		event.add(id, registered)
	}
	j.log.Write(decisionlog.Failed, event)
}

func (j *stateEvents) entryChanged(entry catalog.Entry) {
	event := entryEvent{Time: time.Now(), Event: eventEntryChanged, Key: entry.Key, Revision: entry.Revision, Gone: entry.Deleted}
	view := j.catalog.View()
	if entry.Key == catalog.RoutesKey && view.Routes != nil {
		event.Version = view.Routes.Version
	}
	j.log.Write(decisionlog.Failed, event)
}

// leafEjected logs that a leaf gets no new work for its failures, or does again.
func (j *stateEvents) leafEjected(leafID string, ejected bool) {
	event := leafEvent{Time: time.Now(), Event: eventLeafReturned, Leaf: leafID, Revision: j.catalog.Revision()}
	if ejected {
		event.Event = eventLeafEjected
	}
	j.log.Write(decisionlog.Ordinary, event)
}

// leafJudged logs that a leaf is held for slow, silent or well again.
func (j *stateEvents) leafJudged(belief balancer.Assessment) {
	j.log.Write(decisionlog.Ordinary, judgedEvent{
		Time: time.Now(), Event: eventLeafJudged, Leaf: belief.LeafID, Condition: belief.Condition,
		Slowness: belief.Slowness, SilenceMillis: belief.Silence.Milliseconds(), Told: belief.FromPeer,
	})
}

// zoneChanged logs that the node lost a zone, or reaches it again.
func (j *stateEvents) zoneChanged(change reachability.Change) {
	event := zoneEvent{Time: time.Now(), Event: eventZoneFound, Zone: change.Zone}
	if change.Lost {
		event.Event = eventZoneLost
	}
	j.log.Write(decisionlog.Failed, event)
}
