package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/balancer"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// A request may end each leaf that begins to run it. It comes again with another id, at any node: what it did must be
// known to the next attempt, the next try and the next node. Without that one request over 20 shards of two leafs each
// took all 40 away with each try, for three seconds, as long as it came: 31% of a day's requests failed.

// reasonQuarantined is the reason of a shard that is not asked, since the request ends leafs.
const reasonQuarantined scatter.Reason = "QUARANTINED"

// errQuarantined ends the work on a request that was put under quarantine meanwhile. Its attempts are cut off at once:
// leafs that have not begun with them live.
var errQuarantined = errors.New("the request ends the leafs that run it")

// Bounds of the lead that the first attempt of a gathered request has while requests that end leafs are about.
const (
	leadFactor  = 3 // of what an attempt usually takes
	minimumLead = 20 * time.Millisecond
)

// LeafLossRecord is an attempt whose answer broke off, and whether the leaf's process ended with it.
type LeafLossRecord struct {
	RequestID string
	// Content is the same for all tries of a request.
	Content fingerprint.Fingerprint
	Service string
	Leaf    string
	// Probe counts the attempts that were sent alone; 0 for others.
	Probe int
	// Ended says that the leaf's process ended, not just a connection to it.
	Ended bool
	// Announced says that the leaf had said that it leaves, or was taken off the list.
	Announced bool
}

// isEvidence reports whether the loss tells of the request.
func (l LeafLossRecord) isEvidence() bool { return l.Ended && !l.Announced }

// guard has the work stopped when its request is put under quarantine, or the machine wakes after its deadline; release
// must be called at its end.
func (e *execution) watch(ctx context.Context) (guarded context.Context, release func()) {
	guarded, cancel := context.WithCancelCause(ctx)
	e.cancel = cancel
	e.gateway.inFlight.add(e)
	if e.gateway.quarantine != nil {
		subject := quarantine.NewSubject(e.request.fingerprint, e.request.Path, e.request.Caller)
		e.tracked = e.gateway.quarantine.Begin(subject, e.stop)
	}
	return guarded, func() {
		if e.tracked != nil {
			e.tracked.End()
		}
		e.gateway.inFlight.remove(e)
		cancel(nil)
	}
}

// stop ends the work on a request under quarantine.
func (e *execution) stop() { e.cancel(errQuarantined) }

// state gives how the request was held when the work began.
func (e *execution) quarantineState() quarantine.State {
	if e.tracked == nil {
		return quarantine.Clear
	}
	return e.tracked.State()
}

// refuseQuarantined gives a failure for a request that must not go to any leaf. The caller is told when it will be tried
// again, if ever.
func (e *execution) refuseQuarantined() error {
	if e.quarantineState() != quarantine.Quarantined {
		return nil
	}
	return e.quarantineFailure(failure.NotRun)
}

// quarantined makes the failure of a request under quarantine. Only one that did not run may come again by itself.
func (e *execution) quarantineFailure(execution failure.ExecutionState) error {
	failed := failure.New(failure.Quarantined, execution, "leafs ended while they ran this request; it goes to no more of them (%s)", e.request.fingerprint)
	if execution != failure.NotRun {
		return failed
	}
	return failed.WithRetryAfter(e.gateway.quarantine.Left(e.request.fingerprint))
}

// caution sets how a plan treats leafs that end under the request. A part that is gathered for another node is given up
// instead of probed: with a probe for each part, more shards would lose all of their leafs.
func (e *execution) caution(plan *scatter.Plan) {
	if e.tracked == nil {
		return
	}
	plan.NoProbes = e.partial != nil
	plan.Cautious = e.quarantineState() == quarantine.Suspect
	plan.FatalProbes = quarantine.FatalProbes
	if e.tracked.IsAlert() && e.isGathered() && e.partial == nil {
		plan.Lead = max(minimumLead, leadFactor*e.gatheredLatency.typical())
	}
}

// spare takes a shard out of the parts that other nodes gather, if all are in one, so that one attempt can be made from
// here before them.
func keepOneShard(groups []group, services int) []group {
	passed := 0
	for _, part := range groups {
		passed += len(part.shards)
	}
	if len(groups) == 0 || passed < services {
		return groups
	}
	spared := slices.Clone(groups)
	spared[0].shards = spared[0].shards[1:]
	return spared
}

// numberOf gives the number of an attempt among the probes; 0 for those that were sent together.
func (e *execution) numberOf(attempt scatter.Attempt) int {
	if !attempt.Probe {
		return 0
	}
	e.probes++
	return e.probes
}

// isStopped reports whether the request was put under quarantine meanwhile.
func (e *execution) isStopped() bool { return e.tracked != nil && e.tracked.IsStopped() }

// notSent is the end of an attempt that must not be made any more.
func notSent() scatter.Result[leafhttp.Response] {
	return scatter.Result[leafhttp.Response]{
		Reason: reasonQuarantined, Execution: scatter.NotRun, Outcome: balancer.Abandoned, Final: true, NeverArrived: true,
	}
}

// learn takes what the end of an attempt tells of the request and its leaf, and then ends the attempt. What decides on
// further ones waits until the leaf was looked at, a way there and back or two: the end of a probe, and that of a
// connection which broke before its first answer, which a leaf with too many of them refuses alike.
func (e *execution) finishAttempt(attempt scatter.Attempt, asked leafTarget, number int, end attemptEnd, done func(scatter.Result[leafhttp.Response])) {
	e.observePresence(attempt.Leaf.ID, end)
	if !end.mayBeLoss() {
		done(end.result)
		return
	}
	result := end.result
	result.Broke = end.isBroken()
	mustWait := !end.isAbandoned() && (attempt.Probe || end.isRefused())
	if !mustWait {
		done(result)
	}
	lost := LeafLossRecord{
		RequestID: e.request.Leaf.ID, Content: e.request.fingerprint, Service: e.services[attempt.Shard], Leaf: attempt.Leaf.ID,
		Probe: number, Announced: !e.gateway.isListed(attempt.Leaf.ID),
	}
	e.checkProcess(asked.Target, end.isRefused(), func(ended bool) {
		lost.Ended = ended
		e.recordLoss(lost)
		if mustWait {
			done(afterCheck(result, lost))
		}
	})
}

// observePresence takes that a leaf lived through the request, or was gone before.
func (e *execution) observePresence(leafID string, end attemptEnd) {
	if e.tracked == nil {
		return
	}
	if end.isCompleted() {
		e.tracked.Answered()
	}
	if leafhttp.IsGone(end.err) && e.gateway.isListed(leafID) {
		e.tracked.Gone(leafID)
	}
}

// look finds out whether a leaf's process ended, and tells.
func (e *execution) checkProcess(at leafhttp.Target, wasRefused bool, tell leafhttp.Ended) {
	checked := make(chan struct{})
	e.mu.Lock()
	e.processChecks = append(e.processChecks, checked)
	e.mu.Unlock()
	e.gateway.leafs.Check(at, wasRefused, func(ended bool) {
		defer close(checked)
		tell(ended)
	})
}

// attemptEnd is how an attempt ended.
type attemptEnd struct {
	response *leafhttp.Response // nil where err is not
	result   scatter.Result[leafhttp.Response]
	err      error
}

// isCompleted reports whether the leaf ran the request to its end and lived. One that stopped at its deadline tells
// nothing: with more time the request might have ended it.
func (e attemptEnd) isCompleted() bool {
	return e.result.Execution == scatter.Ran && e.response != nil && e.response.Status != http.StatusGatewayTimeout
}

func (e attemptEnd) isBroken() bool { return e.result.Reason == reasonBroken }

func (e attemptEnd) isRefused() bool { return e.result.Reason == reasonRefusedConnection }

// isAbandoned reports whether nobody waits for the answer any more.
func (e attemptEnd) isAbandoned() bool { return e.result.Outcome == balancer.Abandoned }

// mayBeLoss reports whether the leaf's process may have ended. Where a try is given up early, since too many shards have no
// leaf left, leafs end after nobody waits for them: that counts, too.
func (e attemptEnd) mayBeLoss() bool {
	if !e.isBroken() && !e.isRefused() {
		return false
	}
	return !e.isAbandoned() || leafhttp.IsBrokenByLeaf(e.err)
}

// lose takes a leaf whose answer broke off for evidence, if it ended unannounced.
func (e *execution) recordLoss(lost LeafLossRecord) {
	e.gateway.events.LeafLost(lost)
	if e.tracked == nil || !lost.isEvidence() {
		return
	}
	e.mu.Lock()
	e.crashedLeafs = append(e.crashedLeafs, lost.Leaf)
	e.mu.Unlock()
	e.tracked.Ended(lost.Leaf, lost.Probe)
}

// afterCheck is the result of an attempt once it is known whether its leaf ended. A connection that seemed refused may
// have carried the request to a leaf that ended by it.
func afterCheck(result scatter.Result[leafhttp.Response], lost LeafLossRecord) scatter.Result[leafhttp.Response] {
	result.Ended = lost.isEvidence()
	if lost.Ended && result.Reason == reasonRefusedConnection {
		result.Reason, result.NeverArrived, result.Broke = reasonBroken, false, true
	}
	return result
}

// isListed reports whether discovery tells of a leaf that takes work.
func (g *Gateway) isListed(leafID string) bool {
	leaf, found := g.catalog.View().Leafs.ByID(leafID)
	return found && leaf.State == leafset.Ready
}

// processCheckWait bounds how long the failure of a part waits until its leafs were looked at.
const processCheckWait = 200 * time.Millisecond

// endedLeafs gives the leafs that ended under the request, once those that broke off were looked at.
func (e *execution) crashedLeafNames() []string {
	e.mu.Lock()
	processChecks := slices.Clone(e.processChecks)
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), processCheckWait)
	defer cancel()
	for _, checked := range processChecks {
		select {
		case <-checked:
		case <-ctx.Done():
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crashedLeafs)
}

// reportCrashed takes the leafs that ended at another node, which gathered a part.
func (e *execution) reportCrashed(leafs []string) {
	if e.tracked == nil {
		return
	}
	for _, leaf := range leafs {
		e.tracked.Ended(leaf, 0)
	}
}
