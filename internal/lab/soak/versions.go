package soak

import (
	"time"

	"github.com/portgauge/portgauge/internal/lab/rollouts"
)

// servingOf returns the version that serves a service.
func (w *environment) servingOf(service string) *rollouts.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.serving == nil {
		w.serving = map[string]*rollouts.Version{}
	}
	if w.serving[service] == nil {
		w.serving[service] = rollouts.NewVersion(service, "first", workOf(service), rollouts.Fault{})
	}
	return w.serving[service]
}

// Service times of leafs. Those of single leafs are long enough that some get several requests at once.
const (
	singleWork   = 30 * time.Millisecond
	gatheredWork = 4 * time.Millisecond
)

func workOf(service string) time.Duration {
	if service == singleName || service == anotherName {
		return singleWork
	}
	return gatheredWork
}

// services returns the names of all services.
func (w *environment) services() []string {
	return append([]string{singleName, anotherName}, w.gathered...)
}

// leafsOf returns the ids of a version's leafs.
func (w *environment) leafsOf(version *rollouts.Version) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, state := range w.leafs {
		if state.version == version {
			ids = append(ids, id)
		}
	}
	return ids
}

// succeed removes the leafs of the old version and makes the target the version that serves.
func (w *environment) succeed(old, target *rollouts.Version) {
	w.operating.Lock()
	defer w.operating.Unlock()
	w.mu.Lock()
	w.serving[target.Service()] = target
	w.mu.Unlock()
	w.leave(old)
	w.remove(old)
}

// drain registers the leafs of a version as draining.
func (w *environment) drain(version *rollouts.Version) {
	w.operating.Lock()
	defer w.operating.Unlock()
	for _, id := range w.leave(version) {
		w.register(id, stateDraining)
	}
}

// leave notes that the leafs of a version are leaving, and returns those that weren't before.
func (w *environment) leave(version *rollouts.Version) []string {
	ids := w.leafsOf(version)
	w.mu.Lock()
	defer w.mu.Unlock()
	var leaving []string
	for _, id := range ids {
		if w.leafs[id].leavingAt.IsZero() {
			w.leafs[id].leavingAt = time.Now()
			leaving = append(leaving, id)
		}
	}
	return leaving
}

// remove removes the records of a version's leafs.
func (w *environment) remove(version *rollouts.Version) {
	for _, id := range w.leafsOf(version) {
		w.unregister(id)
	}
}
