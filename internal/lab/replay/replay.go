// Package replay replays traces against real processes and checks the outcomes on the records of leafs, store and callers.
//
// A cluster owns the processes and the forwarders between them, which have all ended when Run returns. Callers, operators and
// observers record their results while the events run in real time. The checks run afterwards.
package replay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"sync"
	"time"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/platform"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// recording contains all records of a trace's run.
type recording struct {
	startedAt  time.Time
	calls      []callRecord
	changes    []changeRecord
	writes     []platform.Write
	counts     platform.Counts
	executions []leaf.Execution
	observed   *observers
	// stopFailures describes the planned stops that failed.
	stopFailures []string
	nodes        []string
}

// player runs the events of a trace.
type player struct {
	trace     *Trace
	cluster   *cluster
	callers   *callers
	operators *operators
	observed  *observers
	startedAt time.Time

	mu           sync.Mutex
	stopFailures []string
	background   sync.WaitGroup
}

// Run replays a trace and writes a line for each outcome. It returns the numbers of passed and failed outcomes, and an error
// if the trace could not be run. All processes that it started have ended when it returns.
func Run(ctx context.Context, trace *Trace, programs process.Programs, output io.Writer) (passed, failed int, err error) {
	recorded, err := play(ctx, trace, programs)
	if err != nil {
		return 0, len(trace.Outcomes), err
	}
	for _, outcome := range trace.Outcomes {
		result := checkFuncs[outcome.Check](recorded, outcome)
		status := "PASS"
		if result.passed {
			passed++
		} else {
			failed++
			status = "FAIL"
		}
		if _, err := fmt.Fprintf(output, "%s %s %s: %s\n", status, trace.Header.Name, outcome.Check, result.summary); err != nil {
			return passed, failed, err
		}
	}
	return passed, failed, nil
}

func play(ctx context.Context, trace *Trace, programs process.Programs) (*recording, error) {
	dir, err := makeRecordDir()
	if err != nil {
		return nil, err
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			return
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := newCluster(&trace.Header, programs, dir)
	defer started.stop()
	if err := started.start(ctx); err != nil {
		return nil, err
	}
	p := &player{
		trace: trace, cluster: started, callers: newCallers(started, newIndexCache(&trace.Header)),
		operators: &operators{cluster: started}, observed: newObservers(started), startedAt: time.Now(),
	}
	return p.run(ctx)
}

// run runs the events in order of their time, waits for the loads and operators, and collects the records.
func (p *player) run(ctx context.Context) (*recording, error) {
	observeCtx, stopObserving := context.WithCancel(ctx)
	defer stopObserving()
	for _, node := range p.cluster.nodes {
		go p.observed.observe(observeCtx, node)
	}
	events := append([]Event(nil), p.trace.Events...)
	sort.SliceStable(events, func(i, j int) bool { return events[i].AtMS < events[j].AtMS })
	for number, event := range events {
		time.Sleep(time.Until(p.at(event.AtMS)))
		if err := p.handleEvent(ctx, number, event); err != nil {
			return nil, err
		}
	}
	p.background.Wait()
	p.callers.done.Wait()
	p.operators.done.Wait()
	time.Sleep(time.Until(p.at(p.trace.Header.DurationMS)))
	return p.collect(ctx)
}

func (p *player) at(millis int64) time.Time {
	return p.startedAt.Add(time.Duration(millis) * time.Millisecond)
}

// handleEvent starts an event. Loads, operators and planned stops run in the background.
func (p *player) handleEvent(ctx context.Context, number int, event Event) error {
	switch {
	case event.Load != nil:
		seed := p.trace.Header.Seed + uint64(number)
		p.background.Go(func() { p.callers.run(ctx, event.Load, seed, p.at(event.Load.UntilMS)) })
	case event.Publish != nil:
		spec := p.service(event.Publish.Service)
		p.background.Go(func() { p.operators.publish(ctx, event.Publish, spec, p.at(event.Publish.UntilMS)) })
	case event.Apply != nil:
		p.background.Go(func() { p.operators.apply(ctx, event.Apply, p.at(event.Apply.UntilMS)) })
	case event.LeafFaults != nil:
		return p.setLeafFaults(ctx, event.LeafFaults)
	case event.PlatformFaults != nil:
		return control.Put(ctx, p.cluster.platformControl, "/faults", event.PlatformFaults.Faults)
	case event.Machine != nil:
		return p.changeMachine(ctx, event.Machine)
	case event.Cut != nil:
		p.cluster.setCut(event.Cut.Between, true)
	case event.Heal != nil:
		p.cluster.setCut(event.Heal.Between, false)
	default:
		return p.signal(event)
	}
	return nil
}

// signal stops, kills, suspends, resumes or starts a process.
func (p *player) signal(event Event) error {
	switch {
	case event.Start != nil:
		return p.cluster.restart(event.Start.Process)
	case event.Stop != nil:
		p.background.Go(func() { p.plannedStop(event.Stop.Process) })
	case event.Kill != nil:
		p.cluster.process(event.Kill.Process).Kill()
	case event.Freeze != nil:
		p.cluster.process(event.Freeze.Process).Suspend()
	case event.Wake != nil:
		p.cluster.process(event.Wake.Process).Resume()
	}
	return nil
}

func (p *player) setLeafFaults(ctx context.Context, change *LeafFaults) error {
	for _, leafID := range change.Leafs {
		if err := control.Put(ctx, p.cluster.leafs[leafID].controlAddress, "/faults", change.Faults); err != nil {
			return err
		}
	}
	return nil
}

func (p *player) plannedStop(name string) {
	if err := p.cluster.process(name).Stop(); err != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.stopFailures = append(p.stopFailures, fmt.Sprintf("%s: %v", name, err))
	}
}

func (p *player) service(name string) ServiceSpec {
	for _, spec := range p.trace.Header.Services {
		if spec.Name == name {
			return spec
		}
	}
	return ServiceSpec{}
}

func (p *player) changeMachine(ctx context.Context, change *MachineChange) error {
	state := platformv1.MachineState_MACHINE_STATE_LIVE
	if change.State == "leaving" {
		state = platformv1.MachineState_MACHINE_STATE_LEAVING
	}
	p.cluster.mu.Lock()
	p.cluster.machines[change.ID].State = state
	p.cluster.mu.Unlock()
	return p.cluster.putMachines(ctx)
}

func (p *player) collect(ctx context.Context) (*recording, error) {
	recorded := &recording{
		startedAt: p.startedAt, calls: p.callers.calls, changes: p.operators.changes, observed: p.observed, stopFailures: p.stopFailures,
	}
	for id := range p.cluster.nodes {
		recorded.nodes = append(recorded.nodes, id)
	}
	if err := control.Get(ctx, p.cluster.platformControl, "/writes", &recorded.writes); err != nil {
		return nil, err
	}
	if err := control.Get(ctx, p.cluster.platformControl, "/counts", &recorded.counts); err != nil {
		return nil, err
	}
	for _, proc := range p.cluster.leafs {
		executions, err := readExecutions(proc.recordPath)
		if err != nil {
			return nil, err
		}
		recorded.executions = append(recorded.executions, executions...)
	}
	return recorded, nil
}

// readExecutions reads the executions that a leaf recorded. It skips lines that can't be parsed: a killed leaf may leave a
// truncated last line.
func readExecutions(path string) ([]leaf.Execution, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err := file.Close(); err != nil {
			return
		}
	}()
	var executions []leaf.Execution
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var execution leaf.Execution
		if json.Unmarshal(scanner.Bytes(), &execution) == nil {
			executions = append(executions, execution)
		}
	}
	return executions, scanner.Err()
}
