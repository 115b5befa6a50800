// Package connshare deals the connections that a leaf accepts among the nodes of a fleet.
//
// A leaf accepts so many connections from all nodes together and resets any beyond. Each node
// takes an equal part. Where that is less than one connection a leaf, each node keeps to some of
// a service's leafs, those of its own zone first. Parts are made for
// the worst moment: most of the time others leave theirs unused, so that a node may try spare
// connections, and stops for a while when a leaf refuses one (see package leafhttp).
//
// A leaf does not notice when machines lose power: the connections of their processes count
// until the leaf closes them for their long rest. A node that started a short while ago
// therefore leaves room for those of its predecessor.
package connshare

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafset"
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

// Fleet gives the nodes that share the leafs, sorted by id; empty while none is known. A slice is
// never changed once it was given.
type Fleet interface {
	Nodes() []catalog.NodeRecord
	// Gatherers are those of the nodes that ask the leafs of gathered services.
	Gatherers() []catalog.NodeRecord
}

// Allocator gives one node its part; safe for concurrent use.
type Allocator struct {
	config  Config
	fleet   Fleet
	self    catalog.NodeRecord
	now     func() time.Time
	started time.Time

	mu    sync.Mutex
	dealt map[dealtService]deal
}

// dealtService is a service, and whether it is asked for gathered requests. The leafs of two versions of a service
// are dealt apart; the version is that of the first leaf.
type dealtService struct {
	name     string
	gathered bool
	version  string
}

// deal is what a service's leafs were dealt by, and how.
type deal struct {
	nodes []catalog.NodeRecord
	leafs []*leafset.Leaf
	limit int
	isNew bool
	dealt []Allotment
}

// New makes the dealer of a node that starts now.
func New(config Config, fleet Fleet, self catalog.NodeRecord) *Allocator {
	return &Allocator{config: config, fleet: fleet, self: self, now: time.Now, started: time.Now(), dealt: map[dealtService]deal{}}
}

// Allotment is a leaf with this node's part of its connections.
type Allotment struct {
	Leaf *leafset.Leaf
	// Connections is the node's own part, 0 for leafs that others were dealt.
	Connections int
	// ExtraConnections is how many more may be tried while the leaf takes them: parts that others leave
	// unused, and what no part covers.
	ExtraConnections int
	// LastResort says that the leaf is only for requests that its own leafs refuse.
	LastResort bool
}

// Allot gives the leafs of a service with this node's parts. The limit is the leaf's own, 0
// meaning none. Leafs of gathered services are shared by the nodes that gather; another node has no
// part of them, only spare connections. The slice is shared: callers must not change it.
func (d *Allocator) Allot(name string, gathered bool, leafs []*leafset.Leaf, limit int) []Allotment {
	if len(leafs) == 0 {
		return nil
	}
	service := dealtService{name, gathered, leafs[0].Version}
	wanted := deal{nodes: d.fleet.Nodes(), leafs: leafs, limit: limit, isNew: d.isNew()}
	if gathered {
		wanted.nodes = d.fleet.Gatherers()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, found := d.dealt[service]; found && known.equals(wanted) {
		return known.dealt
	}
	if len(d.dealt) >= mostKept {
		clear(d.dealt)
	}
	wanted.dealt = d.deal(name, wanted)
	d.dealt[service] = wanted
	return wanted.dealt
}

// mostKept bounds the services whose parts are kept.
const mostKept = 4096

// equals reports whether two deals are by the same nodes and leafs, told by their shared slices.
func (d deal) equals(other deal) bool {
	return leafset.SameSlice(d.nodes, other.nodes) && leafset.SameSlice(d.leafs, other.leafs) && d.limit == other.limit && d.isNew == other.isNew
}

func (d *Allocator) deal(service string, by deal) []Allotment {
	dealt := make([]Allotment, len(by.leafs))
	for index, leaf := range by.leafs {
		dealt[index] = Allotment{Leaf: leaf, Connections: d.config.Unlimited}
	}
	if by.limit <= 0 {
		return dealt
	}
	each := d.each(len(by.nodes), by.limit, by.isNew)
	isLeftOut := d.isLeftOut(by.nodes)
	if each >= 1 && !isLeftOut {
		for index := range dealt {
			dealt[index].Connections = min(int(each), d.config.Unlimited)
			dealt[index].ExtraConnections = d.spare(by.isNew)
		}
		return dealt
	}
	for index := range dealt {
		dealt[index].Connections, dealt[index].ExtraConnections = 0, d.config.Spare
		dealt[index].LastResort = by.isNew
	}
	if isLeftOut {
		return dealt
	}
	for _, index := range d.own(service, by, each) {
		own := &dealt[index]
		own.Connections, own.ExtraConnections, own.LastResort = 1, d.spare(by.isNew), false
	}
	return dealt
}

// spare gives how many connections to an own leaf may be tried beyond the part: none for a new
// node, since what looks unused may be counted for a dead process.
func (d *Allocator) spare(isNew bool) int {
	if isNew {
		return 0
	}
	return d.config.Spare
}

// isNew reports whether the node started a short while ago.
func (d *Allocator) isNew() bool { return d.now().Sub(d.started) < d.config.StartSpan }

// isLeftOut reports whether the node is known, and not one of those that share some leafs.
func (d *Allocator) isLeftOut(nodes []catalog.NodeRecord) bool {
	isSelf := func(node catalog.NodeRecord) bool { return node.ID == d.self.ID }
	return !slices.ContainsFunc(nodes, isSelf) && slices.ContainsFunc(d.fleet.Nodes(), isSelf)
}

// share gives the part of a leaf's limit that all nodes together use.
func (d *Allocator) share(isNew bool) float64 {
	if isNew {
		return d.config.ShareAfterStart
	}
	return d.config.Share
}

// each gives a node's part of a leaf's limit, which may be less than one connection.
func (d *Allocator) each(nodes, limit int, isNew bool) float64 {
	nodes = max(1, nodes)
	each := d.share(isNew) * float64(limit) / float64(nodes)
	if nodes < limit && !isNew {
		// A single connection for each node fits, if hardly.
		return max(1, each)
	}
	return each
}

// own gives the indices of the leafs that the node has one connection to, where there is less than
// one for each node.
func (d *Allocator) own(service string, by deal, each float64) []int {
	count := min(max(1, int(each*float64(len(by.leafs)))), len(by.leafs))
	capacity := int(d.share(by.isNew) * float64(by.limit))
	turn := xxhash.Sum64String(service)
	zones, rank := d.zones(by.nodes)
	quotas := dealQuotas(zones, by.leafs, count, capacity, int(turn%uint64(len(by.leafs))))
	own := zones[d.self.Zone]
	// Nodes take turns, so that none has the same place at all services.
	return quotas[d.self.Zone].of((rank+int(turn%uint64(own)))%own, own)
}

// zones gives the number of nodes of each zone, and this node's place among those of its own. A
// node that others don't know of yet counts itself in.
func (d *Allocator) zones(nodes []catalog.NodeRecord) (zones map[string]int, rank int) {
	zones = map[string]int{}
	isKnown := false
	for _, node := range nodes {
		zones[node.Zone]++
		switch {
		case node.ID == d.self.ID:
			isKnown = true
		case node.Zone == d.self.Zone && node.ID < d.self.ID:
			rank++
		}
	}
	if !isKnown {
		zones[d.self.Zone]++
	}
	return zones, rank
}
