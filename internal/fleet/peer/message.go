package peer

import (
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// MemberState is the state of a node as its peers know it.
type MemberState string

// The states of a member. Of two states of the same incarnation, the later one in this list overrides the earlier.
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
	// Incarnation is raised by the member itself only, to refute its suspicion or death.
	Incarnation int64       `json:"incarnation"`
	State       MemberState `json:"state"`
}

// LeafNotice says that a leaf must get no new requests for a while.
type LeafNotice struct {
	LeafID string `json:"leaf_id"`
	// Millis is how long the notice is valid from its receipt, in milliseconds.
	Millis int64 `json:"millis"`
}

// LeafReports are the sender's observations of leafs, packed by package leafgossip.
type LeafReports []byte

// Digest summarises a node's configuration.
type Digest struct {
	// Revision is the revision in force, see package revision.
	Revision int64 `json:"revision"`
	// AgeMillis is how long ago the revision was last confirmed to be the newest.
	AgeMillis int64 `json:"age_millis"`
	// Retained is the fingerprint of the entries that the node retains after a restore of the store; 0 if there
	// are none.
	Retained uint64 `json:"kept,omitempty"`
	// CountsEpochs says that the node knows of restores of the store. The revisions of a node that doesn't are
	// bare counts, of an unknown epoch.
	CountsEpochs bool `json:"counts_epochs,omitempty"`
}

// Message is one line; exactly one of the bodies is set.
type Message struct {
	// From is the sender's peer address.
	From string `json:"from"`
	// Digest, Members and Notices are on every datagram of the membership.
	Digest  Digest       `json:"digest,omitzero"`
	Members []Member     `json:"members,omitempty"`
	Notices []LeafNotice `json:"notices,omitempty"`

	Probe        *Probe        `json:"probe,omitempty"`
	Acknowledge  *Acknowledge  `json:"acknowledge,omitempty"`
	ProbeRequest *ProbeRequest `json:"probe_request,omitempty"`
	Join         *Join         `json:"join,omitempty"`
	Welcome      *Welcome      `json:"welcome,omitempty"`
	Push         *Push         `json:"push,omitempty"`
	Pull         *Pull         `json:"pull,omitempty"`
	State        *State        `json:"state,omitempty"`
	StatusQuery  *StatusQuery  `json:"status_query,omitempty"`
	StatusReply  *StatusReply  `json:"status_reply,omitempty"`
	LeafReports  LeafReports   `json:"leaf_reports,omitempty"`
	Reachability *Reachability `json:"reach,omitempty"`

	RolloutReports *RolloutReports `json:"rollout_reports,omitempty"`
	RolloutAbort   *RolloutAbort   `json:"rollout_hold,omitempty"`

	Quarantine *Quarantine `json:"quarantine,omitempty"`
}

// Probe asks a member whether it is alive.
type Probe struct {
	Sequence uint64 `json:"sequence"`
	// TargetID names the member meant, so that a new process on an old address does not
	// answer for its predecessor.
	TargetID string `json:"target_id"`
}

// Acknowledge answers a probe.
type Acknowledge struct {
	Sequence uint64 `json:"sequence"`
}

// ProbeRequest asks a member to probe another on the sender's behalf.
type ProbeRequest struct {
	Sequence      uint64 `json:"sequence"`
	TargetID      string `json:"target_id"`
	TargetAddress string `json:"target_address"`
}

// Reachability pings a node of any zone, answers a ping, or announces a zone that the sender has lost.
type Reachability struct {
	// Number is the number of the ping, which the answer repeats; 0 in an announcement.
	Number uint64 `json:"number,omitempty"`
	Answer bool   `json:"answer,omitempty"`
	Lost   string `json:"lost,omitempty"`
}

// Join asks for the members of the zone and announces the sender.
type Join struct {
	Member Member `json:"member"`
	// Known is the fingerprint of the members that the sender knows.
	Known uint64 `json:"known"`
}

// Contact is a node of another zone.
type Contact struct {
	Zone    string `json:"zone"`
	Address string `json:"address"`
}

// Welcome answers Join.
type Welcome struct {
	// Zone is the answering node's own.
	Zone string `json:"zone"`
	// Known is the fingerprint of the members that the answering node knows; Members is left
	// out when the asking node knows the same.
	Known    uint64    `json:"known"`
	Members  []Member  `json:"members,omitempty"`
	Contacts []Contact `json:"contacts,omitempty"`
}

// Push sends changes to a node, which relays them to the given addresses.
type Push struct {
	Batch   Batch        `json:"batch,omitempty"`
	Notices []LeafNotice `json:"notices,omitempty"`
	// Subtree are the addresses to which the receiver must relay the push.
	Subtree []string `json:"subtree,omitempty"`
	// WholeZone asks the receiver to relay the push to all members of its zone.
	WholeZone bool `json:"whole_zone,omitempty"`
}

// Pull asks for everything after a revision.
type Pull struct {
	After int64 `json:"after"`
	// Retained asks for the entries that the node retains after a restore of the store, too.
	Retained bool `json:"kept,omitempty"`
}

// State answers Pull and Push: changes, preceded by a whole state if changes alone don't reach back far enough.
type State struct {
	// Initialised is false while the sender has no configuration at all.
	Initialised bool  `json:"initialised"`
	Revision    int64 `json:"revision"`
	// Snapshot is a whole state that the changes follow on; empty when they reach back far enough.
	Snapshot PackedSnapshot   `json:"snapshot,omitempty"`
	Changes  []catalog.Change `json:"changes,omitempty"`
	// Retained are the entries that the node retains, if they are asked for.
	Retained []catalog.Entry `json:"kept,omitempty"`
	// Elsewhere are peer addresses to ask instead: nodes that the sender has just sent its whole state.
	Elsewhere []string `json:"elsewhere,omitempty"`
}

// RolloutReports are counts of attempts at the versions of services, sent to the nodes that evaluate roll-outs.
type RolloutReports struct {
	// Node is the id of the node that counted.
	Node string `json:"node"`
	// StartUnixNano identifies the process that counted: a new process counts from zero.
	StartUnixNano int64 `json:"start_unix_nano"`
	// Rows are the counts, packed by package rolloutcontrol.
	Rows []byte `json:"rows"`
}

// Quarantine reports on a request that may crash the leafs that run it; exactly one of the fields is set.
type Quarantine struct {
	// Evidence is the sender's evidence against the request.
	Evidence *quarantine.Evidence `json:"evidence,omitempty"`
	// Answered is the request whose evidence the sender withdraws: a leaf answered it.
	Answered fingerprint.Fingerprint `json:"answered,omitzero"`
	// Record says that the request is under quarantine.
	Record *quarantine.Record `json:"record,omitempty"`
}

// RolloutAbort says that no further requests may be sent to the canary version by an order.
type RolloutAbort struct {
	Service string `json:"service"`
	// SpecID is the revision of the spec.
	SpecID int64 `json:"order"`
}

// StatusQuery asks how many nodes have a revision in force, and how many are settled at it.
type StatusQuery struct {
	Revision int64 `json:"revision"`
	// WholeZone asks the receiver to ask all members of its zone; otherwise it asks the
	// given subtree.
	WholeZone bool     `json:"whole_zone,omitempty"`
	Subtree   []string `json:"subtree,omitempty"`
}

// StatusReply answers StatusQuery for the nodes asked that answered.
type StatusReply struct {
	Nodes          uint32 `json:"nodes"`
	InForce        uint32 `json:"in_force"`
	LowestRevision int64  `json:"lowest_revision"`
	// Settled counts the nodes that send no requests by a rule from before the revision and have none in flight;
	// LowestSettled is the lowest revision at which a node is settled.
	Settled       uint32 `json:"settled"`
	LowestSettled int64  `json:"lowest_settled"`
	// Registered is the fingerprint of those of the nodes that are registered, as each of them knows it, so that
	// unregistered nodes aren't counted in place of silent ones.
	Registered uint64 `json:"registered,omitempty"`
}
