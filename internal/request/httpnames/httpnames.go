// Package httpnames names the headers and paths that portgauge speaks over HTTP.
//
// The product has names of its own; a platform that its users run may have others for the same headers and paths. The
// package has no state and relies on nothing.
package httpnames

// Names is one set of names. Header names are in canonical form.
type Names struct {
	// RequestID identifies one sending of a caller's request; leafs echo it.
	RequestID string
	// DeadlineMillis is how many milliseconds the sender waits for the answer.
	DeadlineMillis string
	// ResponseStamp is a leaf's signature of its answer; it is passed on unchanged.
	ResponseStamp string
	// ExpectedIncarnation names the leaf that a request is for; any other leaf refuses the request.
	ExpectedIncarnation string
	// NotExecuted marks the answer of a leaf that did not run the request.
	NotExecuted string
	// ServerLoad has a leaf's load, separated by commas: running requests, waiting requests, slots and, optionally, the
	// current run time as a percentage of the usual one.
	ServerLoad string
	// PartStamps lists the signatures of a gathered answer's parts, separated by commas.
	PartStamps string
	// MissingParts is how many parts a gathered answer lacks.
	MissingParts string
	// ReadinessPath answers 200 while callers should connect to a node.
	ReadinessPath string
}

// Default returns the product's own names.
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
