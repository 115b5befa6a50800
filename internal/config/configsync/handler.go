package configsync

import (
	"context"

	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Handlers are the receivers of messages other than those of membership and configuration. A message whose handler is
// nil is dropped.
type Handlers struct {
	// Leafs receives reports on leafs.
	Leafs func(peer.LeafObservations)
	// Reachability receives messages on the reachability of zones, with the peer address of the sender.
	Reachability func(from string, reach peer.Reachability)
	// Rollouts receives the messages to and from evaluator nodes.
	Rollouts RolloutHandler
	// Quarantine receives messages on requests that may crash leafs, with the peer address of the sender.
	Quarantine func(from string, message peer.Quarantine)
}

// RolloutHandler receives messages on rollouts, with the peer address of the sender.
type RolloutHandler interface {
	HandleReports(from string, reports peer.RolloutReports)
	HandleAbort(from string, abort peer.RolloutAbort)
}

// PeerHandler is the peer.Handler of a node. It dispatches each message to membership, configuration or one of the other
// handlers.
type PeerHandler struct {
	syncer   *Syncer
	handlers Handlers
}

var _ peer.Handler = (*PeerHandler)(nil)

// NewPeerHandler returns the handler of messages to a node's peer address.
func NewPeerHandler(syncer *Syncer, handlers Handlers) *PeerHandler {
	return &PeerHandler{syncer: syncer, handlers: handlers}
}

func (h *PeerHandler) HandleDatagram(message peer.Message) {
	switch {
	case len(message.LeafObservations) > 0:
		if h.handlers.Leafs != nil {
			h.handlers.Leafs(message.LeafObservations)
		}
	case message.Reachability != nil:
		if h.handlers.Reachability != nil {
			h.handlers.Reachability(message.From, *message.Reachability)
		}
	case message.RolloutReports != nil:
		if h.handlers.Rollouts != nil {
			h.handlers.Rollouts.HandleReports(message.From, *message.RolloutReports)
		}
	case message.RolloutAbort != nil:
		if h.handlers.Rollouts != nil {
			h.handlers.Rollouts.HandleAbort(message.From, *message.RolloutAbort)
		}
	case message.Quarantine != nil:
		if h.handlers.Quarantine != nil {
			h.handlers.Quarantine(message.From, *message.Quarantine)
		}
	default:
		h.syncer.members.HandleDatagram(message)
	}
}

func (h *PeerHandler) HandleCall(ctx context.Context, message peer.Message) peer.Message {
	syncer := h.syncer
	// The digest is taken before the state, so that its revision never exceeds the state's.
	answer := peer.Message{Digest: syncer.Digest()}
	switch {
	case message.Join != nil:
		answer.Welcome = syncer.handleJoin(*message.Join)
		answer.Notices = syncer.unexpiredNotices()
	case (message.Push != nil || message.Pull != nil) && syncer.isLegacy(message.Digest):
		// Revisions of unknown epochs must not be mixed, so the peer gets an uninitialized state.
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
