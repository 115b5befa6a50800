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

// leafState is a leaf with its link. Its process may be replaced under the same id.
type leafState struct {
	leaf    *httpleaf.Leaf
	link    *Link
	service string
	version *rollouts.Version
	zone    string
	// leavingAt is when its record became draining or was removed, or zero.
	leavingAt time.Time
	// faultSpans are the times at which its link had a fault.
	faultSpans []faultSpan
	// hasCrashed is set once a crashing request has ended its process.
	hasCrashed bool
	// record is the state in its record, empty if it has none; born and sequence are those in the record.
	record   string
	born     int64
	sequence int
	// earlier are its previous processes.
	earlier []*httpleaf.Leaf
}

// request returns all requests that the leaf received, also those of earlier processes.
func (s *leafState) receivedRequests() []httpleaf.Request {
	var requests []httpleaf.Request
	for _, life := range append(slices.Clone(s.earlier), s.leaf) {
		requests = append(requests, life.Requests()...)
	}
	return requests
}

// runs returns the ids of the leafs that ran each request, by the request's id.
func (w *environment) runs() map[string][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := map[string][]string{}
	for id, state := range w.leafs {
		for _, request := range state.receivedRequests() {
			if request.Incarnation == id {
				ran[request.ID] = append(ran[request.ID], id)
			}
		}
	}
	return ran
}

// addLeaf starts and registers a leaf of the version that serves a service, and returns its id.
func (w *environment) addLeaf(service string) (string, error) {
	return w.addLeafOf(w.servingOf(service))
}

// addLeafOf starts and registers a leaf of a version, and returns its id.
func (w *environment) addLeafOf(version *rollouts.Version) (string, error) {
	service := version.Service()
	w.mu.Lock()
	w.nextID++
	id := fmt.Sprintf("leaf-%d", w.nextID)
	zone := zoneOf(service, w.nextID)
	w.mu.Unlock()
	leaf, err := w.startLeaf(id, version)
	if err != nil {
		return "", err
	}
	link, err := NewLink(leaf.Address())
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	w.leafs[id] = &leafState{leaf: leaf, link: link, service: service, version: version, zone: zone, born: time.Now().UnixMilli()}
	w.mu.Unlock()
	w.register(id, stateReady)
	return id, nil
}

// startLeaf starts a process of a leaf.
func (w *environment) startLeaf(id string, version *rollouts.Version) (*httpleaf.Leaf, error) {
	return httpleaf.Start(id, w.names, func(request httpleaf.Request) httpleaf.Answer {
		if isCrashing(request.Target) && request.Incarnation == id {
			return w.answerByCrashing(id, request)
		}
		return version.Answer(id, request, partBody(version.Service(), request.ID))
	})
}

// zoneOf returns the zone of a leaf. Some services have leafs in one zone only, so that nodes of the other zone need
// intermediates.
func zoneOf(service string, number int) string {
	sum := xxhash.Sum64String(service)
	if sum%2 == 0 {
		return zoneName(int(sum / 2 % zoneCount))
	}
	return zoneName(number % zoneCount)
}

// serviceOf returns the service of a leaf, or "" if there is no such leaf.
func (w *environment) serviceOf(leafID string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if state, found := w.leafs[leafID]; found {
		return state.service
	}
	return ""
}

// register writes a leaf's record.
func (w *environment) register(id, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known := w.leafs[id]
	known.record = state
	known.sequence++
	w.store.Put(leafKey(id), leafRecord{
		Service: known.service, Address: known.link.Address(), Zone: known.zone, Version: known.version.Name(), State: state, Capacity: 4,
		Sequence: known.sequence, Born: known.born,
	})
}

// unregister removes a leaf's record.
func (w *environment) unregister(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leafs[id].record = ""
	w.store.Remove(leafKey(id))
}

// partBody returns the records of a service for a request. They follow from both names, so that checks know what an answer
// must hold.
func partBody(service, requestID string) []byte {
	var body bytes.Buffer
	for index := range leafRecords {
		fmt.Fprintf(&body, "%016x", xxhash.Sum64String(fmt.Sprint(service, " ", requestID, " ", index)))
	}
	return body.Bytes()
}
