package warmup

import "github.com/portgauge/portgauge/internal/failure"

// Config describes how many requests above its rate a cold leaf can take. Both values are properties of the leafs.
type Config struct {
	// Excess is the number of requests that a cold leaf can take within any second, as a multiple of its service's cold
	// rate.
	Excess float64 `yaml:"excess"`
	// Slack is the number of additional requests that a cold leaf can take within any second.
	Slack float64 `yaml:"slack"`
}

// DefaultConfig returns settings for leafs with unknown properties: they get at most their rate plus one request.
func DefaultConfig() Config { return Config{Excess: 1, Slack: 1} }

// Validate returns an error that names every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Excess < 1, "excess", "must be at least 1")
	checks.Refuse(c.Slack < 0, "slack", "must not be negative")
	return checks.Err()
}

// capacity returns the maximum number of requests that a cold leaf with the given rate can take within any second.
func (c Config) capacity(perSecond float64) float64 { return c.Excess*perSecond + c.Slack }

// division describes how the capacity of a cold leaf is divided among nodes.
type division struct {
	// senders is the number of nodes that send requests to the leaf.
	senders int
	// perSecond is the rate of each sender, which may additionally send one request at any time.
	perSecond float64
}

const (
	// senderReserve is how many times the intended number of senders may be active for a short time. Nodes with
	// different views of the fleet, such as after a node joined or left, select different senders.
	senderReserve = 2
	// gatherersPerLeaf is the number of gathering nodes that send requests to a cold leaf. It is above 1 since one of
	// them may have crashed. A higher number would lower the rate, since each may send one request at any time.
	gatherersPerLeaf = 2
	// capacityPerSender is the capacity in requests per second for which one sender is added, if the service is not
	// gathered. Its requests arrive at any node, a few per second at each, so more of them are served by many senders
	// with low rates.
	capacityPerSender = 4
)

// divide computes how many nodes may send requests to a cold leaf, and at what rate, from the cold rate of its service
// in requests per second. Within any second, each sender sends at most its rate plus one request. The sum stays within
// the leaf's capacity even while there are senderReserve times as many senders. The bound requires no messages between
// nodes.
func (c Config) divide(perSecond float64, gathered bool) division {
	capacity := c.capacity(perSecond)
	senders := int(capacity / capacityPerSender)
	if gathered {
		senders = min(gatherersPerLeaf, int(capacity/senderReserve))
	}
	senders = max(1, senders)
	rate := min(perSecond, capacity/senderReserve-float64(senders))
	return division{senders: senders, perSecond: max(0, rate) / float64(senders)}
}
