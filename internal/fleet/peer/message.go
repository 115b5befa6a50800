package peer

import (
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/memorybudget"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// MemberState is the state of a node in the view of its peers.
type MemberState string

// The states of a member. Within an incarnation, a state overrides the states listed before it.
const (
	Alive   MemberState = "alive"
	Suspect MemberState = "suspect"
	Left    MemberState = "left"
	Dead    MemberState = "dead"
)

// Member is one node of a zone.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation is raised only by the member itself, to refute a report that it is suspect or dead.
	Incarnation int64       `json:"incarnation"`
	State       MemberState `json:"state"`
}

// LeafNotice reports that a leaf must receive no new requests for a limited time.
type LeafNotice struct {
	LeafID string `json:"leaf_id"`
	// Millis is how long the notice is valid after its receipt, in milliseconds.
	Millis int64 `json:"millis"`
}

// LeafObservations contains the sender's observations of leafs, encoded by package leafgossip.
type LeafObservations []byte

// Digest summarizes a node's configuration.
type Digest struct {
	// Revision is the revision in force, see package revision.
	Revision int64 `json:"revision"`
	// AgeMillis is how long ago the revision was last confirmed to be the newest.
	AgeMillis int64 `json:"age_millis"`
	// Retained is the fingerprint of the entries that the node retains after a restore of the store; 0 if there are
	// none.
	Retained uint64 `json:"kept,omitempty"`
	// HasEpochs is true if the node's revisions include the store's epoch. The revisions of an older node are bare
	// counts of an unknown epoch.
	HasEpochs bool `json:"counts_epochs,omitempty"`
}

// Message is one line of the protocol. At most one of the bodies, Probe and the fields after it, is set.
type Message struct {
	// From is the sender's peer address.
	From string `json:"from"`
	// Digest, Members and Notices are part of every membership datagram.
	Digest  Digest       `json:"digest,omitzero"`
	Members []Member     `json:"members,omitempty"`
	Notices []LeafNotice `json:"notices,omitempty"`

	Probe            *Probe           `json:"probe,omitempty"`
	Acknowledge      *Acknowledge     `json:"acknowledge,omitempty"`
	ProbeRequest     *ProbeRequest    `json:"probe_request,omitempty"`
	Join             *Join            `json:"join,omitempty"`
	Welcome          *Welcome         `json:"welcome,omitempty"`
	Push             *Push            `json:"push,omitempty"`
	Pull             *Pull            `json:"pull,omitempty"`
	State            *State           `json:"state,omitempty"`
	StatusQuery      *StatusQuery     `json:"status_query,omitempty"`
	StatusReply      *StatusReply     `json:"status_reply,omitempty"`
	LeafObservations LeafObservations `json:"leaf_reports,omitempty"`
	Reachability     *Reachability    `json:"reach,omitempty"`

	RolloutReports *RolloutReports `json:"rollout_reports,omitempty"`
	RolloutAbort   *RolloutAbort   `json:"rollout_hold,omitempty"`

	Quarantine *Quarantine `json:"quarantine,omitempty"`

	// memory is what a received call or answer holds; nil for other messages.
	memory *memorybudget.Reservation
}

// Release releases the memory that a received message holds. The receiver of an answer calls it when the answer is no
// longer used.
func (m Message) Release() { m.memory.Release() }

// Probe asks a member whether it is alive.
type Probe struct {
	Sequence uint64 `json:"sequence"`
	// TargetID is the ID of the probed member, so that a new process at a reused address does not answer for its
	// predecessor.
	TargetID string `json:"target_id"`
}

// Acknowledge answers a probe.
type Acknowledge struct {
	Sequence uint64 `json:"sequence"`
}

// ProbeRequest asks a member to probe another member on behalf of the sender.
type ProbeRequest struct {
	Sequence      uint64 `json:"sequence"`
	TargetID      string `json:"target_id"`
	TargetAddress string `json:"target_address"`
}

// Reachability is a ping to a node of any zone, the answer to a ping, or the announcement that the sender has lost a
// zone.
type Reachability struct {
	// Number is the number of the ping, which the answer repeats. It is 0 in an announcement.
	Number uint64 `json:"number,omitempty"`
	Answer bool   `json:"answer,omitempty"`
	Lost   string `json:"lost,omitempty"`
}

// Join announces the sender and requests the members of the zone.
type Join struct {
	Member Member `json:"member"`
	// Known is the fingerprint of the sender's members.
	Known uint64 `json:"known"`
}

// Contact is the address of a node in another zone.
type Contact struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Welcome answers Join.
type Welcome struct {
	// Zone is the zone of the answering node.
	Zone string `json:"zone"`
	// Known is the fingerprint of the answering node's members. Members is omitted if the joining node has the same
	// ones.
	Known    uint64    `json:"known"`
	Members  []Member  `json:"members,omitempty"`
	Contacts []Contact `json:"contacts,omitempty"`
}

// Push sends changes to a node, which relays them to the given addresses.
type Push struct {
	Batch   Batch        `json:"batch,omitempty"`
	Notices []LeafNotice `json:"notices,omitempty"`
	// Subtree contains the addresses to which the receiver must relay the push.
	Subtree []string `json:"subtree,omitempty"`
	// WholeZone requests that the receiver relay the push to all members of its zone.
	WholeZone bool `json:"whole_zone,omitempty"`
}

// Pull requests all changes after a revision.
type Pull struct {
	After int64 `json:"after"`
	// Retained requests also the entries that the receiver retains after a restore of the store.
	Retained bool `json:"kept,omitempty"`
}

// State answers Pull and Push. It contains changes, and a snapshot that precedes them if the sender's history of changes
// does not reach back to the requested revision.
type State struct {
	// Initialized is false while the sender has no configuration.
	Initialized bool  `json:"initialised"`
	Revision    int64 `json:"revision"`
	// Snapshot is the state that the changes apply to; empty if the history of changes reaches back far enough.
	Snapshot PackedSnapshot   `json:"snapshot,omitempty"`
	Changes  []catalog.Change `json:"changes,omitempty"`
	// Retained contains the entries that the sender retains, if they were requested.
	Retained []catalog.Entry `json:"kept,omitempty"`
	// Alternatives contains peer addresses to pull from instead: nodes to which the sender has just sent a snapshot.
	Alternatives []string `json:"elsewhere,omitempty"`
}

// RolloutReports contains the sender's counts of attempts by service and version. They are sent to evaluator nodes.
type RolloutReports struct {
	// Node is the ID of the node that counted.
	Node string `json:"node"`
	// StartUnixNano identifies the process that counted, since a new process counts from zero.
	StartUnixNano int64 `json:"start_unix_nano"`
	// Rows contains the counts, encoded by package rolloutcontrol.
	Rows []byte `json:"rows"`
}

// Quarantine reports on a request that may crash the leafs that run it; exactly one of the fields is set.
type Quarantine struct {
	// Evidence is the sender's evidence against the request.
	Evidence *quarantine.Evidence `json:"evidence,omitempty"`
	// Answered is the fingerprint of a request that a leaf answered. The receiver drops its evidence against the request.
	Answered fingerprint.Fingerprint `json:"answered,omitzero"`
	// Record reports that the request is quarantined.
	Record *quarantine.Record `json:"record,omitempty"`
}

// RolloutAbort reports that a rollout is aborted: no further requests may be sent to its canary version. On the wire, an
// abort is named rollout_hold, and a rollout spec order.
type RolloutAbort struct {
	Service string `json:"service"`
	// SpecID is the ID of the rollout spec, see rollout.Spec.ID.
	SpecID int64 `json:"order"`
}

// StatusQuery requests the number of nodes that have a revision in force, and the number that are settled up to it.
type StatusQuery struct {
	Revision int64 `json:"revision"`
	// WholeZone requests that the receiver query all members of its zone; otherwise it queries Subtree.
	WholeZone bool     `json:"whole_zone,omitempty"`
	Subtree   []string `json:"subtree,omitempty"`
}

// StatusReply answers StatusQuery for the queried nodes that answered.
type StatusReply struct {
	Nodes          uint32 `json:"nodes"`
	InForce        uint32 `json:"in_force"`
	LowestRevision int64  `json:"lowest_revision"`
	// Settled counts the nodes that send no requests by rules from before the revision and have no such requests in
	// flight. LowestSettled is the lowest revision up to which a node is settled.
	Settled       uint32 `json:"settled"`
	LowestSettled int64  `json:"lowest_settled"`
	// Registered is the fingerprint of the answering nodes that consider themselves registered, so that unregistered
	// nodes aren't counted in place of silent ones.
	Registered uint64 `json:"registered,omitempty"`
}
