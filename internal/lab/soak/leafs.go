package soak

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/lab/rollouts"
)

// leafState is a leaf and its link. Its process may be replaced under the same ID.
type leafState struct {
	leaf    *httpleaf.Leaf
	link    *Link
	service string
	version *rollouts.Version
	zone    string
	// leavingAt is the time at which its record became draining or was removed, or zero.
	leavingAt time.Time
	// faultSpans are the spans in which the leaf or its link had a fault.
	faultSpans []faultSpan
	// hasCrashed is set once a crashing request has crashed it.
	hasCrashed bool
	// record is the state in its record, or empty if it has no record; born and sequence are in the record too.
	record   string
	born     int64
	sequence int
	// previousLeafs are the servers of its previous processes.
	previousLeafs []*httpleaf.Leaf
}

// receivedRequests returns all requests that the leaf received, including those of earlier processes.
func (s *leafState) receivedRequests() []httpleaf.Request {
	var requests []httpleaf.Request
	for _, server := range append(slices.Clone(s.previousLeafs), s.leaf) {
		requests = append(requests, server.Requests()...)
	}
	return requests
}

// runs returns the IDs of the leafs that ran each request, keyed by request ID.
func (e *environment) runs() map[string][]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	ran := map[string][]string{}
	for id, state := range e.leafs {
		for _, request := range state.receivedRequests() {
			if request.Incarnation == id {
				ran[request.ID] = append(ran[request.ID], id)
			}
		}
	}
	return ran
}

// addLeaf starts and registers a leaf of the version that serves a service, and returns the leaf's ID.
func (e *environment) addLeaf(service string) (string, error) {
	return e.addLeafWithVersion(e.servingVersion(service))
}

// addLeafWithVersion starts and registers a leaf of a version, and returns the leaf's ID.
func (e *environment) addLeafWithVersion(version *rollouts.Version) (string, error) {
	service := version.Service()
	e.mu.Lock()
	e.nextID++
	id := fmt.Sprintf("leaf-%d", e.nextID)
	zone := zoneOf(service, e.nextID)
	e.mu.Unlock()
	leaf, err := e.startLeaf(id, version)
	if err != nil {
		return "", err
	}
	link, err := NewLink(leaf.Address())
	if err != nil {
		return "", err
	}
	e.mu.Lock()
	e.leafs[id] = &leafState{leaf: leaf, link: link, service: service, version: version, zone: zone, born: time.Now().UnixMilli()}
	e.mu.Unlock()
	e.register(id, stateReady)
	return id, nil
}

// startLeaf starts the server of a leaf.
func (e *environment) startLeaf(id string, version *rollouts.Version) (*httpleaf.Leaf, error) {
	return httpleaf.Start(id, e.names, func(request httpleaf.Request) httpleaf.Answer {
		if isCrashing(request.Target) && request.Incarnation == id {
			return e.answerByCrashing(id, request)
		}
		return version.Answer(id, request, partBody(version.Service(), request.ID))
	})
}

// zoneOf returns the zone of a leaf. Some services have leafs in one zone only, so that nodes in the other zone need
// intermediates.
func zoneOf(service string, number int) string {
	sum := xxhash.Sum64String(service)
	if sum%2 == 0 {
		return zoneName(int(sum / 2 % zoneCount))
	}
	return zoneName(number % zoneCount)
}

// serviceOf returns the service of a leaf, or "" if there is no such leaf.
func (e *environment) serviceOf(leafID string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if state, found := e.leafs[leafID]; found {
		return state.service
	}
	return ""
}

// register writes a leaf's record.
func (e *environment) register(id, state string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	leaf := e.leafs[id]
	leaf.record = state
	leaf.sequence++
	e.store.Put(leafKey(id), leafRecord{
		Service: leaf.service, Address: leaf.link.Address(), Zone: leaf.zone, Version: leaf.version.Name(), State: state, Capacity: 4,
		Sequence: leaf.sequence, Born: leaf.born,
	})
}

// unregister removes a leaf's record.
func (e *environment) unregister(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leafs[id].record = ""
	e.store.Remove(leafKey(id))
}

// partBody returns the records of a service for a request. They are a function of both names, so that checks can compute the
// expected answer.
func partBody(service, requestID string) []byte {
	var body bytes.Buffer
	for index := range leafRecords {
		fmt.Fprintf(&body, "%016x", xxhash.Sum64String(fmt.Sprint(service, " ", requestID, " ", index)))
	}
	return body.Bytes()
}
