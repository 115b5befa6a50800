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

// Trace is a parsed trace. docs/TRACES.md describes its fields.
type Trace struct {
	Path     string
	Header   Header
	Events   []Event
	Outcomes []Outcome
}

// Header describes the processes.
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
	// StoreCallsPerSecond is the rate limit of the store; 0 means 200.
	StoreCallsPerSecond float64 `json:"store_calls_per_second,omitempty"`
}

// NodeSpec describes a node.
type NodeSpec struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Set has settings by name.
	Set map[string]string `json:"set,omitempty"`
}

// LeafSpec describes a leaf.
type LeafSpec struct {
	ID        string   `json:"id"`
	Zone      string   `json:"zone"`
	Slots     int      `json:"slots"`
	MedianMS  float64  `json:"median_ms"`
	Snapshots []string `json:"snapshots"`
}

// ServiceSpec describes a service and its first snapshot.
type ServiceSpec struct {
	Name        string   `json:"name"`
	Leafs       []string `json:"leafs"`
	Snapshot    string   `json:"snapshot"`
	Shards      int      `json:"shards"`
	Replicas    int      `json:"replicas"`
	Concurrency uint32   `json:"concurrency,omitempty"`
	Queue       uint32   `json:"queue,omitempty"`
}

// Event is something that happens at a time. Exactly one of its kinds is set.
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

// Load is a stream of searches at a fixed rate.
type Load struct {
	Service    string   `json:"service"`
	Nodes      []string `json:"nodes"`
	UntilMS    int64    `json:"until_ms"`
	PerSecond  float64  `json:"per_second"`
	DeadlineMS uint32   `json:"deadline_ms"`
	// Limit is the page size; 0 means the service's.
	Limit      uint32 `json:"limit,omitempty"`
	AtMostOnce bool   `json:"at_most_once,omitempty"`
	Full       bool   `json:"full,omitempty"`
	// Follow sends a search that was refused as not run to another node, as a new request.
	Follow bool `json:"follow,omitempty"`
	// Repeat sends the same request id to another node after any failure.
	Repeat bool `json:"repeat,omitempty"`
	// Unnamed lets the node make the request id.
	Unnamed bool `json:"unnamed,omitempty"`
	// Stream requests a streamed answer.
	Stream bool `json:"stream,omitempty"`
}

// Publish publishes snapshots.
type Publish struct {
	Service   string   `json:"service"`
	Node      string   `json:"node"`
	Snapshots []string `json:"snapshots"`
	Shards    []int    `json:"shards"`
	Replicas  int      `json:"replicas"`
	// EveryMS and UntilMS publish them in turn, again and again; if EveryMS is 0 the first is published once.
	EveryMS int64 `json:"every_ms,omitempty"`
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Apply is an operator that changes a service again and again through one node.
type Apply struct {
	Service string `json:"service"`
	Node    string `json:"node"`
	EveryMS int64  `json:"every_ms"`
	UntilMS int64  `json:"until_ms"`
	// Leaving has the leafs that the operator marks as leaving.
	Leaving []string `json:"leaving,omitempty"`
}

// LeafFaults replaces the faults of leafs.
type LeafFaults struct {
	Leafs  []string    `json:"leafs"`
	Faults leaf.Faults `json:"faults"`
}

// PlatformFaults replaces the faults of the platform.
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
	// Between has two names, each a zone, a node, a leaf or "platform".
	Between []string `json:"between"`
}

// Outcome is a check that must pass.
type Outcome struct {
	Check CheckName `json:"check"`
	// Service limits the check to a service.
	Service string `json:"service,omitempty"`
	// Leaf, Nodes, AfterMS, WithinMS, AtLeast and AtMost are parameters of some checks.
	Leaf     string   `json:"leaf,omitempty"`
	Nodes    []string `json:"nodes,omitempty"`
	AfterMS  int64    `json:"after_ms,omitempty"`
	WithinMS int64    `json:"within_ms,omitempty"`
	AtLeast  float64  `json:"at_least,omitempty"`
	AtMost   float64  `json:"at_most,omitempty"`
}

// line is a line of a trace. Exactly one kind is set.
type line struct {
	Header  *Header  `json:"header,omitempty"`
	Event   *Event   `json:"event,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// maximumLine bounds a line of a trace in bytes.
const maximumLine = 1 << 20

// Read parses the trace in a file. A failure names the file, line and field.
func Read(path string) (*Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Invalid(path, "%v", err)
	}
	return Parse(path, content)
}

// Parse parses a trace. Path is the file that failures name.
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
