// Package routing maps requests to services by the operators' routes.
//
// A Configuration is one version of all routes. It is validated as a whole, compiled into an immutable Table, and
// activated as a whole; package catalog holds the active table. A request is matched to its route once and keeps this
// route until it ends, so an answer never mixes versions. A WeightedSelector owns the state of weighted routes. The
// package starts no goroutines and uses no clock. In a configuration, times are in milliseconds and sizes in bytes. The
// errors of Parse and Validate are *failure.Failure and name the invalid field.
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

// The defaults for fields that a route doesn't set.
const (
	defaultAttempts  = 2
	defaultTimeout   = 30 * time.Second
	defaultObjective = time.Second
)

// Table is a compiled configuration. It is immutable.
type Table struct {
	Version int64
	// Revision is the store revision at which the configuration was written.
	Revision int64
	Limits   Limits
	Routes   []Route

	byHost   map[string][]*Entry // longest prefix first
	services map[string]Service
	gathered map[string]bool // the services that a route gathers
}

// Entry is a route of a table with its derived values. It is immutable.
type Entry struct {
	Route
	Timeout   time.Duration
	Objective time.Duration
	Attempts  int
	// RequiredParts is the minimum number of parts of a gathered answer.
	RequiredParts int
	// WeightKey is equal for versions of a route with the same weights, so that WeightedSelector keeps its state across
	// them.
	WeightKey string
	// GatherKey is equal for versions of a route that are gathered in the same way: with the same services, top
	// records, attempts, repeatability and regions.
	GatherKey uint64
}

// NewTable compiles a valid configuration.
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

// GatheredRoutes returns the routes that gather, in no particular order.
func (t *Table) GatheredRoutes() []*Entry {
	var gathered []*Entry
	for _, entries := range t.byHost {
		for _, entry := range entries {
			if len(entry.Gathered) > 0 {
				gathered = append(gathered, entry)
			}
		}
	}
	return gathered
}

// newEntry derives the values of a route.
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

// gatherKey hashes the fields that decide how a route is gathered. Roots and intermediates compare the result.
func gatherKey(entry *Entry) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %d %s %q", entry.Gathered, entry.TopRecords, entry.Attempts, entry.Repeatability, entry.Regions))
}

// AllowsRegion reports whether the leafs of a region may run the route's requests, and its nodes may gather answers for
// others.
func (e *Entry) AllowsRegion(region string) bool {
	return len(e.Regions) == 0 || slices.Contains(e.Regions, region)
}

// coverageTolerance absorbs the rounding error of a coverage that is written as a decimal fraction.
const coverageTolerance = 1e-9

// requiredParts returns the minimum number of parts that make up the required coverage: at least one, and 0 if there
// are no parts.
func requiredParts(parts int, coverage float64) int {
	if parts == 0 {
		return 0
	}
	return max(1, int(math.Ceil(coverage*float64(parts)-coverageTolerance)))
}

// Match returns the route for a host, with or without a port, and a path without the query; nil if there is none.
func (t *Table) Match(host, path string) *Entry {
	for _, entry := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, entry.Prefix) {
			return entry
		}
	}
	return nil
}

// normalHost returns a host without its port, in lower case.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the configuration of a service, and false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// IsGathered reports whether a route gathers a service.
func (t *Table) IsGathered(name string) bool { return t.gathered[name] }

// ServiceNames returns the sorted names of all services in the routes and in the list of services.
func (t *Table) ServiceNames() []string {
	names := map[string]bool{}
	for name := range t.services {
		names[name] = true
	}
	for _, route := range t.Routes {
		if route.Service != "" {
			names[route.Service] = true
		}
		for _, weighted := range route.Weighted {
			names[weighted.Service] = true
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

// indexed returns the name of an element of a list field.
func indexed(field string, index int) string { return fmt.Sprintf("%s[%d]", field, index) }
