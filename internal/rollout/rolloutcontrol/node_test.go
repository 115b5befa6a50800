package rolloutcontrol

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/peer/peertest"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/rollout"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
	"github.com/portgauge/portgauge/internal/rollout/verdict"
)

// testNode is one node. It implements Counts, Splitter, Sender, EventLog and Fleet for its own controller.
type testNode struct {
	id         string
	fleet      *fleet
	catalog    *catalog.Catalog
	controller *Controller
	transport  *peertest.Transport
	stop       context.CancelFunc

	mu           sync.Mutex
	rows         map[evidence.Key]evidence.Tally
	changed      map[evidence.Key]bool
	aborted      map[specKey]bool
	paused       chan struct{} // closed when the pause ends; nil while the node is not paused
	isolated     bool
	sendsNothing bool
	unsettled    bool
	sentBytes    int
	// suspended is the total time during which the machine was suspended, in nanoseconds.
	suspended atomic.Int64
	// hangingQueries is the number of fleet queries that block until their context is done.
	hangingQueries atomic.Int32
	// queries counts the fleet queries of this node. switchedAt is when it learned of PhaseSwitching.
	queries    atomic.Int32
	switchedAt time.Time
}

// clock returns the virtual time plus the time that the machine was suspended.
func (n *testNode) clock() time.Time { return time.Now().Add(time.Duration(n.suspended.Load())) }

func (n *testNode) TakeChanged(limit int) []evidence.Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	var rows []evidence.Row
	for key := range n.changed {
		if len(rows) < limit {
			rows = append(rows, n.row(key))
			delete(n.changed, key)
		}
	}
	return rows
}

func (n *testNode) Rows() []evidence.Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	var rows []evidence.Row
	for key := range n.rows {
		rows = append(rows, n.row(key))
	}
	return rows
}

// row returns a copy of the counts of a key. n.mu must be held.
func (n *testNode) row(key evidence.Key) evidence.Row {
	counts := evidence.Tally{}
	counts.Add(n.rows[key])
	return evidence.Row{Key: key, Tally: counts}
}

func (n *testNode) observe(key evidence.Key, failed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	counts := n.rows[key]
	counts.Observe(failed, 10*time.Millisecond)
	n.rows[key] = counts
	n.changed[key] = true
}

func (n *testNode) Abort(service string, specID int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aborted[specKey{service, specID}] = true
}

func (n *testNode) isAborted(id specKey) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.aborted[id]
}

func (n *testNode) clearAborts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.aborted)
}

func (n *testNode) SettledRevision() int64 { return n.catalog.Revision() }

func (n *testNode) Ramp(time.Duration) time.Duration { return n.fleet.ramp }

func (n *testNode) Send(address string, message peer.Message) {
	line, err := json.Marshal(message)
	if err != nil || len(line) > peer.MaxDatagram {
		n.fleet.t.Errorf("datagram of %d bytes: %v", len(line), err)
	}
	n.mu.Lock()
	if message.RolloutReports != nil {
		n.sentBytes += len(line) + headerBytes
	}
	n.mu.Unlock()
	n.transport.Send(address, message)
}

func (n *testNode) HandleDatagram(message peer.Message) {
	switch {
	case message.RolloutReports != nil:
		n.controller.HandleReports(message.From, *message.RolloutReports)
	case message.RolloutAbort != nil:
		n.controller.HandleAbort(message.From, *message.RolloutAbort)
	}
}

func (n *testNode) HandleCall(context.Context, peer.Message) peer.Message { return peer.Message{} }

// Settled returns the status of the reachable nodes.
func (n *testNode) Settled(ctx context.Context, _ int64) FleetStatus {
	n.queries.Add(1)
	if n.hangingQueries.Add(-1) >= 0 {
		<-ctx.Done()
	}
	status := FleetStatus{}
	for _, other := range n.fleet.all() {
		if !other.isReachable() || !n.isReachable() {
			continue
		}
		settled := other.catalog.Revision()
		if other.isUnsettled() {
			settled = 0
		}
		if status.Answered == 0 || settled < status.LowestSettled {
			status.LowestSettled = settled
		}
		status.Answered++
		if _, isRegistered := other.catalog.View().Nodes[other.id]; isRegistered {
			status.Registered += registry.NodeFingerprint(other.id)
		}
	}
	return status
}

func (n *testNode) SpecSeen(SpecEvent) {}
func (n *testNode) PhaseLearned(state rollout.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if state.Phase == rollout.PhaseSwitching {
		n.switchedAt = time.Now()
	}
}

func (n *testNode) PhaseWritten(PhaseWriteEvent)       {}
func (n *testNode) Aborted(AbortEvent)                 {}
func (n *testNode) RowsDropped(RowsDroppedEvent)       {}
func (n *testNode) VersionsWritten(VersionsWriteEvent) {}

// waitWhilePaused blocks until the node is not paused.
func (n *testNode) waitWhilePaused() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (n *testNode) isIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated
}

func (n *testNode) stopRequests() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sendsNothing = true
}

func (n *testNode) setUnsettled() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unsettled = true
}

func (n *testNode) isUnsettled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unsettled || !n.switchedAt.IsZero() && time.Since(n.switchedAt) < n.fleet.ramp
}

func (n *testNode) isReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.isolated && n.paused == nil
}

// sync replaces the node's configuration with a snapshot of the store.
func (n *testNode) sync() {
	if n.isReachable() {
		n.catalog.Replace(n.fleet.store.snapshot())
	}
}

// sendRequests counts one request per version of each service with an active spec. The canary fails if fails is set.
func (n *testNode) sendRequests(fails bool) {
	n.mu.Lock()
	isStopped := n.paused != nil || n.sendsNothing
	n.mu.Unlock()
	if isStopped {
		return
	}
	view := n.catalog.View()
	for service := range view.Rollouts {
		rule := view.Leafs.Rule(service)
		if rule.Canary == "" || n.isAborted(specKey{service, rule.SpecID}) {
			continue
		}
		for _, leaf := range view.Leafs.CanaryLeafs(service) {
			n.observe(evidence.Key{Service: service, SpecID: rule.SpecID, Route: "r", Version: leaf.Version, Leaf: leaf.ID}, fails)
			break
		}
		n.observe(evidence.Key{Service: service, SpecID: rule.SpecID, Route: "r", Version: rule.Serving}, false)
	}
}

// thresholdEvaluator finds a version bad after 10 failures, and good after 5 attempts in half of the duration.
type thresholdEvaluator struct {
	canary   string
	duration time.Duration
}

func newThresholdEvaluator(_, canary string, duration time.Duration) Evaluator {
	return thresholdEvaluator{canary, duration}
}

func (e thresholdEvaluator) Update(elapsed time.Duration, rows []evidence.Row) verdict.Evaluation {
	for _, counts := range countVersions(rows) {
		switch {
		case counts.Version != e.canary:
		case counts.Failures >= 10:
			return verdict.Evaluation{Finding: verdict.Bad, Reason: "10 answers failed"}
		case elapsed >= e.duration/2 && counts.Attempts >= 5:
			return verdict.Evaluation{Finding: verdict.Good, Reason: "none failed"}
		}
	}
	return verdict.Evaluation{Finding: verdict.Undecided}
}
