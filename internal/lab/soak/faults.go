package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
	"github.com/portgauge/portgauge/internal/wait"
)

// recoverySlack is how long after a fault a node is not held to promises that bound a time.
const recoverySlack = 5 * time.Second

// fault is a kind of fault. Its begin function injects it and returns the function that ends it.
type fault struct {
	name  string
	begin func(i *injector, span time.Duration) (end func())
}

// injector draws faults from a seed and injects them from outside of the processes.
type injector struct {
	environment *environment
	kinds       []fault
	random      *rand.Rand
	log         func(string)
}

// faults returns all kinds of faults that are drawn one by one.
func faults() []fault {
	return []fault{
		{"node frozen", (*injector).freezeNode},
		{"node killed", (*injector).killNode},
		{"node stopped and started", (*injector).stopNode},
		{"node reloads", (*injector).reloadNode},
		{"node cut from the store", (*injector).cutStore},
		{"node's store link one way", (*injector).oneWayStore},
		{"node cut from its peers", (*injector).cutPeers},
		{"node's link of requests silent", (*injector).silenceTree},
		{"node's link of requests one way", (*injector).oneWayTree},
		{"node's link of requests delayed", (*injector).slowTree},
		{"node's link of requests reset", (*injector).resetTree},
		{"node's store link reset", (*injector).resetStore},
		{"store refuses", (*injector).refuseStore},
		{"store silent", (*injector).silenceStore},
		{"store slow", (*injector).slowStore},
		{"store's watches silent", (*injector).silenceWatches},
		{"store loses answers", (*injector).loseAnswers},
		{"store drops its history", (*injector).compactStore},
		{"leaf dark", (*injector).darkLeaf},
		{"leaf link delayed", (*injector).slowLeaf},
		{"leaf link one way", (*injector).oneWayLeaf},
		{"leaf link reset", (*injector).resetLeaf},
		{"leaf replaced", (*injector).replaceLeaf},
		{"leafs of a zone evacuated", (*injector).evacuateZone},
		{"configuration changed", (*injector).changeConfiguration},
		{"configurations in a row", (*injector).changeOften},
	}
}

// Durations of faults and of the pauses between them.
const (
	leastSpan = 300 * time.Millisecond
	spanRange = 3 * time.Second
	restRange = 2 * time.Second
)

// run injects faults one after the other, at times two together, until the context ends.
func (i *injector) run(ctx context.Context) {
	for ctx.Err() == nil {
		count := 1 + i.random.IntN(2)
		var ends []func()
		span := leastSpan + time.Duration(i.random.Int64N(int64(spanRange)))
		for range count {
			kind := i.kinds[i.random.IntN(len(i.kinds))]
			i.log(fmt.Sprintf("%s for %v", kind.name, span.Round(time.Millisecond)))
			ends = append(ends, kind.begin(i, span))
		}
		wait.For(ctx, span)
		for _, end := range ends {
			end()
		}
		wait.For(ctx, time.Duration(i.random.Int64N(int64(restRange))))
	}
}

func (i *injector) node(span time.Duration) *nodeState {
	node := i.environment.nodes[i.random.IntN(len(i.environment.nodes))]
	node.noteFault(span+recoverySlack, false)
	return node
}

// everyNode notes a fault that affects all nodes.
func (i *injector) everyNode(span time.Duration) {
	for _, node := range i.environment.nodes {
		node.noteFault(span+recoverySlack, false)
	}
}

// leaf draws a leaf that is neither leaving nor crashed, and notes a fault of it.
func (i *injector) leaf(span time.Duration) (string, *leafState) {
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

// nothing ends a fault that could not be injected.
func nothing() {}

func (i *injector) freezeNode(span time.Duration) func() {
	node := i.node(span)
	if !node.claim() {
		return nothing
	}
	node.process.Freeze()
	return func() {
		node.process.Wake()
		node.noteFault(recoverySlack, false)
		node.unclaim()
	}
}

func (i *injector) killNode(span time.Duration) func() {
	node := i.node(span)
	if !node.claim() {
		return nothing
	}
	node.process.Kill()
	return func() { i.restart(node) }
}

func (i *injector) stopNode(span time.Duration) func() {
	node := i.environment.nodes[i.random.IntN(len(i.environment.nodes))]
	if !node.claim() {
		return nothing
	}
	node.stop(span + recoverySlack)
	stopped := make(chan struct{})
	go func() {
		if err := node.process.Stop(); err != nil {
			i.log("FAILED STOP " + err.Error())
		}
		close(stopped)
	}()
	return func() {
		<-stopped
		i.restart(node)
	}
}

func (i *injector) restart(node *nodeState) {
	node.noteFault(recoverySlack, false)
	if err := i.environment.startNode(node); err != nil {
		i.log("FAILED START " + err.Error())
	}
	node.unclaim()
}

func (i *injector) reloadNode(span time.Duration) func() {
	node := i.node(span)
	if !node.claim() {
		return nothing
	}
	node.process.Reload()
	return node.unclaim
}

func (i *injector) setStoreLink(span time.Duration, condition Condition) func() {
	node := i.node(span)
	node.storeLink.Set(condition)
	return func() {
		node.storeLink.Set(Sound)
		node.noteFault(recoverySlack, false)
	}
}

func (i *injector) cutStore(span time.Duration) func()    { return i.setStoreLink(span, Silent) }
func (i *injector) oneWayStore(span time.Duration) func() { return i.setStoreLink(span, OneWay) }

func (i *injector) resetStore(span time.Duration) func() { return i.setStoreLink(span, Resetting) }

// slowStore delays the bytes between all nodes and the store.
func (i *injector) slowStore(span time.Duration) func() {
	i.everyNode(span)
	for _, node := range i.environment.nodes {
		node.storeLink.Set(Delayed)
	}
	return func() {
		for _, node := range i.environment.nodes {
			node.storeLink.Set(Sound)
		}
		i.everyNode(0)
	}
}

func (i *injector) cutPeers(span time.Duration) func() {
	node := i.node(span)
	node.setCut(true)
	node.peerLink.Recheck()
	return func() { node.setCut(false) }
}

// setTreeLink changes the link by which other nodes reach a node as an intermediate. That affects their requests, too.
func (i *injector) setTreeLink(span time.Duration, condition Condition) func() {
	i.everyNode(span)
	node := i.environment.nodes[i.random.IntN(len(i.environment.nodes))]
	node.treeLink.Set(condition)
	return func() {
		node.treeLink.Set(Sound)
		i.everyNode(0)
	}
}

func (i *injector) silenceTree(span time.Duration) func() { return i.setTreeLink(span, Silent) }
func (i *injector) oneWayTree(span time.Duration) func()  { return i.setTreeLink(span, OneWay) }
func (i *injector) slowTree(span time.Duration) func()    { return i.setTreeLink(span, Delayed) }
func (i *injector) resetTree(span time.Duration) func()   { return i.setTreeLink(span, Resetting) }

func (i *injector) setStore(span time.Duration, wrong kvstore.Faults) func() {
	i.everyNode(span)
	i.environment.store.SetFaults(wrong)
	return func() {
		i.environment.store.SetFaults(kvstore.Faults{})
		i.everyNode(0)
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
	i.everyNode(span)
	i.environment.store.SetFaults(kvstore.Faults{SilentWatches: true})
	return func() {
		i.environment.store.Compact()
		i.environment.store.SetFaults(kvstore.Faults{})
	}
}

func (i *injector) setLeafLink(span time.Duration, condition Condition) func() {
	_, state := i.leaf(span)
	state.link.Set(condition)
	return func() { state.link.Set(Sound) }
}

func (i *injector) darkLeaf(span time.Duration) func()   { return i.setLeafLink(span, Silent) }
func (i *injector) slowLeaf(span time.Duration) func()   { return i.setLeafLink(span, Delayed) }
func (i *injector) oneWayLeaf(span time.Duration) func() { return i.setLeafLink(span, OneWay) }
func (i *injector) resetLeaf(span time.Duration) func()  { return i.setLeafLink(span, Resetting) }

// replaceLeaf starts a successor of a leaf, which then drains.
func (i *injector) replaceLeaf(span time.Duration) func() {
	i.environment.operating.Lock()
	defer i.environment.operating.Unlock()
	id, state := i.leaf(span)
	if _, err := i.environment.addLeafOf(state.version); err != nil {
		i.log("FAILED LEAF " + err.Error())
		return func() {}
	}
	i.environment.register(id, stateDraining)
	i.environment.mu.Lock()
	state.leavingAt = time.Now()
	i.environment.mu.Unlock()
	return func() { i.environment.unregister(id) }
}

// evacuateZone evacuates a zone.
func (i *injector) evacuateZone(time.Duration) func() {
	zone := zoneName(i.random.IntN(zoneCount))
	i.environment.operate(evacuationKey(zone), struct{}{})
	i.environment.mu.Lock()
	defer i.environment.mu.Unlock()
	number := len(i.environment.evacuations)
	i.environment.evacuations = append(i.environment.evacuations, evacuation{zone: zone, from: time.Now()})
	return func() { i.environment.restoreZone(number) }
}

// restoreZone ends an evacuation. The zone stays evacuated while another evacuation of it lasts.
func (w *environment) restoreZone(number int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := &w.evacuations[number]
	ended.until = time.Now()
	for _, other := range w.evacuations {
		if other.zone == ended.zone && other.until.IsZero() {
			return
		}
	}
	w.retract(evacuationKey(ended.zone))
}

func (i *injector) changeConfiguration(time.Duration) func() {
	next := singleName
	if i.environment.switched() == singleName {
		next = anotherName
	}
	i.environment.configure(next)
	return func() {}
}

// Number of configurations in quick succession, and the time between them.
const (
	stormChanges = 6
	stormGap     = 60 * time.Millisecond
)

func (i *injector) changeOften(span time.Duration) func() {
	for range stormChanges {
		i.changeConfiguration(span)
		time.Sleep(stormGap)
	}
	return func() {}
}
