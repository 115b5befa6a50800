package warmup

import "github.com/portgauge/portgauge/internal/failure"

// Config says how far above its rate a cold leaf may be asked. Both figures are properties of the leafs.
type Config struct {
	// Excess is how many times the rate of its service a cold leaf bears within any second.
	Excess float64 `yaml:"excess"`
	// Slack is how many requests it bears in that second beyond them.
	Slack float64 `yaml:"slack"`
}

// DefaultConfig is for leafs of which nothing is known: they are sent their rate and one request more.
func DefaultConfig() Config { return Config{Excess: 1, Slack: 1} }

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Excess < 1, "excess", "must be at least 1")
	checks.Refuse(c.Slack < 0, "slack", "must not be negative")
	return checks.Err()
}

// most gives the requests that a cold leaf bears within any second, where its rate is per second.
func (c Config) most(perSecond float64) float64 { return c.Excess*perSecond + c.Slack }

// shares is how the requests that a cold leaf bears are divided among nodes.
type shares struct {
	// senders is how many nodes ask the leaf at all.
	senders int
	// perSecond is the rate of each of them. Besides, each may send one request at any moment.
	perSecond float64
}

const (
	// reserve is for how many times the senders there is room: nodes that know of another fleet for a
	// moment, as after the start or the end of a node, take others for the senders.
	reserve = 2
	// gatherersPerLeaf is how many of the nodes that gather ask a cold leaf: one of its zone may have died.
	// More of them would have a lower rate, since each may send one request at any moment.
	gatherersPerLeaf = 2
	// sendersPart is the part of what a leaf bears, as a divisor, that is left to single requests of as many
	// nodes. They come to any node, a few a second, so that many senders at a low rate serve more.
	sendersPart = 4
)

// divide gives the shares of a leaf of a rate. In any second each sender sends at most its rate and one
// request more; the sum stays below what the leaf bears also while there are reserve times the senders.
func (c Config) divide(perSecond float64, gathered bool) shares {
	most := c.most(perSecond)
	senders := int(most / sendersPart)
	if gathered {
		senders = min(gatherersPerLeaf, int(most/reserve))
	}
	senders = max(1, senders)
	rate := min(perSecond, most/reserve-float64(senders))
	return shares{senders: senders, perSecond: max(0, rate) / float64(senders)}
}
