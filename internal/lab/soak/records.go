package soak

import (
	"fmt"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Prefixes of the routes: a gathered one, a repeatable and an at-most-once one of the same service, and one whose service
// each configuration switches.
const (
	GatheredPrefix = "/gathered/"
	SinglePrefix   = "/single/"
	OncePrefix     = "/once/"
	SwitchedPrefix = "/switched/"
)

// Values of a leaf's state, and the key of the configuration, in the users' store.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	routesKey     = "op/config"
)

func leafKey(id string) string { return "servers/" + id }

// outcomes are the outcomes of an order by the phase in its status.
var outcomes = map[rollout.Phase]rollouts.Outcome{
	rollout.Canary: rollouts.Running, rollout.Succeeded: rollouts.Succeeded, rollout.RolledBack: rollouts.RolledBack,
}

func evacuationKey(zone string) string { return "op/evacuate/" + zone }

// leafRecord is the record that a leaf writes to the users' store.
type leafRecord struct {
	Service, Address, Zone, Version, State string
	Capacity, Sequence                     int
	Born                                   int64 `json:"born"`
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

// configuration returns a configuration whose switched route has a service.
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
