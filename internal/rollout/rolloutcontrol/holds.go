package rolloutcontrol

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// maxHolds bounds the orders that are held, well above the services with a roll-out at once.
const maxHolds = 4096

// holds are the orders whose versions were found bad, with the reasons. The zero value is empty; it is safe for
// concurrent use.
type holds struct {
	mu      sync.Mutex
	reasons map[orderKey]string
}

// add adds a hold and reports whether it is new.
func (h *holds) add(order orderKey, reason string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, found := h.reasons[order]; found || len(h.reasons) >= maxHolds {
		return false
	}
	if h.reasons == nil {
		h.reasons = map[orderKey]string{}
	}
	h.reasons[order] = reason
	return true
}

// reason returns why an order is held, and whether it is.
func (h *holds) reason(order orderKey) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	reason, found := h.reasons[order]
	return reason, found
}

func (h *holds) has(order orderKey) bool {
	_, found := h.reason(order)
	return found
}

// retain drops the holds of orders that are not wanted any more.
func (h *holds) retain(isWanted func(orderKey) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for order := range h.reasons {
		if !isWanted(order) {
			delete(h.reasons, order)
		}
	}
}

// hold makes this node and all nodes that reported counts for an order stop sending requests to its version, whether
// or not the store accepts the verdict.
func (c *Controller) hold(order orderKey, reason string) {
	if !c.holds.add(order, reason) {
		return
	}
	c.deps.Splitter.Hold(order.service, order.id)
	nodes := 0
	for _, address := range c.tallies.addresses(order) {
		if address != c.deps.Self.Address {
			c.sendHold(address, order)
			nodes++
		}
	}
	c.deps.Events.Held(HoldEvent{Service: order.service, Order: order.id, Reason: reason, Nodes: nodes})
}

func (c *Controller) sendHold(address string, order orderKey) {
	c.deps.Sender.Send(address, peer.Message{RolloutHold: &peer.RolloutHold{Service: order.service, Order: order.id}})
}

// warnEvaluatorNodes sends a hold to the other evaluator nodes once each report interval until the state is written, because the store
// may accept the write of any of them.
func (c *Controller) warnEvaluatorNodes(now time.Time, view *catalog.View, active *activeOrder, order orderKey) {
	if now.Sub(active.warnedAt) < c.cfg.ReportInterval {
		return
	}
	active.warnedAt = now
	for _, evaluatorNode := range c.evaluatorNodes.of(view, order.service) {
		if evaluatorNode.ID != c.deps.Self.ID {
			c.sendHold(evaluatorNode.Address, order)
		}
	}
}
