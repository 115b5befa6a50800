package warmup

import "github.com/portgauge/portgauge/internal/failure"

// Config is how far above its rate a cold leaf may be asked. Both values are properties of the leafs.
type Config struct {
	// Excess is the multiple of its service's cold rate that a cold leaf can take within any second.
	Excess float64 `yaml:"excess"`
	// Slack is the number of requests that it can take within that second in addition.
	Slack float64 `yaml:"slack"`
}

// DefaultConfig is for leafs with unknown properties: they are sent their rate and one request more.
func DefaultConfig() Config { return Config{Excess: 1, Slack: 1} }

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Excess < 1, "excess", "must be at least 1")
	checks.Refuse(c.Slack < 0, "slack", "must not be negative")
	return checks.Err()
}

// capacity returns the maximum number of requests that a cold leaf can take within any second, if its rate is
// perSecond.
func (c Config) capacity(perSecond float64) float64 { return c.Excess*perSecond + c.Slack }

// division is how the capacity of a cold leaf is divided among nodes.
type division struct {
	// senders is how many nodes ask the leaf at all.
	senders int
	// perSecond is the rate of each of them. In addition, each may send one request at any moment.
	perSecond float64
}

const (
	// viewReserve is how many times the senders there is room for: nodes with different views of the fleet, as
	// after the start or the end of a node, choose different senders for a moment.
	viewReserve = 2
	// gatherersPerLeaf is how many of the nodes that gather ask a cold leaf: one of its zone may have died.
	// More of them would have a lower rate, since each may send one request at any moment.
	gatherersPerLeaf = 2
	// capacityPerSender is the capacity of the leaf, in requests a second, per node that may ask it, for services that are
	// not gathered. Their requests come to any node, a few a second, so that many senders at a low rate serve more.
	capacityPerSender = 4
)

// divide decides how many nodes may ask a cold leaf, and at what rate each.
//
// Inputs: the cold rate of the leaf's service in requests a second, and whether the service is gathered.
//
// Rule: within any second each sender sends at most its rate and one request more, and the sum stays below the capacity
// of the leaf even while there are viewReserve times the senders. The bound needs no messages between nodes.
func (c Config) divide(perSecond float64, gathered bool) division {
	capacity := c.capacity(perSecond)
	senders := int(capacity / capacityPerSender)
	if gathered {
		senders = min(gatherersPerLeaf, int(capacity/viewReserve))
	}
	senders = max(1, senders)
	rate := min(perSecond, capacity/viewReserve-float64(senders))
	return division{senders: senders, perSecond: max(0, rate) / float64(senders)}
}
