package rolloutcontrol

import "sync"

// maxHolds bounds the orders held: more than there are services with a roll-out at once.
const maxHolds = 4096

// holds are the orders whose versions were found bad, and why. The zero value is empty; it is safe for concurrent
// use.
type holds struct {
	mu      sync.Mutex
	reasons map[orderKey]string
}

// add notes a hold and reports whether it is new.
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

// reason gives why an order is held.
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
