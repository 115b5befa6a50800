package routing

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults of a route that sets no value of its own.
const (
	defaultAttempts  = 2
	defaultTimeout   = 30 * time.Second
	defaultObjective = time.Second
)

// Table is one configuration ready for look-ups; immutable.
type Table struct {
	Version int64
	// Revision is the store's revision that wrote the configuration.
	Revision int64
	Limits   Limits
	Routes   []Route

	byHost   map[string][]*Entry // longest prefix first
	services map[string]Service
	gathered map[string]bool // services that some route gathers
}

// Entry is a route of a table with its derived values; immutable.
type Entry struct {
	Route
	Timeout   time.Duration
	Objective time.Duration
	Attempts  int
	// RequiredParts is how many gathered services an answer needs at least.
	RequiredParts int
	// WeightKey is equal for two versions of a route whose weights are the same, so that
	// shares are kept across versions.
	WeightKey string
	// GatherKey is equal for two versions of a route that gather alike: one leaf of each of the same
	// services, within as many attempts, for as many records.
	GatherKey uint64
}

// NewTable compiles a checked configuration.
func NewTable(configuration Configuration, revision int64) *Table {
	table := &Table{
		Version: configuration.Version, Revision: revision, Limits: configuration.Limits, Routes: configuration.Routes,
		byHost: map[string][]*Entry{}, services: make(map[string]Service, len(configuration.Services)),
		gathered: map[string]bool{},
	}
	for _, service := range configuration.Services {
		table.services[service.Name] = service
	}
	for _, route := range configuration.Routes {
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], newEntry(route))
		for _, service := range route.Gathered {
			table.gathered[service] = true
		}
	}
	for _, entries := range table.byHost {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// Gathering gives the routes that gather, in no order.
func (t *Table) GatheredRoutes() []*Entry {
	var gathering []*Entry
	for _, entries := range t.byHost {
		for _, entry := range entries {
			if len(entry.Gathered) > 0 {
				gathering = append(gathering, entry)
			}
		}
	}
	return gathering
}

func newEntry(route Route) *Entry {
	entry := &Entry{
		Route:     route,
		Timeout:   millisOr(route.TimeoutMillis, defaultTimeout),
		Objective: millisOr(route.ObjectiveMillis, defaultObjective),
		Attempts:  route.MaximumAttempts,
	}
	if entry.Attempts == 0 {
		entry.Attempts = defaultAttempts
	}
	entry.RequiredParts = requiredParts(len(route.Gathered), route.MinimumCoverage)
	if len(route.Gathered) > 0 {
		entry.GatherKey = gatherKey(entry)
	}
	if len(route.Weighted) > 0 {
		entry.WeightKey = fmt.Sprintf("%s%s %v", strings.ToLower(route.Host), route.Prefix, route.Weighted)
	}
	return entry
}

func gatherKey(entry *Entry) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %d %s %q", entry.Gathered, entry.TopRecords, entry.Attempts, entry.Repeatability, entry.Regions))
}

// AllowsRegion reports whether leafs of a region may run the route's requests.
func (e *Entry) AllowsRegion(region string) bool {
	return len(e.Regions) == 0 || slices.Contains(e.Regions, region)
}

// coverageTolerance absorbs the rounding of a share written in decimals.
const coverageTolerance = 1e-9

// requiredParts is the least number of parts that is the wanted share of all; at least one.
func requiredParts(parts int, coverage float64) int {
	if parts == 0 {
		return 0
	}
	return max(1, int(math.Ceil(coverage*float64(parts)-coverageTolerance)))
}

// Match finds the route of a request by its host, with or without a port, and its path
// without the query; nil when there is none.
func (t *Table) Match(host, path string) *Entry {
	for _, entry := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, entry.Prefix) {
			return entry
		}
	}
	return nil
}

func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service gives what operators say of a service; false when they say nothing.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// IsGathered reports whether some route gathers a service.
func (t *Table) IsGathered(name string) bool { return t.gathered[name] }

// ServiceNames gives every service that a route or the list of services names, sorted.
func (t *Table) ServiceNames() []string {
	names := map[string]bool{}
	for name := range t.services {
		names[name] = true
	}
	for _, route := range t.Routes {
		if route.Service != "" {
			names[route.Service] = true
		}
		for _, part := range route.Weighted {
			names[part.Service] = true
		}
		for _, name := range route.Gathered {
			names[name] = true
		}
	}
	sorted := make([]string, 0, len(names))
	for name := range names {
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	return sorted
}

func indexed(field string, index int) string { return fmt.Sprintf("%s[%d]", field, index) }
