package leaf

// Faults are the faults that a leaf injects. Each share is a fraction from 0 to 1, the probability that an attempt or reply has the fault.
type Faults struct {
	// SlowFactor multiplies every service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// StragglerShare is the fraction of attempts that take StragglerLow to StragglerHigh times as long.
	StragglerShare float64 `json:"straggler_share,omitempty"`
	StragglerLow   float64 `json:"straggler_low,omitempty"`
	StragglerHigh  float64 `json:"straggler_high,omitempty"`
	// LoseReplyShare is the fraction of attempts that run but are answered with an error without details.
	LoseReplyShare float64 `json:"lose_reply_share,omitempty"`
	// CrossShare is the fraction of attempts that are answered with the reply to another attempt.
	CrossShare float64 `json:"cross_share,omitempty"`
	// ForeignRowShare is the fraction of replies that contain a row outside the requested range.
	ForeignRowShare float64 `json:"foreign_row_share,omitempty"`
	// TruncateShare is the fraction of replies that contain only the first half of their rows, and report the covered range.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// DuplicateRowShare is the fraction of replies that contain a row twice.
	DuplicateRowShare float64 `json:"duplicate_row_share,omitempty"`
	// ShedShare is the fraction of attempts that are refused as shed.
	ShedShare float64 `json:"shed_share,omitempty"`
	// IgnoreCancel runs attempts to the end although the node has cancelled them.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// ClaimIdle reports no attempts in flight.
	ClaimIdle bool `json:"claim_idle,omitempty"`
	// Draining refuses all attempts as draining.
	Draining bool `json:"draining,omitempty"`
	// ClaimDraining reports draining in replies, but serves attempts.
	ClaimDraining bool `json:"claim_draining,omitempty"`
	// Snapshots replaces the snapshots that the leaf has, unless it is empty.
	Snapshots []string `json:"snapshots,omitempty"`
}
