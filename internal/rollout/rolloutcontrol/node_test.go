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

// testNode is one node; it is its own counts, splitter, sender, events and fleet.
type testNode struct {
	id         string
	fleet      *fleet
	catalog    *catalog.Catalog
	controller *Controller
	transport  *peertest.Transport
	stop       context.CancelFunc

	mu        sync.Mutex
	rows      map[evidence.Key]evidence.Tally
	changed   map[evidence.Key]bool
	aborted   map[rolloutID]bool
	paused    chan struct{} // closed when the pause ends; nil while there is none
	cut       bool
	silent    bool // it asks nothing
	unsettled bool
	sentBytes int
	// suspended is for how long the machine was suspended, in nanoseconds.
	suspended atomic.Int64
	// hangs is how many more calls of the fleet take as long as they may.
	hangs atomic.Int32
	// calls are those of the fleet that this node made; switched is when it learned that the requests move.
	calls    atomic.Int32
	switched time.Time
}

// clock returns the virtual time plus the time that the machine was suspended.
func (n *testNode) clock() time.Time { return time.Now().Add(time.Duration(n.suspended.Load())) }

func (n *testNode) TakeChanged(most int) []evidence.Row {
	n.mu.Lock()
	defer n.mu.Unlock()
	var rows []evidence.Row
	for key := range n.changed {
		if len(rows) < most {
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

// row returns a copy of the counts of a key; the lock must be held.
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
	n.aborted[rolloutID{service, specID}] = true
}

func (n *testNode) isAborted(id rolloutID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.aborted[id]
}

func (n *testNode) forgetAborts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.aborted)
}

func (n *testNode) SettledRevision() int64 { return n.catalog.Revision() }

func (n *testNode) Ramp(time.Duration) time.Duration { return n.fleet.ramp }

func (n *testNode) Send(address string, message peer.Message) {
	line, err := json.Marshal(message)
	if err != nil || len(line) > peer.MaximumDatagram {
		n.fleet.t.Errorf("a datagram of %d bytes: %v", len(line), err)
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

// Settled returns the status of the nodes that this one reaches.
func (n *testNode) Settled(ctx context.Context, _ int64) FleetStatus {
	n.calls.Add(1)
	if n.hangs.Add(-1) >= 0 {
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
	if state.Phase == rollout.Switching {
		n.switched = time.Now()
	}
}

func (n *testNode) PhaseWritten(PhaseWriteEvent)       {}
func (n *testNode) Aborted(AbortEvent)                 {}
func (n *testNode) RowsDropped(RowsDroppedEvent)       {}
func (n *testNode) VersionsWritten(VersionsWriteEvent) {}

// awake waits until the node is not paused.
func (n *testNode) awake() {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (n *testNode) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *testNode) stopCounting() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent = true
}

func (n *testNode) setUnsettled() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unsettled = true
}

func (n *testNode) isUnsettled() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.unsettled || !n.switched.IsZero() && time.Since(n.switched) < n.fleet.ramp
}

func (n *testNode) isReachable() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.cut && n.paused == nil
}

// sync brings the node's configuration up to the store's.
func (n *testNode) sync() {
	if n.isReachable() {
		n.catalog.Replace(n.fleet.store.snapshot())
	}
}

func (n *testNode) ask(fails bool) {
	n.mu.Lock()
	isQuiet := n.paused != nil || n.silent
	n.mu.Unlock()
	if isQuiet {
		return
	}
	view := n.catalog.View()
	for service := range view.Rollouts {
		rule := view.Leafs.Rule(service)
		if rule.Canary == "" || n.isAborted(rolloutID{service, rule.SpecID}) {
			continue
		}
		for _, leaf := range view.Leafs.Canaries(service) {
			n.observe(evidence.Key{Service: service, SpecID: rule.SpecID, Route: "r", Version: leaf.Version, Leaf: leaf.ID}, fails)
			break
		}
		n.observe(evidence.Key{Service: service, SpecID: rule.SpecID, Route: "r", Version: rule.Serving}, false)
	}
}

// thresholdEvaluator finds a version bad by 10 failures, and good after half of the time without any.
type thresholdEvaluator struct {
	canary   string
	duration time.Duration
}

func newThresholdEvaluator(_, canary string, duration time.Duration) Evaluator {
	return thresholdEvaluator{canary, duration}
}

func (j thresholdEvaluator) Update(elapsed time.Duration, rows []evidence.Row) verdict.Evaluation {
	for _, one := range countVersions(rows) {
		switch {
		case one.Version != j.canary:
		case one.Failures >= 10:
			return verdict.Evaluation{Finding: verdict.Bad, Reason: "10 answers failed"}
		case elapsed >= j.duration/2 && one.Attempts >= 5:
			return verdict.Evaluation{Finding: verdict.Good, Reason: "none failed"}
		}
	}
	return verdict.Evaluation{Finding: verdict.Undecided}
}
