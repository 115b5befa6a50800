// Package routing maps requests to services by the operators' routes.
//
// A Configuration is one version of all routes. It is validated as a whole, compiled into an immutable Table, and put
// into force as a whole; package catalog has the table in force. A request is matched to its route once and keeps it
// until its end, so that no answer mixes versions. Shares owns the state of weighted routes; the package has no
// goroutines and no clock. Times in a configuration are milliseconds and sizes are bytes; errors of Parse and Validate
// are *failure.Failure that name the field.
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

// Defaults of a route that sets no value.
const (
	defaultAttempts  = 2
	defaultTimeout   = 30 * time.Second
	defaultObjective = time.Second
)

// Table is a compiled configuration; it is immutable.
type Table struct {
	Version int64
	// Revision is the revision of the store at which the configuration was written.
	Revision int64
	Limits   Limits
	Routes   []Route

	byHost   map[string][]*Entry // longest prefix first
	services map[string]Service
	gathered map[string]bool // services that a route gathers
}

// Entry is a route of a table with its derived values; it is immutable.
type Entry struct {
	Route
	Timeout   time.Duration
	Objective time.Duration
	Attempts  int
	// RequiredParts is the least number of parts that a gathered answer must have.
	RequiredParts int
	// WeightKey is equal for two versions of a route with the same weights, so that Shares keeps its state across
	// versions.
	WeightKey string
	// GatherKey is equal for two versions of a route that gather alike: with the same services, records, attempts,
	// repeatability and regions.
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

// gatherKey hashes what decides how a route is gathered; roots and intermediates compare the result.
func gatherKey(entry *Entry) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%q %d %d %s %q", entry.Gathered, entry.TopRecords, entry.Attempts, entry.Repeatability, entry.Regions))
}

// AllowsRegion reports whether leafs of a region may run the route's requests, and its nodes gather them for others.
func (e *Entry) AllowsRegion(region string) bool {
	return len(e.Regions) == 0 || slices.Contains(e.Regions, region)
}

// coverageTolerance absorbs the rounding error of a share that is written as a decimal.
const coverageTolerance = 1e-9

// requiredParts returns the least number of parts that is the required share of all; at least one.
func requiredParts(parts int, coverage float64) int {
	if parts == 0 {
		return 0
	}
	return max(1, int(math.Ceil(coverage*float64(parts)-coverageTolerance)))
}

// Match returns the route of a request by its host, with or without a port, and its path without the query; nil if there
// is none.
func (t *Table) Match(host, path string) *Entry {
	for _, entry := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, entry.Prefix) {
			return entry
		}
	}
	return nil
}

// normalHost removes the port of a host and lower-cases it.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Service returns the configuration of a service; false if there is none.
func (t *Table) Service(name string) (Service, bool) {
	service, found := t.services[name]
	return service, found
}

// IsGathered reports whether a route gathers a service.
func (t *Table) IsGathered(name string) bool { return t.gathered[name] }

// ServiceNames returns the services that routes or the list of services name, sorted.
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

// indexed names an element of a list field.
func indexed(field string, index int) string { return fmt.Sprintf("%s[%d]", field, index) }
