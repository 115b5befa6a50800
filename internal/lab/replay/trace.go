// Package replay runs recorded traces over real processes and judges their stated outcomes
// from what leafs, store and callers recorded.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/platform"
	"github.com/portgauge/portgauge/internal/lab/sample"
)

// Trace is one file: what runs, what happens, and what must hold. docs/TRACES.md describes
// the fields.
type Trace struct {
	Path     string
	Header   Header
	Events   []Event
	Outcomes []Outcome
}

// Header says what runs.
type Header struct {
	Name        string         `json:"name"`
	Description string         `json:"description"`
	Seed        uint64         `json:"seed"`
	Dataset     sample.Dataset `json:"dataset"`
	Records     int            `json:"records"`
	DurationMS  int64          `json:"duration_ms"`
	Nodes       []NodeSpec     `json:"nodes"`
	Leafs       []LeafSpec     `json:"leafs"`
	Services    []ServiceSpec  `json:"services"`
	// StoreCallsPerSecond is the store's rate limit; 0 means 200.
	StoreCallsPerSecond float64 `json:"store_calls_per_second,omitempty"`
}

// NodeSpec is one node.
type NodeSpec struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Set overrides settings of the node.
	Set map[string]string `json:"set,omitempty"`
}

// LeafSpec is one leaf.
type LeafSpec struct {
	ID        string   `json:"id"`
	Zone      string   `json:"zone"`
	Slots     int      `json:"slots"`
	MedianMS  float64  `json:"median_ms"`
	Snapshots []string `json:"snapshots"`
}

// ServiceSpec is one service with its first snapshot.
type ServiceSpec struct {
	Name        string   `json:"name"`
	Leafs       []string `json:"leafs"`
	Snapshot    string   `json:"snapshot"`
	Shards      int      `json:"shards"`
	Replicas    int      `json:"replicas"`
	Concurrency uint32   `json:"concurrency,omitempty"`
	Queue       uint32   `json:"queue,omitempty"`
}

// Event is something that happens at a time; exactly one of its kinds is set.
type Event struct {
	AtMS int64 `json:"at_ms"`

	Load           *Load           `json:"load,omitempty"`
	Publish        *Publish        `json:"publish,omitempty"`
	Apply          *Apply          `json:"apply,omitempty"`
	LeafFaults     *LeafFaults     `json:"leaf_faults,omitempty"`
	PlatformFaults *PlatformFaults `json:"platform_faults,omitempty"`
	Machine        *MachineChange  `json:"machine,omitempty"`
	Kill           *Target         `json:"kill,omitempty"`
	Freeze         *Target         `json:"freeze,omitempty"`
	Wake           *Target         `json:"wake,omitempty"`
	Stop           *Target         `json:"stop,omitempty"`
	Start          *Target         `json:"start,omitempty"`
	Cut            *Cut            `json:"cut,omitempty"`
	Heal           *Cut            `json:"heal,omitempty"`
}

// Load is a stream of searches from an open-loop caller.
type Load struct {
	Service    string   `json:"service"`
	Nodes      []string `json:"nodes"`
	UntilMS    int64    `json:"until_ms"`
	PerSecond  float64  `json:"per_second"`
	DeadlineMS uint32   `json:"deadline_ms"`
	// Limit is the page size asked for; 0 means the service's.
	Limit      uint32 `json:"limit,omitempty"`
	AtMostOnce bool   `json:"at_most_once,omitempty"`
	Full       bool   `json:"full,omitempty"`
	// Follow makes the caller go to another node after a refusal as not run, as well-behaved
	// callers do.
	Follow bool `json:"follow,omitempty"`
	// Repeat makes the caller send the same request id to another node after any failure.
	Repeat bool `json:"repeat,omitempty"`
	// Unnamed leaves the request id to the node.
	Unnamed bool `json:"unnamed,omitempty"`
	// Stream asks for a streamed answer.
	Stream bool `json:"stream,omitempty"`
}

// Publish makes a snapshot current, once or again and again in turn.
type Publish struct {
	Service   string   `json:"service"`
	Node      string   `json:"node"`
	Snapshots []string `json:"snapshots"`
	Shards    []int    `json:"shards"`
	Replicas  int      `json:"replicas"`
	// EveryMS and UntilMS repeat it; 0 publishes the first snapshot once.
	EveryMS int64 `json:"every_ms,omitempty"`
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Apply is an operator that changes a service again and again through one node.
type Apply struct {
	Service string `json:"service"`
	Node    string `json:"node"`
	EveryMS int64  `json:"every_ms"`
	UntilMS int64  `json:"until_ms"`
	// Leaving names leafs that the operator marks as leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// LeafFaults changes how leafs misbehave.
type LeafFaults struct {
	Leafs  []string    `json:"leafs"`
	Faults leaf.Faults `json:"faults"`
}

// PlatformFaults changes how the platform misbehaves.
type PlatformFaults struct {
	Faults platform.Faults `json:"faults"`
}

// MachineChange changes a machine's state on the machine list.
type MachineChange struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Target names a process: a node or a leaf.
type Target struct {
	Process string `json:"process"`
}

// Cut is a cut between two groups of nodes, or between nodes and the platform or a leaf.
type Cut struct {
	// Between holds two names, each a zone, a node, a leaf or "platform".
	Between []string `json:"between"`
}

// Outcome is something that must hold.
type Outcome struct {
	Check CheckName `json:"check"`
	// Service narrows the check to one service.
	Service string `json:"service,omitempty"`
	// Leaf, Nodes, AfterMS, WithinMS, AtLeast and AtMost are parameters of some checks.
	Leaf     string   `json:"leaf,omitempty"`
	Nodes    []string `json:"nodes,omitempty"`
	AfterMS  int64    `json:"after_ms,omitempty"`
	WithinMS int64    `json:"within_ms,omitempty"`
	AtLeast  float64  `json:"at_least,omitempty"`
	AtMost   float64  `json:"at_most,omitempty"`
}

// line is any line of a trace; exactly one kind is set.
type line struct {
	Header  *Header  `json:"header,omitempty"`
	Event   *Event   `json:"event,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// maximumLine bounds one line of a trace in bytes.
const maximumLine = 1 << 20

// Read reads and checks a trace; a failure names the file, line and field.
func Read(path string) (*Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Invalid(path, "%v", err)
	}
	return Parse(path, content)
}

// Parse checks the content of a trace.
func Parse(path string, content []byte) (*Trace, error) {
	trace := &Trace{Path: path}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	scanner.Buffer(nil, maximumLine)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		where := fmt.Sprintf("%s line %d", path, number)
		if err := trace.add(where, text); err != nil {
			return nil, err
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, failure.Invalid(path, "%v", err)
	}
	if trace.Header.Name == "" {
		return nil, failure.Invalid(path, "has no header")
	}
	if len(trace.Outcomes) == 0 {
		return nil, failure.Invalid(path, "states no outcome")
	}
	return trace, nil
}

func (t *Trace) add(where string, text []byte) error {
	var parsed line
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return failure.Invalid(where, "%v", err)
	}
	switch {
	case parsed.Header != nil:
		if t.Header.Name != "" {
			return failure.Invalid(where, "a second header")
		}
		t.Header = *parsed.Header
		return t.checkHeader(where)
	case t.Header.Name == "":
		return failure.Invalid(where, "the header must come first")
	case parsed.Event != nil:
		t.Events = append(t.Events, *parsed.Event)
		return t.checkEvent(where, parsed.Event)
	case parsed.Outcome != nil:
		t.Outcomes = append(t.Outcomes, *parsed.Outcome)
		return t.checkOutcome(where, parsed.Outcome)
	}
	return failure.Invalid(where, "must hold a header, an event or an outcome")
}
