package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
	"github.com/portgauge/portgauge/internal/wait"
)

// recoverySlack is how long after a fault a node is exempt from guarantees with a time bound.
const recoverySlack = 5 * time.Second

// fault is a kind of fault. The begin function injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(i *injector, span time.Duration) (end func())
}

// injector selects random faults from a seed and injects them from outside of the processes.
type injector struct {
	environment *environment
	kinds       []fault
	random      *rand.Rand
	log         func(string)
}

// faults returns the kinds of faults that affect one component at a time. A seed selects kinds by position, so their
// order must not change.
func faults() []fault {
	return []fault{
		{"node frozen", (*injector).suspendNode},
		{"node killed", (*injector).killNode},
		{"node restarted", (*injector).stopNode},
		{"node reloads its settings", (*injector).reloadNode},
		{"node's store link silent", (*injector).silenceStoreLink},
		{"node's store link one-way", (*injector).oneWayStore},
		{"node's peer link closed", (*injector).closePeerLink},
		{"node's tree link silent", (*injector).silenceTree},
		{"node's tree link one-way", (*injector).oneWayTree},
		{"node's tree link delayed", (*injector).delayTree},
		{"node's tree link reset", (*injector).resetTree},
		{"node's store link reset", (*injector).resetStore},
		{"store refuses calls", (*injector).refuseStore},
		{"store silent", (*injector).silenceStore},
		{"store links delayed", (*injector).delayStore},
		{"store's watches silent", (*injector).silenceWatches},
		{"store loses its answers", (*injector).loseAnswers},
		{"store compacted", (*injector).compactStore},
		{"leaf link silent", (*injector).silenceLeaf},
		{"leaf link delayed", (*injector).delayLeaf},
		{"leaf link one-way", (*injector).oneWayLeaf},
		{"leaf link reset", (*injector).resetLeaf},
		{"leaf replaced", (*injector).replaceLeaf},
		{"zone evacuated", (*injector).evacuateZone},
		{"configuration changed", (*injector).changeConfiguration},
		{"configuration changed repeatedly", (*injector).changeConfigurationRepeatedly},
	}
}

// Durations of faults and of the pauses between them.
const (
	minFaultSpan   = 300 * time.Millisecond
	faultSpanRange = 3 * time.Second
	maxFaultPause  = 2 * time.Second
)

// run injects one or two faults at a time until the context is done, with a random pause after each.
func (i *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		count := 1 + i.random.IntN(2)
		var ends []func()
		span := minFaultSpan + time.Duration(i.random.Int64N(int64(faultSpanRange)))
		for range count {
			kind := i.kinds[i.random.IntN(len(i.kinds))]
			i.log(fmt.Sprintf("%s for %v", kind.name, span.Round(time.Millisecond)))
			ends = append(ends, kind.begin(i, span))
		}
		wait.For(ctx, span)
		for _, end := range ends {
			end()
		}
		wait.For(ctx, time.Duration(i.random.Int64N(int64(maxFaultPause))))
	}
}

// pickNode selects a random node and records a fault of it.
func (i *injector) pickNode(span time.Duration) *nodeState {
	node := i.environment.nodes[i.random.IntN(len(i.environment.nodes))]
	node.recordFault(span+recoverySlack, false)
	return node
}

// recordFaultOfAllNodes records a fault that affects all nodes.
func (i *injector) recordFaultOfAllNodes(span time.Duration) {
	for _, node := range i.environment.nodes {
		node.recordFault(span+recoverySlack, false)
	}
}

// pickLeaf selects a random leaf that is neither leaving nor crashed, and records a fault of it.
func (i *injector) pickLeaf(span time.Duration) (string, *leafState) {
	i.environment.mu.Lock()
	defer i.environment.mu.Unlock()
	for {
		id := fmt.Sprintf("leaf-%d", 1+i.random.IntN(i.environment.nextID))
		if state, found := i.environment.leafs[id]; found && state.leavingAt.IsZero() && !state.hasCrashed {
			now := time.Now()
			state.faultSpans = append(state.faultSpans, faultSpan{from: now, until: now.Add(span + recoverySlack)})
			return id, state
		}
	}
}

// noop is the end function of a fault that needs none or was not injected.
func noop() {}

func (i *injector) suspendNode(span time.Duration) func() {
	node := i.pickNode(span)
	if !node.claim() {
		return noop
	}
	node.process.Suspend()
	return func() {
		node.process.Resume()
		node.recordFault(recoverySlack, false)
		node.release()
	}
}

func (i *injector) killNode(span time.Duration) func() {
	node := i.pickNode(span)
	if !node.claim() {
		return noop
	}
	node.process.Kill()
	return func() { i.restart(node) }
}

func (i *injector) stopNode(span time.Duration) func() {
	node := i.environment.nodes[i.random.IntN(len(i.environment.nodes))]
	if !node.claim() {
		return noop
	}
	node.recordStop(span + recoverySlack)
	stopped := make(chan struct{})
	go func() {
		if err := node.process.Stop(); err != nil {
			i.log("FAILED to stop a node: " + err.Error())
		}
		close(stopped)
	}()
	return func() {
		<-stopped
		i.restart(node)
	}
}

func (i *injector) restart(node *nodeState) {
	node.recordFault(recoverySlack, false)
	if err := i.environment.startNode(node); err != nil {
		i.log("FAILED to start a node: " + err.Error())
	}
	node.release()
}

func (i *injector) reloadNode(span time.Duration) func() {
	node := i.pickNode(span)
	if !node.claim() {
		return noop
	}
	node.process.Reload()
	return node.release
}

func (i *injector) setStoreLink(span time.Duration, condition Condition) func() {
	node := i.pickNode(span)
	node.storeLink.Set(condition)
	return func() {
		node.storeLink.Set(Healthy)
		node.recordFault(recoverySlack, false)
	}
}

func (i *injector) silenceStoreLink(span time.Duration) func() { return i.setStoreLink(span, Silent) }
func (i *injector) oneWayStore(span time.Duration) func()      { return i.setStoreLink(span, OneWay) }

func (i *injector) resetStore(span time.Duration) func() { return i.setStoreLink(span, Resetting) }

// delayStore delays all bytes between the nodes and the store.
func (i *injector) delayStore(span time.Duration) func() {
	i.recordFaultOfAllNodes(span)
	for _, node := range i.environment.nodes {
		node.storeLink.Set(Delayed)
	}
	return func() {
		for _, node := range i.environment.nodes {
			node.storeLink.Set(Healthy)
		}
		i.recordFaultOfAllNodes(0)
	}
}

func (i *injector) closePeerLink(span time.Duration) func() {
	node := i.pickNode(span)
	node.setCut(true)
	node.peerLink.Recheck()
	return func() { node.setCut(false) }
}

// setTreeLink sets the condition of the link through which other nodes reach a random node as an intermediate. It records a
// fault of all nodes, since their requests are affected too.
func (i *injector) setTreeLink(span time.Duration, condition Condition) func() {
	i.recordFaultOfAllNodes(span)
	node := i.environment.nodes[i.random.IntN(len(i.environment.nodes))]
	node.treeLink.Set(condition)
	return func() {
		node.treeLink.Set(Healthy)
		i.recordFaultOfAllNodes(0)
	}
}

func (i *injector) silenceTree(span time.Duration) func() { return i.setTreeLink(span, Silent) }
func (i *injector) oneWayTree(span time.Duration) func()  { return i.setTreeLink(span, OneWay) }
func (i *injector) delayTree(span time.Duration) func()   { return i.setTreeLink(span, Delayed) }
func (i *injector) resetTree(span time.Duration) func()   { return i.setTreeLink(span, Resetting) }

func (i *injector) setStore(span time.Duration, wrong kvstore.Faults) func() {
	i.recordFaultOfAllNodes(span)
	i.environment.store.SetFaults(wrong)
	return func() {
		i.environment.store.SetFaults(kvstore.Faults{})
		i.recordFaultOfAllNodes(0)
	}
}

func (i *injector) refuseStore(span time.Duration) func() {
	return i.setStore(span, kvstore.Faults{Refuse: 503})
}

func (i *injector) silenceStore(span time.Duration) func() {
	return i.setStore(span, kvstore.Faults{Silent: true})
}

func (i *injector) silenceWatches(span time.Duration) func() {
	return i.setStore(span, kvstore.Faults{SilentWatches: true})
}

func (i *injector) loseAnswers(span time.Duration) func() {
	return i.setStore(span, kvstore.Faults{LoseAnswers: true})
}

func (i *injector) compactStore(span time.Duration) func() {
	i.recordFaultOfAllNodes(span)
	i.environment.store.SetFaults(kvstore.Faults{SilentWatches: true})
	return func() {
		i.environment.store.Compact()
		i.environment.store.SetFaults(kvstore.Faults{})
	}
}

func (i *injector) setLeafLink(span time.Duration, condition Condition) func() {
	_, state := i.pickLeaf(span)
	state.link.Set(condition)
	return func() { state.link.Set(Healthy) }
}

func (i *injector) silenceLeaf(span time.Duration) func() { return i.setLeafLink(span, Silent) }
func (i *injector) delayLeaf(span time.Duration) func()   { return i.setLeafLink(span, Delayed) }
func (i *injector) oneWayLeaf(span time.Duration) func()  { return i.setLeafLink(span, OneWay) }
func (i *injector) resetLeaf(span time.Duration) func()   { return i.setLeafLink(span, Resetting) }

// replaceLeaf starts a successor of a leaf and drains the leaf.
func (i *injector) replaceLeaf(span time.Duration) func() {
	i.environment.replacementMu.Lock()
	defer i.environment.replacementMu.Unlock()
	id, state := i.pickLeaf(span)
	if _, err := i.environment.addLeafWithVersion(state.version); err != nil {
		i.log("FAILED to start a leaf: " + err.Error())
		return func() {}
	}
	i.environment.register(id, stateDraining)
	i.environment.mu.Lock()
	state.leavingAt = time.Now()
	i.environment.mu.Unlock()
	return func() { i.environment.unregister(id) }
}

// evacuateZone evacuates a random zone.
func (i *injector) evacuateZone(time.Duration) func() {
	zone := zoneName(i.random.IntN(zoneCount))
	i.environment.putAsOperator(evacuationKey(zone), struct{}{})
	i.environment.mu.Lock()
	defer i.environment.mu.Unlock()
	number := len(i.environment.evacuations)
	i.environment.evacuations = append(i.environment.evacuations, evacuation{zone: zone, from: time.Now()})
	return func() { i.environment.restoreZone(number) }
}

// restoreZone ends an evacuation. The zone stays evacuated until all of its evacuations have ended.
func (e *environment) restoreZone(number int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := &e.evacuations[number]
	ended.until = time.Now()
	for _, other := range e.evacuations {
		if other.zone == ended.zone && other.until.IsZero() {
			return
		}
	}
	e.removeAsOperator(evacuationKey(ended.zone))
}

func (i *injector) changeConfiguration(time.Duration) func() {
	next := singleName
	if i.environment.switched() == singleName {
		next = anotherName
	}
	i.environment.configure(next)
	return func() {}
}

// Number of configurations in a burst, and the time between them.
const (
	burstConfigurations = 6
	burstInterval       = 60 * time.Millisecond
)

func (i *injector) changeConfigurationRepeatedly(span time.Duration) func() {
	for range burstConfigurations {
		i.changeConfiguration(span)
		time.Sleep(burstInterval)
	}
	return func() {}
}
