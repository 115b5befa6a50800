// Package connshare deals the connections that a leaf accepts among the nodes of a fleet.
//
// A leaf accepts so many connections from all nodes together and resets any beyond. Each node
// takes an equal part. Where that is less than one connection a leaf, each node keeps to some of
// a service's leafs, dealt so that every leaf has as many nodes as the others. Parts are made for
// the worst moment: most of the time others leave theirs unused, so that a node may try spare
// connections, and stops for a while when a leaf refuses one (see package leafhttp).
//
// A leaf does not notice when machines lose power: the connections of their processes count
// until the leaf closes them for their long rest. A node that started a short while ago
// therefore leaves room for those of its predecessor.
package connshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leafset"
)

// Config tunes the parts.
type Config struct {
	// Share is the part of a leaf's limit that all nodes together use.
	Share float64 `yaml:"share"`
	// ShareAfterStart is the same for nodes that started a short while ago.
	ShareAfterStart float64 `yaml:"share_after_start"`
	// StartSpan is how long after its start a node takes the smaller part.
	StartSpan time.Duration `yaml:"start_span"`
	// Unlimited is a node's limit at one leaf where operators set none.
	Unlimited int `yaml:"unlimited"`
	// Spare is how many connections to a leaf a node may try beyond its part.
	Spare int `yaml:"spare"`
}

// DefaultConfig leaves half for the connections of dead processes.
func DefaultConfig() Config {
	return Config{Share: 0.9, ShareAfterStart: 0.45, StartSpan: 10 * time.Second, Unlimited: 16, Spare: 1}
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Share <= 0 || c.Share > 1, "share", "must be above 0 and at most 1")
	checks.Refuse(c.ShareAfterStart <= 0 || c.ShareAfterStart > c.Share, "share_after_start", "must be above 0 and at most share")
	checks.Refuse(c.StartSpan < 0, "start_span", "must not be negative")
	checks.Refuse(c.Unlimited < 1, "unlimited", "must be at least 1")
	checks.Refuse(c.Spare < 0, "spare", "must not be negative")
	return checks.Err()
}

// Fleet gives the ids of the nodes that share the leafs, sorted; empty while none is known.
type Fleet interface {
	IDs() []string
}

// Dealer gives one node its part; safe for concurrent use.
type Dealer struct {
	config  Config
	fleet   Fleet
	self    string
	now     func() time.Time
	started time.Time
}

// New makes the dealer of the node of an id, which starts now.
func New(config Config, fleet Fleet, self string) *Dealer {
	return &Dealer{config: config, fleet: fleet, self: self, now: time.Now, started: time.Now()}
}

// Dealt is a leaf with this node's part of its connections.
type Dealt struct {
	Leaf *leafset.Leaf
	// Connections is the node's own part, 0 for leafs that others were dealt.
	Connections int
	// Spare is how many more may be tried while the leaf takes them: parts that others leave
	// unused, and what no part covers.
	Spare int
	// LastResort says that the leaf is only for requests that its own leafs refuse.
	LastResort bool
}

// Deal gives the leafs of a service with this node's parts. The limit is the leaf's own, 0
// meaning none.
func (d *Dealer) Deal(service string, leafs []*leafset.Leaf, limit int) []Dealt {
	dealt := make([]Dealt, len(leafs))
	for index, leaf := range leafs {
		dealt[index] = Dealt{Leaf: leaf, Connections: d.config.Unlimited}
	}
	if limit <= 0 || len(leafs) == 0 {
		return dealt
	}
	ids := d.fleet.IDs()
	each := d.each(len(ids), limit)
	if each >= 1 {
		for index := range dealt {
			dealt[index].Connections = min(int(each), d.config.Unlimited)
			dealt[index].Spare = d.spare()
		}
		return dealt
	}
	count := max(1, int(each*float64(len(leafs))))
	first := d.first(service, ids, count, len(leafs))
	for index := range dealt {
		dealt[index].Connections, dealt[index].Spare = 0, d.config.Spare
		dealt[index].LastResort = d.isNew()
	}
	for offset := range min(count, len(leafs)) {
		own := &dealt[(first+offset)%len(leafs)]
		own.Connections, own.Spare, own.LastResort = 1, d.spare(), false
	}
	return dealt
}

// spare gives how many connections to an own leaf may be tried beyond the part: none for a new
// node, since what looks unused may be counted for a dead process.
func (d *Dealer) spare() int {
	if d.isNew() {
		return 0
	}
	return d.config.Spare
}

// isNew reports whether the node started a short while ago.
func (d *Dealer) isNew() bool { return d.now().Sub(d.started) < d.config.StartSpan }

// each gives a node's part of a leaf's limit, which may be less than one connection.
func (d *Dealer) each(nodes, limit int) float64 {
	nodes = max(1, nodes)
	if d.isNew() {
		return d.config.ShareAfterStart * float64(limit) / float64(nodes)
	}
	each := d.config.Share * float64(limit) / float64(nodes)
	if nodes < limit {
		// A single connection for each node fits, if hardly.
		return max(1, each)
	}
	return each
}

// first gives the index of the first of a node's leafs. Nodes are dealt in order of their ids, so
// that the leafs have equally many; services start at different leafs, so that no node has all
// first ones.
func (d *Dealer) first(service string, ids []string, count, leafs int) int {
	index, found := slices.BinarySearch(ids, d.self)
	if !found {
		index = int(xxhash.Sum64String(d.self) % uint64(len(ids)+1))
	}
	return int((uint64(index)*uint64(count) + xxhash.Sum64String(service)) % uint64(leafs))
}
