package soak

import "time"

// Times between the steps of a series, and the number of reloads in a series.
const (
	seriesPause  = 400 * time.Millisecond
	leafDowntime = 300 * time.Millisecond
	reloadCount  = 4
)

// series returns the kinds of faults and planned work that repeat or affect several processes.
func series() []fault {
	return []fault{
		{"nodes restarted in turn", (*injector).restartNodesInTurn},
		{"several nodes killed", (*injector).killSeveralNodes},
		{"node reloads its settings repeatedly", (*injector).reloadNodeRepeatedly},
		{"configuration changed repeatedly, twice", (*injector).changeConfigurationRepeatedlyTwice},
		{"leaf restarted with its ID", (*injector).restartLeaf},
		{"leafs restarted with their IDs", (*injector).restartSeveralLeafs},
	}
}

// beginAll begins faults one after the other and returns the function that ends them all.
func beginAll(begin ...func() func()) func() {
	var ends []func()
	for _, one := range begin {
		ends = append(ends, one())
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// restartNodesInTurn restarts the nodes one after the other.
func (i *injector) restartNodesInTurn(time.Duration) func() {
	for _, node := range i.environment.nodes {
		if !node.claim() {
			continue
		}
		node.recordStop(recoverySlack)
		if err := node.process.Stop(); err != nil {
			i.log("FAILED to stop a node: " + err.Error())
		}
		i.restart(node)
		time.Sleep(seriesPause)
	}
	return noop
}

// killSeveralNodes kills up to three random nodes.
func (i *injector) killSeveralNodes(span time.Duration) func() {
	kill := func() func() { return i.killNode(span) }
	return beginAll(kill, kill, kill)
}

func (i *injector) reloadNodeRepeatedly(span time.Duration) func() {
	for range reloadCount {
		i.reloadNode(span)()
		time.Sleep(seriesPause / reloadCount)
	}
	return noop
}

func (i *injector) changeConfigurationRepeatedlyTwice(span time.Duration) func() {
	i.changeConfigurationRepeatedly(span)
	time.Sleep(seriesPause)
	return i.changeConfigurationRepeatedly(span)
}

// restartLeaf replaces a leaf's process with another one that has the same ID and address.
func (i *injector) restartLeaf(span time.Duration) func() {
	id, state := i.pickLeaf(span)
	state.link.Set(Resetting)
	time.Sleep(leafDowntime)
	if err := i.environment.restartLeafProcess(id, state); err != nil {
		i.log("FAILED to restart a leaf: " + err.Error())
	}
	state.link.Set(Healthy)
	return noop
}

func (i *injector) restartSeveralLeafs(span time.Duration) func() {
	restart := func() func() { return i.restartLeaf(span) }
	return beginAll(restart, restart, restart)
}

// restartLeafProcess replaces a leaf's process with a new one that has the same ID and no state of the previous one.
func (e *environment) restartLeafProcess(id string, state *leafState) error {
	started, err := e.startLeaf(id, state.version)
	if err != nil {
		return err
	}
	e.mu.Lock()
	before, isRemoved := state.leaf, state.hasCrashed || state.record == ""
	if !isRemoved {
		state.previousLeafs = append(state.previousLeafs, before)
		state.leaf, state.born, state.sequence = started, time.Now().UnixMilli(), 0
		state.link.SetTarget(started.Address())
	}
	record := state.record
	e.mu.Unlock()
	if isRemoved {
		started.Stop()
		return nil
	}
	before.Stop()
	e.register(id, record)
	return nil
}
