// Package httpnames defines the names of the HTTP headers and paths that portgauge uses.
//
// Default returns the product's own names; a platform may use other names for the same headers and paths. The package has
// no state and no dependencies.
package httpnames

// Names is a set of header names, in canonical form, and paths.
type Names struct {
	// RequestID is the header with the ID of one transmission of a caller's request; leafs echo it.
	RequestID string
	// DeadlineMillis is the header with the time in milliseconds that the sender waits for the answer.
	DeadlineMillis string
	// ResponseStamp is the header with a leaf's signature of its answer; it is forwarded unchanged.
	ResponseStamp string
	// ExpectedIncarnation is the header with the leaf that a request is sent to; any other leaf refuses the request.
	ExpectedIncarnation string
	// NotExecuted is the header that marks the answer of a leaf that did not run the request.
	NotExecuted string
	// ServerLoad is the header with a leaf's load, separated by commas: running requests, waiting requests, slots and,
	// optionally, the current run time as a percentage of the usual run time.
	ServerLoad string
	// PartStamps is the header with the signatures of a gathered answer's parts, separated by commas.
	PartStamps string
	// MissingParts is the header with the number of parts that are missing in a gathered answer.
	MissingParts string
	// ReadinessPath is the path that answers 200 while callers should connect to the node.
	ReadinessPath string
}

// Default returns portgauge's own names.
func Default() Names {
	return Names{
		RequestID:           "Portgauge-Request-Id",
		DeadlineMillis:      "Portgauge-Deadline-Millis",
		ResponseStamp:       "Portgauge-Response-Stamp",
		ExpectedIncarnation: "Portgauge-Expected-Incarnation",
		NotExecuted:         "Portgauge-Not-Executed",
		ServerLoad:          "Portgauge-Server-Load",
		PartStamps:          "Portgauge-Part-Stamps",
		MissingParts:        "Portgauge-Missing-Parts",
		ReadinessPath:       "/readyz",
	}
}
