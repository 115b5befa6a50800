package soak

import "time"

// Times between the steps of a series, and the number of reloads in one.
const (
	seriesGap   = 400 * time.Millisecond
	restartGap  = 300 * time.Millisecond
	reloadTimes = 4
)

// series returns the kinds of faults and planned work that come in a row or affect several processes at once.
func series() []fault {
	return []fault{
		{"nodes stopped and started in turn", (*injector).rollNodes},
		{"nodes killed at once", (*injector).killSome},
		{"node reloads in a row", (*injector).reloadOften},
		{"configurations in a row, twice", (*injector).changeTwice},
		{"leaf started again under its id", (*injector).restartLeaf},
		{"leafs started again under their ids", (*injector).restartLeafs},
	}
}

// together begins some faults one after the other and returns the function that ends them all.
func together(begin ...func() func()) func() {
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

// rollNodes stops and starts one node after the other.
func (i *injector) rollNodes(time.Duration) func() {
	for _, node := range i.environment.nodes {
		if !node.claim() {
			continue
		}
		node.stop(recoverySlack)
		if err := node.process.Stop(); err != nil {
			i.log("FAILED STOP " + err.Error())
		}
		i.restart(node)
		time.Sleep(seriesGap)
	}
	return nothing
}

func (i *injector) killSome(span time.Duration) func() {
	kill := func() func() { return i.killNode(span) }
	return together(kill, kill, kill)
}

func (i *injector) reloadOften(span time.Duration) func() {
	for range reloadTimes {
		i.reloadNode(span)()
		time.Sleep(seriesGap / reloadTimes)
	}
	return nothing
}

func (i *injector) changeTwice(span time.Duration) func() {
	i.changeOften(span)
	time.Sleep(seriesGap)
	return i.changeOften(span)
}

// restartLeaf replaces a leaf's process by another one with its id and address.
func (i *injector) restartLeaf(span time.Duration) func() {
	id, state := i.leaf(span)
	state.link.Set(Resetting)
	time.Sleep(restartGap)
	if err := i.environment.startAgain(id, state); err != nil {
		i.log("FAILED LEAF " + err.Error())
	}
	state.link.Set(Sound)
	return nothing
}

func (i *injector) restartLeafs(span time.Duration) func() {
	restart := func() func() { return i.restartLeaf(span) }
	return together(restart, restart, restart)
}

// startAgain starts another process of a leaf under its id. It has no memory of the previous one.
func (w *environment) startAgain(id string, state *leafState) error {
	started, err := w.startLeaf(id, state.version)
	if err != nil {
		return err
	}
	w.mu.Lock()
	before, isGone := state.leaf, state.hasCrashed || state.record == ""
	if !isGone {
		state.earlier = append(state.earlier, before)
		state.leaf, state.born, state.sequence = started, time.Now().UnixMilli(), 0
		state.link.SetTarget(started.Address())
	}
	record := state.record
	w.mu.Unlock()
	if isGone {
		started.Stop()
		return nil
	}
	before.Stop()
	w.register(id, record)
	return nil
}
