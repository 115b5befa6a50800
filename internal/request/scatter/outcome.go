package scatter

import (
	"time"

	"github.com/portgauge/portgauge/internal/leaf/balancer"
)

// Reason says why a shard has no reply.
type Reason string

// The reasons of any scatter; the balancer and the caller add their own.
const (
	Deadline   Reason = "DEADLINE"
	LeafFailed Reason = "LEAF_FAILED"
	Shed       Reason = "SHED"
	// Unneeded means that Run returned without the shard because enough others had replied.
	Unneeded Reason = "UNNEEDED"
)

// Outcome is the end of one shard: a reply, or the reason why there is none.
type Outcome[Reply any] struct {
	Reply *Reply
	// Leaf sent the reply.
	Leaf     *balancer.Leaf
	Reason   Reason
	Attempts int
}

// Summary is what is known about all attempts together.
type Summary struct {
	Ran      bool
	MaybeRan bool
	Shed     bool
	// Queued counts replies of leafs that had more attempts than slots.
	Queued    int
	Replies   int
	Groups    int
	Attempts  int
	Hedges    int
	Retries   int
	Cancelled int
	// SufficientAt is when the plan's sufficient number of replies was reached; zero if never.
	SufficientAt time.Time
	// EndedAtSoftDeadline says that the scatter ended at or after its soft deadline, with shards open.
	EndedAtSoftDeadline bool
	// StoppedByCrashes says that the scatter was given up because the request may crash leafs.
	StoppedByCrashes bool
}

// Execution returns what is known about the whole request.
func (s Summary) Execution() Execution {
	switch {
	case s.Ran:
		return Ran
	case s.MaybeRan:
		return Unknown
	}
	return NotRun
}

// count counts an attempt of a kind.
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
