package soak

import "fmt"

// Prefixes of the routes: a gathered one, a repeatable and an at-most-once one to the same service,
// and one that goes to another service with each change.
const (
	GatheredPrefix = "/gathered/"
	SinglePrefix   = "/single/"
	OncePrefix     = "/once/"
	SwitchedPrefix = "/switched/"
)

// The states of a leaf in the users' store, and its keys.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	routesKey     = "op/config"
)

func leafKey(id string) string { return "servers/" + id }

func evacuationKey(zone string) string { return "op/evacuate/" + zone }

// leafRecord is a leaf as it stands in the users' store.
type leafRecord struct {
	Service, Address, Zone, State string
	Capacity, Sequence            int
}

// routeRecord is a route as operators write it.
type routeRecord struct {
	Name, Host, PathPrefix, Type        string
	Service                             string   `json:",omitempty"`
	Gather                              []string `json:",omitempty"`
	TopK                                int      `json:",omitempty"`
	MinCoverage                         float64  `json:",omitempty"`
	TimeoutMs, ObjectiveMs, MaxAttempts int
}

// configurationRecord is a configuration as operators write it.
type configurationRecord struct {
	Version  int
	Routes   []routeRecord
	Services []struct{}
	Limits   struct{}
}

// configuration gives a version in which the switched route goes to a service.
func configuration(version int, gathered []string, switched string) configurationRecord {
	route := func(prefix, kind string) routeRecord {
		return routeRecord{
			Name: fmt.Sprint("route", prefix), Host: host, PathPrefix: prefix, Type: kind,
			TimeoutMs: 3000, ObjectiveMs: 400, MaxAttempts: 2,
		}
	}
	pages := route(GatheredPrefix, "safe")
	pages.Gather, pages.TopK, pages.MinCoverage = gathered, topRecords, minCoverage
	single, once, moving := route(SinglePrefix, "safe"), route(OncePrefix, "unsafe"), route(SwitchedPrefix, "safe")
	single.Service, once.Service, moving.Service = singleName, singleName, switched
	return configurationRecord{Version: version, Routes: []routeRecord{pages, single, once, moving}, Services: []struct{}{}}
}
