package configsync

import (
	"context"

	"github.com/portgauge/portgauge/internal/peer"
)

// PeerHandler answers other nodes: it hands each message to membership, configuration or what
// is known of leafs.
type PeerHandler struct {
	syncer *Syncer
	// heard takes reports of leafs; nil drops them.
	heard func(peer.LeafReports)
	// reach takes what concerns zones in reach; nil drops it.
	reach func(from string, reach peer.Reach)
}

var _ peer.Handler = (*PeerHandler)(nil)

// NewPeerHandler makes the handler of a node's peer address. Heard takes reports of leafs, and
// may be nil.
func NewPeerHandler(syncer *Syncer, heard func(peer.LeafReports)) *PeerHandler {
	return &PeerHandler{syncer: syncer, heard: heard}
}

// SetReach sets who takes what concerns zones in reach. It must be set before the handler is used.
func (h *PeerHandler) SetReach(reach func(from string, reach peer.Reach)) { h.reach = reach }

// HandleDatagram implements peer.Handler.
func (h *PeerHandler) HandleDatagram(message peer.Message) {
	if len(message.LeafReports) > 0 {
		if h.heard != nil {
			h.heard(message.LeafReports)
		}
		return
	}
	if message.Reach != nil {
		if h.reach != nil {
			h.reach(message.From, *message.Reach)
		}
		return
	}
	h.syncer.members.HandleDatagram(message)
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
