package leaf

// Faults are the ways a leaf misbehaves, changed while it runs. Shares are between 0 and 1
// and drawn independently for each attempt.
type Faults struct {
	// SlowFactor multiplies every service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// StragglerShare of attempts take StragglerLow to StragglerHigh times as long.
	StragglerShare float64 `json:"straggler_share,omitempty"`
	StragglerLow   float64 `json:"straggler_low,omitempty"`
	StragglerHigh  float64 `json:"straggler_high,omitempty"`
	// LoseReplyShare of attempts run, but an error without detail comes back.
	LoseReplyShare float64 `json:"lose_reply_share,omitempty"`
	// CrossShare of attempts are answered with the reply to another attempt.
	CrossShare float64 `json:"cross_share,omitempty"`
	// ForeignRowShare of replies hold a row of outside the asked range.
	ForeignRowShare float64 `json:"foreign_row_share,omitempty"`
	// TruncateShare of replies cover only the first half of their rows, and say so.
	TruncateShare float64 `json:"truncate_share,omitempty"`
	// DuplicateRowShare of replies hold a row twice.
	DuplicateRowShare float64 `json:"duplicate_row_share,omitempty"`
	// ShedShare of attempts are refused for lack of capacity.
	ShedShare float64 `json:"shed_share,omitempty"`
	// IgnoreCancel runs attempts to their end although the node cancelled them.
	IgnoreCancel bool `json:"ignore_cancel,omitempty"`
	// ClaimIdle reports no load whatever the load.
	ClaimIdle bool `json:"claim_idle,omitempty"`
	// Draining refuses new attempts and says so.
	Draining bool `json:"draining,omitempty"`
	// ClaimDraining says so in replies but serves on.
	ClaimDraining bool `json:"claim_draining,omitempty"`
	// Snapshots replaces the versions held, when not empty; others are gone.
	Snapshots []string `json:"snapshots,omitempty"`
}
