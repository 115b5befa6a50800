package leaf

// Faults are the faults of a leaf. Shares are between 0 and 1, and drawn for each attempt.
type Faults struct {
	// SlowFactor multiplies every service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// StragglerShare of attempts take StragglerLow to StragglerHigh times as long.
	StragglerShare float64 `json:"straggler_share,omitempty"`
	StragglerLow   float64 `json:"straggler_low,omitempty"`
	StragglerHigh  float64 `json:"straggler_high,omitempty"`
	// LoseReplyShare of attempts run, and are answered by an error without detail.
	LoseReplyShare float64 `json:"lose_reply_share,omitempty"`
	// CrossShare of attempts are answered with the reply to another attempt.
	CrossShare float64 `json:"cross_share,omitempty"`
	// ForeignRowShare of replies have a row from outside of the requested range.
	ForeignRowShare float64 `json:"foreign_row_share,omitempty"`
	// TruncateShare of replies cover only the first half of their rows, and report that.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// DuplicateRowShare of replies have a row twice.
	DuplicateRowShare float64 `json:"duplicate_row_share,omitempty"`
	// ShedShare of attempts are refused as shed.
	ShedShare float64 `json:"shed_share,omitempty"`
	// IgnoreCancel finishes attempts that the node has cancelled.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// ClaimIdle reports no load.
	ClaimIdle bool `json:"claim_idle,omitempty"`
	// Draining refuses attempts as draining.
	Draining bool `json:"draining,omitempty"`
	// ClaimDraining reports draining in replies and serves on.
	ClaimDraining bool `json:"claim_draining,omitempty"`
	// Snapshots replaces the snapshots that the leaf has, unless it is empty.
	Snapshots []string `json:"snapshots,omitempty"`
}
