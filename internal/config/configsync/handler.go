package configsync

import (
	"context"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Handlers take the messages that neither membership nor configuration is concerned with; what has no hearer is
// dropped.
type Handlers struct {
	// Leafs takes reports of leafs.
	Leafs func(peer.LeafReports)
	// Reach takes what concerns zones in reach, with the peer address of the node that sent it.
	Reach func(from string, reach peer.Reach)
	// Rollouts takes what judges of roll-outs are told and tell.
	Rollouts RolloutHandler
	// Quarantine takes what is told of requests that may end leafs.
	Quarantine func(from string, told peer.Quarantine)
}

// RolloutHandler takes what is told of roll-outs, with the peer address of the node that told it.
type RolloutHandler interface {
	HandleReports(from string, reports peer.RolloutReports)
	HandleHold(from string, hold peer.RolloutHold)
}

// PeerHandler answers other nodes: it hands each message to membership, configuration or one of its hearers.
type PeerHandler struct {
	syncer  *Syncer
	hearers Handlers
}

var _ peer.Handler = (*PeerHandler)(nil)

// NewPeerHandler makes the handler of a node's peer address.
func NewPeerHandler(syncer *Syncer, hearers Handlers) *PeerHandler {
	return &PeerHandler{syncer: syncer, hearers: hearers}
}

// HandleDatagram implements peer.Handler.
func (h *PeerHandler) HandleDatagram(message peer.Message) {
	switch {
	case len(message.LeafReports) > 0:
		if h.hearers.Leafs != nil {
			h.hearers.Leafs(message.LeafReports)
		}
	case message.Reach != nil:
		if h.hearers.Reach != nil {
			h.hearers.Reach(message.From, *message.Reach)
		}
	case message.RolloutReports != nil:
		if h.hearers.Rollouts != nil {
			h.hearers.Rollouts.HandleReports(message.From, *message.RolloutReports)
		}
	case message.RolloutHold != nil:
		if h.hearers.Rollouts != nil {
			h.hearers.Rollouts.HandleHold(message.From, *message.RolloutHold)
		}
	case message.Quarantine != nil:
		if h.hearers.Quarantine != nil {
			h.hearers.Quarantine(message.From, *message.Quarantine)
		}
	default:
		h.syncer.members.HandleDatagram(message)
	}
}

// HandleCall implements peer.Handler.
func (h *PeerHandler) HandleCall(ctx context.Context, message peer.Message) peer.Message {
	syncer := h.syncer
	// The digest is taken before the state so that it never claims more than the state has;
	// a state's own revision says the rest.
	answer := peer.Message{Digest: syncer.Digest()}
	switch {
	case message.Join != nil:
		answer.Welcome = syncer.handleJoin(*message.Join)
	case (message.Push != nil || message.Pull != nil) && syncer.isLegacy(message.Digest):
		// Nothing passes between epochs that can't be told apart; the node is told so by a state that is none.
		syncer.readStoreForLegacy(message.Digest)
		answer.State = &peer.State{}
	case message.Push != nil:
		state := syncer.HandlePush(message.From, *message.Push)
		answer.State = &state
	case message.Pull != nil:
		state := syncer.HandlePull(message.From, *message.Pull)
		answer.State = &state
	case message.StatusQuery != nil:
		reply := syncer.HandleStatus(ctx, *message.StatusQuery)
		answer.StatusReply = &reply
	}
	return answer
}
