package rolloutcontrol

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// maxAborts bounds the specs that are aborted, well above the services with a roll-out at once.
const maxAborts = 4096

// aborts are the specs whose versions were found bad, with the reasons. The zero value is empty; it is safe for
// concurrent use.
type aborts struct {
	mu      sync.Mutex
	reasons map[rolloutID]string
}

// add adds an abort and reports whether it is new.
func (h *aborts) add(id rolloutID, reason string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.reasons[id]; found || len(h.reasons) >= maxAborts {
		return false
	}
	if h.reasons == nil {
		h.reasons = map[rolloutID]string{}
	}
	h.reasons[id] = reason
	return true
}

// reason returns why a spec is aborted, and whether it is.
func (h *aborts) reason(id rolloutID) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason, found := h.reasons[id]
	return reason, found
}

func (h *aborts) has(id rolloutID) bool {
	_, found := h.reason(id)
	return found
}

// retain drops the aborts of specs that are not wanted any more.
func (h *aborts) retain(isWanted func(rolloutID) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.reasons {
		if !isWanted(id) {
			delete(h.reasons, id)
		}
	}
}

// abort makes this node and all nodes that reported counts for a spec stop sending requests to its version, whether
// or not the store accepts the verdict.
func (c *Controller) abort(id rolloutID, reason string) {
	if !c.aborts.add(id, reason) {
		return
	}
	c.deps.Splitter.Abort(id.service, id.specID)
	nodes := 0
	for _, address := range c.tallies.addresses(id) {
		if address != c.deps.Self.Address {
			c.sendAbort(address, id)
			nodes++
		}
	}
	c.deps.Events.Aborted(AbortEvent{Service: id.service, SpecID: id.specID, Reason: reason, Nodes: nodes})
}

func (c *Controller) sendAbort(address string, id rolloutID) {
	c.deps.Sender.Send(address, peer.Message{RolloutAbort: &peer.RolloutAbort{Service: id.service, SpecID: id.specID}})
}

// warnEvaluatorNodes sends an abort to the other evaluator nodes once each report interval until the state is written, because the store
// may accept the write of any of them.
func (c *Controller) warnEvaluatorNodes(now time.Time, view *catalog.View, active *activeRollout, id rolloutID) {
	if now.Sub(active.warnedAt) < c.cfg.ReportInterval {
		return
	}
	active.warnedAt = now
	for _, evaluatorNode := range c.evaluatorNodes.of(view, id.service) {
		if evaluatorNode.ID != c.deps.Self.ID {
			c.sendAbort(evaluatorNode.Address, id)
		}
	}
}
