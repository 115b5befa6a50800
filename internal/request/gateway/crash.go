package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// LeafCheckRecord is an attempt whose answer broke off, and whether the leaf's process has exited.
type LeafCheckRecord struct {
	RequestID string
	// Content is the fingerprint of the request.
	Content fingerprint.Fingerprint
	Service string
	Leaf    string
	// Probe is the number of the probe, from 1; 0 for other attempts.
	Probe int
	// Exited reports whether the leaf's process has exited, and not just a connection to it.
	Exited bool
	// Announced reports whether the leaf had announced its drain, or was no longer listed.
	Announced bool
}

// isEvidence reports whether the request may have crashed the leaf.
func (l LeafCheckRecord) isEvidence() bool { return l.Exited && !l.Announced }

type attemptEnd struct {
	response *leafhttp.Response // nil if err is set
	result   attemptResult
	err      error
}

// isCompleted reports whether the leaf ran the request to its end and survived. A leaf that stopped at its deadline
// shows nothing: with more time, the request might have crashed it.
func (e attemptEnd) isCompleted() bool {
	return e.result.Execution == scatter.Ran && e.response != nil && e.response.Status != http.StatusGatewayTimeout
}

func (e attemptEnd) isBroken() bool { return e.result.Reason == reasonBroken }

func (e attemptEnd) isConnectionReset() bool { return e.result.Reason == reasonConnectionReset }

// isCancelled reports whether the attempt was cancelled because its answer is no longer needed.
func (e attemptEnd) isCancelled() bool { return e.result.Outcome == balancer.Cancelled }

// leafMayHaveExited reports whether the leaf's process may have exited. This includes cancelled attempts if the leaf
// closed or reset the connection.
func (e attemptEnd) leafMayHaveExited() bool {
	if !e.isBroken() && !e.isConnectionReset() {
		return false
	}
	return !e.isCancelled() || leafhttp.IsBrokenByLeaf(e.err)
}

// finishAttempt reports what the end of an attempt shows about the request, and calls done with its result. If the leaf
// may have crashed, its process is checked, which takes one or two round trips. done waits for the check only if the
// next attempt depends on it: after a probe, and after a connection broke before its first answer, which may mean
// either that the leaf crashed or that it has too many connections.
func (e *execution) finishAttempt(attempt scatter.Attempt, target leafTarget, probe int, end attemptEnd, done func(attemptResult)) {
	e.observeForQuarantine(attempt.Leaf.ID, end)
	if !end.leafMayHaveExited() {
		done(end.result)
		return
	}
	result := end.result
	result.ConnectionLost = end.isBroken()
	mustWait := !end.isCancelled() && (attempt.Probe || end.isConnectionReset())
	if !mustWait {
		done(result)
	}
	lost := LeafCheckRecord{
		RequestID: e.request.Leaf.ID, Content: e.request.fingerprint, Service: e.services[attempt.Shard], Leaf: attempt.Leaf.ID,
		Probe: probe, Announced: !e.gateway.isListed(attempt.Leaf.ID),
	}
	e.checkProcess(target.Target, end.isConnectionReset(), func(exited bool) {
		lost.Exited = exited
		e.recordLoss(lost)
		if mustWait {
			done(afterCheck(result, lost))
		}
	})
}

// observeForQuarantine reports to the quarantine register that the leaf completed the request, or that nothing listened
// at the address of a listed leaf.
func (e *execution) observeForQuarantine(leafID string, end attemptEnd) {
	if e.tracked == nil {
		return
	}
	if end.isCompleted() {
		e.tracked.Answered()
	}
	if leafhttp.IsNotListening(end.err) && e.gateway.isListed(leafID) {
		e.tracked.LeafNotListening(leafID)
	}
}

// checkProcess calls done with whether a leaf's process has exited.
func (e *execution) checkProcess(leaf leafhttp.Target, wasReset bool, done leafhttp.OnChecked) {
	checked := make(chan struct{})
	e.mu.Lock()
	e.processChecks = append(e.processChecks, checked)
	e.mu.Unlock()
	e.gateway.leafs.Check(leaf, wasReset, func(exited bool) {
		defer close(checked)
		done(exited)
	})
}

// recordLoss reports a leaf whose answer broke off. It is evidence against the request if the leaf's process exited
// without an announcement.
func (e *execution) recordLoss(lost LeafCheckRecord) {
	e.gateway.events.LeafChecked(lost)
	if e.tracked == nil || !lost.isEvidence() {
		return
	}
	e.mu.Lock()
	e.crashedLeafs = append(e.crashedLeafs, lost.Leaf)
	e.mu.Unlock()
	e.tracked.LeafCrashed(lost.Leaf, lost.Probe)
}

// afterCheck returns the result of an attempt after its leaf was checked. A connection that the leaf reset may have
// carried the request to a leaf that crashed.
func afterCheck(result attemptResult, lost LeafCheckRecord) attemptResult {
	result.LeafCrashed = lost.isEvidence()
	if lost.Exited && result.Reason == reasonConnectionReset {
		result.Reason, result.NeverArrived, result.ConnectionLost = reasonBroken, false, true
	}
	return result
}

// isListed reports whether discovery lists a leaf as ready.
func (g *Gateway) isListed(leafID string) bool {
	leaf, found := g.catalog.View().Leafs.ByID(leafID)
	return found && leaf.State == leafset.Ready
}

// processCheckWait bounds how long the failure of a group waits for the checks of its leafs.
const processCheckWait = 200 * time.Millisecond

// crashedLeafIDs waits for the checks and returns the leafs that crashed during the request.
func (e *execution) crashedLeafIDs() []string {
	e.mu.Lock()
	checks := slices.Clone(e.processChecks)
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), processCheckWait)
	defer cancel()
	for _, checked := range checks {
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashedLeafs)
}

// reportCrashed reports the leafs that crashed while another node gathered a group.
func (e *execution) reportCrashed(leafs []string) {
	if e.tracked == nil {
		return
	}
	for _, leaf := range leafs {
		e.tracked.LeafCrashed(leaf, 0)
	}
}
