package scatter

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Reason says why a shard has no reply.
type Reason string

// The reasons that this package sets; the balancer and the caller define others.
const (
	Deadline   Reason = "DEADLINE"
	LeafFailed Reason = "LEAF_FAILED"
	Shed       Reason = "SHED"
	// Unneeded means that Run returned before the shard replied because more replies were of no use.
	Unneeded Reason = "UNNEEDED"
)

// Outcome is the outcome of one shard: a reply, or the reason why there is none.
type Outcome[Reply any] struct {
	Reply *Reply
	// Leaf is the leaf that sent the reply; nil if there is no reply or it came from a group.
	Leaf     *balancer.Leaf
	Reason   Reason
	Attempts int
}

// Summary summarizes all attempts of a request.
type Summary struct {
	Ran        bool
	MayHaveRun bool
	Shed       bool
	// Queued counts the results of leafs that reported more attempts than slots.
	Queued    int
	Replies   int
	Groups    int
	Attempts  int
	Hedges    int
	Retries   int
	Cancelled int
	// SufficientAt is when the plan's sufficient number of replies was reached; zero if it was not.
	SufficientAt time.Time
	// EndedAtSoftDeadline is true if the scatter ended with open shards because the soft deadline had passed and the
	// replies were sufficient.
	EndedAtSoftDeadline bool
	// StoppedByCrashes is true if the scatter stopped because the request may crash leafs.
	StoppedByCrashes bool
}

// Execution returns whether any leaf ran, or may have run, the request.
func (s Summary) Execution() Execution {
	switch {
	case s.Ran:
		return Ran
	case s.MayHaveRun:
		return Unknown
	}
	return NotRun
}

func (s *Summary) count(kind Kind) {
	s.Attempts++
	switch kind {
	case Hedge:
		s.Hedges++
	case Retry:
		s.Retries++
	case First:
	}
}
