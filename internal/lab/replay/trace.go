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

// Header describes the processes, services and data of a trace.
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

type NodeSpec struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	// Set overrides settings, by name.
	Set map[string]string `json:"set,omitempty"`
}

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

// Event is an action at a given time. Exactly one of the kinds is set.
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
	// Limit is the page size; 0 means the default of the service.
	Limit      uint32 `json:"limit,omitempty"`
	AtMostOnce bool   `json:"at_most_once,omitempty"`
	Full       bool   `json:"full,omitempty"`
	// Follow retries a search at another node, as a new request, if it was refused as not run.
	Follow bool `json:"follow,omitempty"`
	// Repeat retries a search at another node after any failure, with the same request ID.
	Repeat bool `json:"repeat,omitempty"`
	// Unnamed sends no request ID, so the node generates one.
	Unnamed bool `json:"unnamed,omitempty"`
	// Stream requests a streamed answer.
	Stream bool `json:"stream,omitempty"`
}

// Publish is an operator that publishes snapshots through one node.
type Publish struct {
	Service   string   `json:"service"`
	Node      string   `json:"node"`
	Snapshots []string `json:"snapshots"`
	Shards    []int    `json:"shards"`
	Replicas  int      `json:"replicas"`
	// EveryMS is the interval at which the snapshots are published in turn, until UntilMS. If it is 0, only the first snapshot
	// is published, once.
	EveryMS int64 `json:"every_ms,omitempty"`
	UntilMS int64 `json:"until_ms,omitempty"`
}

// Apply is an operator that changes a service repeatedly through one node.
type Apply struct {
	Service string `json:"service"`
	Node    string `json:"node"`
	EveryMS int64  `json:"every_ms"`
	UntilMS int64  `json:"until_ms"`
	// Leaving lists the leafs that the operator marks as leaving.
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

// MachineChange changes the state of a machine in the machine list.
type MachineChange struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

// Target identifies a process, which is a node or a leaf.
type Target struct {
	Process string `json:"process"`
}

// Cut is a network partition between two groups of nodes, or between nodes and the platform or a leaf.
type Cut struct {
	// Between contains two names, each the name of a zone, a node, a leaf or "platform".
	Between []string `json:"between"`
}

// Outcome is a check that must pass.
type Outcome struct {
	Check CheckName `json:"check"`
	// Service restricts the check to one service.
	Service string `json:"service,omitempty"`
	// Leaf, Nodes, AfterMS, WithinMS, AtLeast and AtMost are parameters of some checks.
	Leaf     string   `json:"leaf,omitempty"`
	Nodes    []string `json:"nodes,omitempty"`
	AfterMS  int64    `json:"after_ms,omitempty"`
	WithinMS int64    `json:"within_ms,omitempty"`
	AtLeast  float64  `json:"at_least,omitempty"`
	AtMost   float64  `json:"at_most,omitempty"`
}

// line is a line of a trace. Exactly one of the fields is set.
type line struct {
	Header  *Header  `json:"header,omitempty"`
	Event   *Event   `json:"event,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

const maxLineBytes = 1 << 20

// Read parses the trace in a file. Failures name the file, line and field.
func Read(path string) (*Trace, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Invalid(path, "%v", err)
	}
	return Parse(path, content)
}

// Parse parses a trace. Failures name the path as the file.
func Parse(path string, content []byte) (*Trace, error) {
	trace := &Trace{Path: path}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	scanner.Buffer(nil, maxLineBytes)
	for number := 1; scanner.Scan(); number++ {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		where := fmt.Sprintf("%s line %d", path, number)
		if err := trace.addLine(where, text); err != nil {
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
		return nil, failure.Invalid(path, "has no outcome")
	}
	return trace, nil
}

func (t *Trace) addLine(where string, text []byte) error {
	var decoded line
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		return failure.Invalid(where, "%v", err)
	}
	switch {
	case decoded.Header != nil:
		if t.Header.Name != "" {
			return failure.Invalid(where, "has a second header")
		}
		t.Header = *decoded.Header
		return t.checkHeader(where)
	case t.Header.Name == "":
		return failure.Invalid(where, "the header must come first")
	case decoded.Event != nil:
		t.Events = append(t.Events, *decoded.Event)
		return t.checkEvent(where, decoded.Event)
	case decoded.Outcome != nil:
		t.Outcomes = append(t.Outcomes, *decoded.Outcome)
		return t.checkOutcome(where, decoded.Outcome)
	}
	return failure.Invalid(where, "must hold a header, an event or an outcome")
}
