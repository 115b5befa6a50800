package replay

import (
	"slices"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/sample"
)

// platformName is the platform's name in cuts.
const platformName = "platform"

// checkHeader returns a failure that lists every invalid field of the header.
func (t *Trace) checkHeader(where string) error {
	header := &t.Header
	var checks failure.Checks
	checks.Refuse(header.Name == "", where+" name", "must not be empty")
	checks.Refuse(header.Dataset != sample.Tiles && header.Dataset != sample.Invoices, where+" dataset", "%q is invalid; must be tiles or invoices", header.Dataset)
	checks.Refuse(header.Records < 1, where+" records", "must be at least 1")
	checks.Refuse(header.DurationMS < 1, where+" duration_ms", "must be at least 1")
	checks.Refuse(len(header.Nodes) == 0, where+" nodes", "must name at least one")
	checks.Refuse(len(header.Leafs) == 0, where+" leafs", "must name at least one")
	for _, leafSpec := range header.Leafs {
		checks.Refuse(leafSpec.ID == "" || leafSpec.Zone == "", where+" leafs", "each must have id and zone")
		checks.Refuse(leafSpec.Slots < 1, where+" leafs", "%s: slots must be at least 1", leafSpec.ID)
		checks.Refuse(len(leafSpec.Snapshots) == 0, where+" leafs", "%s: snapshots must name at least one", leafSpec.ID)
	}
	for _, service := range header.Services {
		checks.Refuse(service.Shards < 1 || service.Replicas < 1, where+" services", "%s: shards and replicas must be at least 1", service.Name)
		for _, leafID := range service.Leafs {
			checks.Refuse(!t.isLeaf(leafID), where+" services", "%s: no leaf %q", service.Name, leafID)
		}
	}
	return checks.Err()
}

func (t *Trace) isLeaf(id string) bool {
	return slices.ContainsFunc(t.Header.Leafs, func(spec LeafSpec) bool { return spec.ID == id })
}

func (t *Trace) isNode(id string) bool {
	return slices.ContainsFunc(t.Header.Nodes, func(spec NodeSpec) bool { return spec.ID == id })
}

func (t *Trace) isZone(name string) bool {
	return slices.ContainsFunc(t.Header.Nodes, func(spec NodeSpec) bool { return spec.Zone == name })
}

func (t *Trace) isService(name string) bool {
	return slices.ContainsFunc(t.Header.Services, func(spec ServiceSpec) bool { return spec.Name == name })
}

// checkEvent returns a failure that lists every invalid field of an event.
func (t *Trace) checkEvent(where string, event *Event) error {
	var checks failure.Checks
	checks.Refuse(event.AtMS < 0 || event.AtMS > t.Header.DurationMS, where+" at_ms", "%d; must lie within duration_ms %d", event.AtMS, t.Header.DurationMS)
	t.checkLoad(&checks, where, event)
	t.checkOperators(&checks, where, event)
	t.checkMachines(&checks, where, event)
	t.checkCuts(&checks, where, event)
	kinds := event.countKinds()
	checks.Refuse(kinds != 1, where, "must hold exactly one kind of event, not %d", kinds)
	return checks.Err()
}

// countKinds returns the number of kinds that are set.
func (e *Event) countKinds() int {
	count := 0
	for _, isSet := range []bool{
		e.Load != nil, e.Publish != nil, e.Apply != nil, e.LeafFaults != nil, e.PlatformFaults != nil, e.Machine != nil,
		e.Kill != nil, e.Freeze != nil, e.Wake != nil, e.Stop != nil, e.Start != nil, e.Cut != nil, e.Heal != nil,
	} {
		if isSet {
			count++
		}
	}
	return count
}

func (t *Trace) checkLoad(checks *failure.Checks, where string, event *Event) {
	load := event.Load
	if load == nil {
		return
	}
	checks.Refuse(!t.isService(load.Service), where+" load.service", "service %q does not exist", load.Service)
	checks.Refuse(len(load.Nodes) == 0, where+" load.nodes", "must name at least one")
	checks.Refuse(load.PerSecond <= 0, where+" load.per_second", "must be positive")
	checks.Refuse(load.UntilMS <= event.AtMS, where+" load.until_ms", "must be later than at_ms")
	for _, node := range load.Nodes {
		checks.Refuse(!t.isNode(node), where+" load.nodes", "no node %q", node)
	}
}

func (t *Trace) checkOperators(checks *failure.Checks, where string, event *Event) {
	if publish := event.Publish; publish != nil {
		checks.Refuse(!t.isService(publish.Service), where+" publish.service", "service %q does not exist", publish.Service)
		checks.Refuse(!t.isNode(publish.Node), where+" publish.node", "no node %q", publish.Node)
		checks.Refuse(len(publish.Snapshots) == 0 || len(publish.Shards) == 0 || publish.Replicas < 1, where+" publish", "snapshots, shards and replicas must be given")
	}
	if apply := event.Apply; apply != nil {
		checks.Refuse(!t.isService(apply.Service), where+" apply.service", "service %q does not exist", apply.Service)
		checks.Refuse(!t.isNode(apply.Node), where+" apply.node", "no node %q", apply.Node)
		checks.Refuse(apply.EveryMS < 1, where+" apply.every_ms", "must be at least 1")
	}
}

func (t *Trace) checkMachines(checks *failure.Checks, where string, event *Event) {
	if faults := event.LeafFaults; faults != nil {
		for _, leafID := range faults.Leafs {
			checks.Refuse(!t.isLeaf(leafID), where+" leaf_faults.leafs", "no leaf %q", leafID)
		}
	}
	if machine := event.Machine; machine != nil {
		checks.Refuse(!t.isLeaf(machine.ID) && !t.isNode(machine.ID), where+" machine.id", "no process %q", machine.ID)
		checks.Refuse(machine.State != "live" && machine.State != "leaving", where+" machine.state", "%q is invalid; must be live or leaving", machine.State)
	}
	for name, target := range map[string]*Target{"kill": event.Kill, "freeze": event.Freeze, "wake": event.Wake, "stop": event.Stop, "start": event.Start} {
		if target != nil {
			checks.Refuse(!t.isLeaf(target.Process) && !t.isNode(target.Process), where+" "+name+".process", "no process %q", target.Process)
		}
	}
}

func (t *Trace) checkCuts(checks *failure.Checks, where string, event *Event) {
	for name, cut := range map[string]*Cut{"cut": event.Cut, "heal": event.Heal} {
		if cut == nil {
			continue
		}
		checks.Refuse(len(cut.Between) != 2, where+" "+name+".between", "must hold two names")
		for _, end := range cut.Between {
			isKnown := end == platformName || t.isLeaf(end) || t.isNode(end) || t.isZone(end)
			checks.Refuse(!isKnown, where+" "+name+".between", "%q is not a zone, node, leaf or %q", end, platformName)
		}
	}
}

// checkOutcome returns a failure that lists every invalid field of an outcome.
func (t *Trace) checkOutcome(where string, outcome *Outcome) error {
	var checks failure.Checks
	_, known := checkFuncs[outcome.Check]
	checks.Refuse(!known, where+" check", "%q is not a check", outcome.Check)
	checks.Refuse(outcome.Service != "" && !t.isService(outcome.Service), where+" service", "service %q does not exist", outcome.Service)
	checks.Refuse(outcome.Leaf != "" && !t.isLeaf(outcome.Leaf), where+" leaf", "no leaf %q", outcome.Leaf)
	for _, node := range outcome.Nodes {
		checks.Refuse(!t.isNode(node), where+" nodes", "no node %q", node)
	}
	return checks.Err()
}
