package rolloutcontrol

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// maxAborts bounds the stored aborts. It is far above the number of simultaneous rollouts.
const maxAborts = 4096

// aborts are the aborted specs with the reasons. The zero value is empty. It is safe for concurrent use.
type aborts struct {
	mu      sync.Mutex
	reasons map[specKey]string
}

// add stores an abort. It returns false if the spec is already aborted or if maxAborts are stored.
func (a *aborts) add(id specKey, reason string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, found := a.reasons[id]; found || len(a.reasons) >= maxAborts {
		return false
	}
	if a.reasons == nil {
		a.reasons = map[specKey]string{}
	}
	a.reasons[id] = reason
	return true
}

// reason returns the reason for the abort of a spec, and whether the spec is aborted.
func (a *aborts) reason(id specKey) (string, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reason, found := a.reasons[id]
	return reason, found
}

func (a *aborts) has(id specKey) bool {
	_, found := a.reason(id)
	return found
}

// retain drops the aborts of all specs for which isWanted returns false.
func (a *aborts) retain(isWanted func(specKey) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.reasons {
		if !isWanted(id) {
			delete(a.reasons, id)
		}
	}
}

// abort stops requests to the canary of a spec at this node and at all nodes that reported counts for it. It does not
// wait for the store to accept the verdict.
func (c *Controller) abort(id specKey, reason string) {
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

func (c *Controller) sendAbort(address string, id specKey) {
	c.deps.Sender.Send(address, peer.Message{RolloutAbort: &peer.RolloutAbort{Service: id.service, SpecID: id.specID}})
}

// sendAbortToEvaluatorNodes sends an abort to the other evaluator nodes once per report interval until the state is
// written, because the store may accept a write from any of them.
func (c *Controller) sendAbortToEvaluatorNodes(now time.Time, view *catalog.View, active *activeRollout, id specKey) {
	if now.Sub(active.abortSentAt) < c.cfg.ReportInterval {
		return
	}
	active.abortSentAt = now
	for _, evaluatorNode := range c.evaluatorNodes.of(view, id.service) {
		if evaluatorNode.ID != c.deps.Self.ID {
			c.sendAbort(evaluatorNode.Address, id)
		}
	}
}
