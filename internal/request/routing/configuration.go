package routing

import (
	"cmp"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
)

// Repeatability is how often a request may run.
type Repeatability string

// The repeatabilities.
const (
	// Repeatable requests may run any number of times.
	Repeatable Repeatability = "repeatable"
	// AtMostOnce requests run at most once.
	AtMostOnce Repeatability = "at_most_once"
)

// Configuration is one version of the routes, as operators write it.
type Configuration struct {
	// Version is the operators' own number; it increases with each change.
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Compare orders two configurations by the operators' own numbers. The order is not known if the numbers are equal.
func Compare(a, b Configuration) (order int, isKnown bool) {
	return cmp.Compare(a.Version, b.Version), a.Version != b.Version
}

// Route sends the requests of a host and path prefix to one target. Exactly one of Service, Weighted and Gathered is
// set.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash; the longest prefix of a host that matches is used.
	Prefix string `json:"prefix"`
	// Service takes every request.
	Service string `json:"service,omitempty"`
	// Weighted services take the requests in proportion to their weights.
	Weighted []WeightedService `json:"weighted,omitempty"`
	// Gathered services are shards: each request goes to one leaf of each.
	Gathered []string `json:"gathered,omitempty"`
	// TopRecords is how many of the greatest records a gathered answer has.
	TopRecords int `json:"top_records,omitempty"`
	// MinimumCoverage is the least share of the gathered services that an answer must have, 0 to 1.
	MinimumCoverage float64       `json:"minimum_coverage,omitempty"`
	Repeatability   Repeatability `json:"repeatability"`
	// MaximumAttempts is how many leafs of one service may run one request; 0 means the default.
	MaximumAttempts int `json:"maximum_attempts"`
	// TimeoutMillis is how long after its arrival a request is given up; 0 means the default.
	TimeoutMillis int64 `json:"timeout_millis"`
	// ObjectiveMillis is the time within which an answer has its full worth; 0 means the default.
	ObjectiveMillis int64 `json:"objective_millis"`
	// Regions are those whose leafs may run the requests, and whose nodes may gather them for others; empty means
	// all.
	Regions []string `json:"regions,omitempty"`
	// Priority ranks requests under overload; 0 is the most urgent.
	Priority int `json:"priority"`
}

// WeightedService is one service of a weighted route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is the configuration of the leafs of a service.
type Service struct {
	Name string `json:"name"`
	// HealthPath answers 200 while a leaf is healthy.
	HealthPath string `json:"health_path,omitempty"`
	// MaximumConnections is how many connections a leaf accepts from all nodes together; 0 means that there is no
	// limit.
	MaximumConnections int `json:"maximum_connections,omitempty"`
	// ColdRequestsPerSecond is how many requests a second a leaf can serve from all nodes together while it is cold,
	// as after its start; 0 means that there is no limit.
	ColdRequestsPerSecond float64 `json:"cold_requests_per_second,omitempty"`
}

// Limits bound what callers may send, in bytes, and how long they may take, in milliseconds; 0 means the default.
type Limits struct {
	MaximumHeaderBytes  int   `json:"maximum_header_bytes,omitempty"`
	MaximumBodyBytes    int64 `json:"maximum_body_bytes,omitempty"`
	HeaderTimeoutMillis int64 `json:"header_timeout_millis,omitempty"`
	IdleTimeoutMillis   int64 `json:"idle_timeout_millis,omitempty"`
}

// The default limits.
const (
	DefaultHeaderBytes   = 64 << 10
	DefaultBodyBytes     = 1 << 20
	DefaultHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout   = 2 * time.Minute
)

// HeaderBytes returns the maximum size of a request's header in bytes.
func (l Limits) HeaderBytes() int {
	if l.MaximumHeaderBytes <= 0 {
		return DefaultHeaderBytes
	}
	return l.MaximumHeaderBytes
}

// BodyBytes returns the maximum size of a request's body in bytes.
func (l Limits) BodyBytes() int64 {
	if l.MaximumBodyBytes <= 0 {
		return DefaultBodyBytes
	}
	return l.MaximumBodyBytes
}

// HeaderTimeout returns how long a caller may take to send a request's header.
func (l Limits) HeaderTimeout() time.Duration {
	return millisOr(l.HeaderTimeoutMillis, DefaultHeaderTimeout)
}

// IdleTimeout returns how long a connection may be idle between requests.
func (l Limits) IdleTimeout() time.Duration {
	return millisOr(l.IdleTimeoutMillis, DefaultIdleTimeout)
}

// millisOr returns a number of milliseconds as a duration, or otherwise if it is not positive.
func millisOr(millis int64, otherwise time.Duration) time.Duration {
	if millis <= 0 {
		return otherwise
	}
	return time.Duration(millis) * time.Millisecond
}

// Parse decodes and validates a configuration in JSON.
func Parse(content []byte) (Configuration, error) {
	var configuration Configuration
	if err := json.Unmarshal(content, &configuration); err != nil {
		return Configuration{}, failure.Invalid("routes", "not a configuration: %v", err)
	}
	return configuration, configuration.Validate()
}

// Validate returns an error that names every invalid field.
func (c Configuration) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Version < 0, "version", "must not be negative")
	seen := map[string]bool{}
	for index, route := range c.Routes {
		field := indexed("routes", index)
		checks.Add(field, route.validate())
		key := strings.ToLower(route.Host) + " " + route.Prefix
		checks.Refuse(seen[key], field+".prefix", "host %q has this prefix twice", route.Host)
		seen[key] = true
	}
	for index, service := range c.Services {
		checks.Refuse(service.Name == "", indexed("services", index)+".name", "must not be empty")
		checks.Refuse(service.MaximumConnections < 0, indexed("services", index)+".maximum_connections", "must not be negative")
		checks.Refuse(service.ColdRequestsPerSecond < 0, indexed("services", index)+".cold_requests_per_second", "must not be negative")
	}
	return checks.Err()
}

func (r Route) validate() error {
	var checks failure.Checks
	checks.Refuse(r.Host == "", "host", "must not be empty")
	checks.Refuse(!strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"), "prefix", "%q must begin and end with a slash", r.Prefix)
	checks.Refuse(r.targets() != 1, "service", "exactly one of service, weighted and gathered must be set")
	checks.Refuse(r.Repeatability != Repeatable && r.Repeatability != AtMostOnce, "repeatability", "%q; must be %q or %q", r.Repeatability, Repeatable, AtMostOnce)
	checks.Refuse(len(r.Gathered) > 0 && r.Repeatability != Repeatable, "repeatability", "a gathered route must be %q", Repeatable)
	checks.Refuse(r.MaximumAttempts < 0, "maximum_attempts", "must not be negative")
	checks.Refuse(r.TimeoutMillis < 0, "timeout_millis", "must not be negative")
	checks.Refuse(r.ObjectiveMillis < 0, "objective_millis", "must not be negative")
	checks.Refuse(r.MinimumCoverage < 0 || r.MinimumCoverage > 1, "minimum_coverage", "must be between 0 and 1")
	checks.Refuse(r.TopRecords < 0, "top_records", "must not be negative")
	total := 0.0
	for index, weighted := range r.Weighted {
		checks.Refuse(weighted.Weight < 0, indexed("weighted", index)+".weight", "must not be negative")
		total += weighted.Weight
	}
	checks.Refuse(len(r.Weighted) > 0 && total <= 0, "weighted", "at least one weight must be positive")
	return checks.Err()
}

// targets counts the kinds of targets that a route sets.
func (r Route) targets() int {
	count := 0
	for _, isSet := range []bool{r.Service != "", len(r.Weighted) > 0, len(r.Gathered) > 0} {
		if isSet {
			count++
		}
	}
	return count
}
