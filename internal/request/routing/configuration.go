package routing

import (
	"cmp"
	"strings"
	"time"

	json "github.com/goccy/go-json"

	"github.com/portgauge/portgauge/internal/failure"
)

// Repeatability says how often a request may run.
type Repeatability string

// The values of Repeatability.
const (
	// Repeatable requests may run any number of times.
	Repeatable Repeatability = "repeatable"
	// AtMostOnce requests must not run more than once.
	AtMostOnce Repeatability = "at_most_once"
)

// Configuration is one version of the routes, as operators write it.
type Configuration struct {
	// Version is a number chosen by the operators, which increases with each change.
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Compare orders two configurations by Version. The order is unknown if the versions are equal.
func Compare(a, b Configuration) (order int, isKnown bool) {
	return cmp.Compare(a.Version, b.Version), a.Version != b.Version
}

// Route sends the requests for a host and path prefix to its target: exactly one of Service, Weighted and Gathered is
// set.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash; the longest matching prefix of a host is used.
	Prefix string `json:"prefix"`
	// Service is the service that receives every request.
	Service string `json:"service,omitempty"`
	// Weighted services receive requests in proportion to their weights.
	Weighted []WeightedService `json:"weighted,omitempty"`
	// Gathered services are shards: each request is sent to one leaf of each.
	Gathered []string `json:"gathered,omitempty"`
	// TopRecords is the number of greatest records that a gathered answer contains.
	TopRecords int `json:"top_records,omitempty"`
	// MinimumCoverage is the minimum fraction of the gathered services that an answer must contain, 0 to 1.
	MinimumCoverage float64       `json:"minimum_coverage,omitempty"`
	Repeatability   Repeatability `json:"repeatability"`
	// MaximumAttempts is the maximum number of attempts per service that may have run a request; 0 means the default.
	MaximumAttempts int `json:"maximum_attempts"`
	// TimeoutMillis is the time after its arrival at which a request times out; 0 means the default.
	TimeoutMillis int64 `json:"timeout_millis"`
	// ObjectiveMillis is the latency objective: the time within which an answer has its full value; 0 means the
	// default.
	ObjectiveMillis int64 `json:"objective_millis"`
	// Regions are the regions whose leafs may run the requests, and whose nodes may gather answers for others; empty
	// means all regions.
	Regions []string `json:"regions,omitempty"`
	// Priority groups requests for latency estimates; requests of different priorities are estimated separately. 0 is
	// the most urgent.
	Priority int `json:"priority"`
}

// WeightedService is a service of a weighted route.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Service is the configuration of the leafs of a service.
type Service struct {
	Name string `json:"name"`
	// HealthPath is the path that a leaf answers with 200 while it is healthy.
	HealthPath string `json:"health_path,omitempty"`
	// MaximumConnections is the maximum number of connections that a leaf accepts from all nodes together; 0 means no
	// limit.
	MaximumConnections int `json:"maximum_connections,omitempty"`
	// ColdRequestsPerSecond is the number of requests per second from all nodes together that a leaf can serve while it
	// is cold, for instance after a start; 0 means no limit.
	ColdRequestsPerSecond float64 `json:"cold_requests_per_second,omitempty"`
}

// Limits are the maximum sizes of requests, in bytes, and the timeouts of callers' connections, in milliseconds; 0
// means the default.
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

// HeaderTimeout returns the maximum time for receiving a request's header.
func (l Limits) HeaderTimeout() time.Duration {
	return millisOr(l.HeaderTimeoutMillis, DefaultHeaderTimeout)
}

// IdleTimeout returns the maximum time for which a connection may be idle between requests.
func (l Limits) IdleTimeout() time.Duration {
	return millisOr(l.IdleTimeoutMillis, DefaultIdleTimeout)
}

// millisOr returns a number of milliseconds as a duration, or the fallback if the number is not positive.
func millisOr(millis int64, fallback time.Duration) time.Duration {
	if millis <= 0 {
		return fallback
	}
	return time.Duration(millis) * time.Millisecond
}

// Parse decodes and validates a configuration in JSON.
func Parse(content []byte) (Configuration, error) {
	var configuration Configuration
	if err := json.Unmarshal(content, &configuration); err != nil {
		return Configuration{}, failure.Invalid("routes", "can't decode the configuration: %v", err)
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
		checks.Refuse(seen[key], field+".prefix", "another route of host %q has the same prefix", route.Host)
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
	checks.Refuse(r.countTargets() != 1, "service", "exactly one of service, weighted and gathered must be set")
	checks.Refuse(r.Repeatability != Repeatable && r.Repeatability != AtMostOnce, "repeatability", "%q is invalid; must be %q or %q", r.Repeatability, Repeatable, AtMostOnce)
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

// countTargets returns how many of Service, Weighted and Gathered are set.
func (r Route) countTargets() int {
	count := 0
	for _, isSet := range []bool{r.Service != "", len(r.Weighted) > 0, len(r.Gathered) > 0} {
		if isSet {
			count++
		}
	}
	return count
}
