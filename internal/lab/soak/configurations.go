package soak

import "time"

// change is a configuration and the time at which the store accepted it.
type change struct {
	version int
	// switched is the service of the switched route in this configuration.
	switched string
	at       time.Time
}

// configure writes a configuration whose switched route has a service.
func (w *environment) configure(switched string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.operate(routesKey, configuration(w.version, w.gathered, switched))
	w.changes = append(w.changes, change{version: w.version, switched: switched, at: time.Now()})
}

// switched returns the service of the switched route in the newest configuration.
func (w *environment) switched() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changes[len(w.changes)-1].switched
}

// dueAt returns the newest configuration that the store had accepted at a time, or 0.
func (w *environment) dueAt(at time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := 0
	for _, c := range w.changes {
		if !c.at.After(at) {
			due = c.version
		}
	}
	return due
}

// newestWith returns the newest configuration accepted until a time in which the switched route has a service, or 0.
func (w *environment) newestWith(service string, until time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	newest := 0
	for _, c := range w.changes {
		if c.switched == service && !c.at.After(until) {
			newest = c.version
		}
	}
	return newest
}

// oldestWith returns the oldest configuration, from a version on, in which the switched route has a service, or that version
// if there is none.
func (w *environment) oldestWith(service string, least int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.changes {
		if c.switched == service && c.version >= least {
			return c.version
		}
	}
	return least
}
