package soak

import "time"

// change is a configuration and the time at which the store accepted it.
type change struct {
	version int
	// switched is the service of the switched route in this configuration.
	switched string
	at       time.Time
}

// configure writes a configuration whose switched route leads to the given service.
func (e *environment) configure(switched string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version++
	e.putAsOperator(routesKey, configuration(e.version, e.gathered, switched))
	e.changes = append(e.changes, change{version: e.version, switched: switched, at: time.Now()})
}

// switched returns the service of the switched route in the newest configuration.
func (e *environment) switched() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.changes[len(e.changes)-1].switched
}

// dueAt returns the version of the newest configuration that the store had accepted at the given time, or 0.
func (e *environment) dueAt(at time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	due := 0
	for _, c := range e.changes {
		if !c.at.After(at) {
			due = c.version
		}
	}
	return due
}

// newestWith returns the version of the newest configuration that was accepted by the given time and whose switched route
// leads to the service, or 0.
func (e *environment) newestWith(service string, until time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := 0
	for _, c := range e.changes {
		if c.switched == service && !c.at.After(until) {
			newest = c.version
		}
	}
	return newest
}

// oldestWith returns the oldest version, starting with lowest, whose switched route leads to the service, or lowest if there
// is none.
func (e *environment) oldestWith(service string, lowest int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.changes {
		if c.switched == service && c.version >= lowest {
			return c.version
		}
	}
	return lowest
}
