package soak

import (
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
)

// servingVersion returns the version that serves a service, which it creates if there is none.
func (e *environment) servingVersion(service string) *rollouts.Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.serving == nil {
		e.serving = map[string]*rollouts.Version{}
	}
	if e.serving[service] == nil {
		e.serving[service] = rollouts.NewVersion(service, "first", serviceTime(service), rollouts.Fault{})
	}
	return e.serving[service]
}

// Service times of leafs. A single leaf's service time is long enough for it to receive concurrent requests.
const (
	singleServiceTime   = 30 * time.Millisecond
	gatheredServiceTime = 4 * time.Millisecond
)

func serviceTime(service string) time.Duration {
	if service == singleName || service == anotherName {
		return singleServiceTime
	}
	return gatheredServiceTime
}

func (e *environment) services() []string {
	return append([]string{singleName, anotherName}, e.gathered...)
}

// leafsOf returns the IDs of a version's leafs.
func (e *environment) leafsOf(version *rollouts.Version) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ids []string
	for id, state := range e.leafs {
		if state.version == version {
			ids = append(ids, id)
		}
	}
	return ids
}

// promote makes target the version that serves and removes the records of the old version's leafs.
func (e *environment) promote(old, target *rollouts.Version) {
	e.replacementMu.Lock()
	defer e.replacementMu.Unlock()
	e.mu.Lock()
	e.serving[target.Service()] = target
	e.mu.Unlock()
	e.markLeaving(old)
	e.remove(old)
}

// drain registers the leafs of a version as draining.
func (e *environment) drain(version *rollouts.Version) {
	e.replacementMu.Lock()
	defer e.replacementMu.Unlock()
	for _, id := range e.markLeaving(version) {
		e.register(id, stateDraining)
	}
}

// markLeaving marks the leafs of a version as leaving, and returns the IDs of those that were not leaving before.
func (e *environment) markLeaving(version *rollouts.Version) []string {
	ids := e.leafsOf(version)
	e.mu.Lock()
	defer e.mu.Unlock()
	var leaving []string
	for _, id := range ids {
		if e.leafs[id].leavingAt.IsZero() {
			e.leafs[id].leavingAt = time.Now()
			leaving = append(leaving, id)
		}
	}
	return leaving
}

// remove removes the records of a version's leafs.
func (e *environment) remove(version *rollouts.Version) {
	for _, id := range e.leafsOf(version) {
		e.unregister(id)
	}
}
