// Package httpnames names the headers and paths that portgauge speaks over HTTP.
//
// The product has names of its own; a platform that its users run may have others. The names
// are the whole difference: what is meant by them is the same everywhere.
package httpnames

// Names is one set of names. Header names are in canonical form.
type Names struct {
	// RequestID identifies one try of a caller; leafs echo it.
	RequestID string
	// DeadlineMillis is how many milliseconds the sender will wait.
	DeadlineMillis string
	// ResponseStamp is a leaf's signature of its answer, passed on unchanged.
	ResponseStamp string
	// ExpectedIncarnation names the leaf that a request is for; any other refuses it.
	ExpectedIncarnation string
	// NotExecuted marks a leaf's answer to a request that it did not run.
	NotExecuted string
	// ServerLoad holds a leaf's running and waiting requests and its slots, and perhaps how long its work
	// takes now in hundredths of the usual, joined by commas.
	ServerLoad string
	// PartStamps lists the signatures of a gathered answer's parts.
	PartStamps string
	// MissingParts is how many parts a gathered answer lacks.
	MissingParts string
	// ReadinessPath answers 200 while a node wants new connections.
	ReadinessPath string
}

// Default gives the product's own names.
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
