package soak

import (
	"fmt"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
	"github.com/portgauge/portgauge/internal/rollout"
)

// Path prefixes of the routes: a gathered route, a repeatable route and an at-most-once route to the same service, and a
// route whose service the configurations switch.
const (
	GatheredPrefix   = "/gathered/"
	SinglePrefix     = "/single/"
	AtMostOncePrefix = "/once/"
	SwitchedPrefix   = "/switched/"
)

// States of a leaf in its record, and the store's key of the configuration.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	routesKey     = "op/config"
)

func leafKey(id string) string { return "servers/" + id }

// outcomeByPhase maps the phase in a rollout's status to its outcome.
var outcomeByPhase = map[rollout.Phase]rollouts.Outcome{
	rollout.PhaseCanary: rollouts.Running, rollout.PhaseSucceeded: rollouts.Succeeded, rollout.PhaseRolledBack: rollouts.RolledBack,
}

func evacuationKey(zone string) string { return "op/evacuate/" + zone }

// leafRecord is a leaf's record in the store.
type leafRecord struct {
	Service, Address, Zone, Version, State string
	Capacity, Sequence                     int
	Born                                   int64 `json:"born"`
}

// routeRecord is a route in a configurationRecord.
type routeRecord struct {
	Name, Host, PathPrefix, Type        string
	Service                             string   `json:",omitempty"`
	Gather                              []string `json:",omitempty"`
	TopK                                int      `json:",omitempty"`
	MinCoverage                         float64  `json:",omitempty"`
	TimeoutMs, ObjectiveMs, MaxAttempts int
}

// configurationRecord is a configuration as operators write it to the store.
type configurationRecord struct {
	Version  int
	Routes   []routeRecord
	Services []struct{}
	Limits   struct{}
}

// configuration returns a configuration whose switched route leads to the given service.
func configuration(version int, gathered []string, switched string) configurationRecord {
	route := func(prefix, kind string) routeRecord {
		return routeRecord{
			Name: fmt.Sprint("route", prefix), Host: host, PathPrefix: prefix, Type: kind,
			TimeoutMs: 3000, ObjectiveMs: 400, MaxAttempts: 2,
		}
	}
	gatheredRoute := route(GatheredPrefix, "safe")
	gatheredRoute.Gather, gatheredRoute.TopK, gatheredRoute.MinCoverage = gathered, topRecords, minCoverage
	single, once, switchedRoute := route(SinglePrefix, "safe"), route(AtMostOncePrefix, "unsafe"), route(SwitchedPrefix, "safe")
	single.Service, once.Service, switchedRoute.Service = singleName, singleName, switched
	return configurationRecord{Version: version, Routes: []routeRecord{gatheredRoute, single, once, switchedRoute}, Services: []struct{}{}}
}
