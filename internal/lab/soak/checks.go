package soak

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the guarantees: the time until a configuration is in force and the time until a leaving leaf receives no
// requests, both on nodes without a fault, and the minimum fraction of requests served after the faults.
const (
	configurationBound = 3 * time.Second
	drainBound         = 3 * time.Second
	minServedFraction  = 0.95
)

func sortDescending(records [][]byte) {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
}

// checkAll checks every guarantee except those about rollouts against the records of callers and leafs. There are no
// faults after the time recovered, and the nodes have had time to recover by then.
func checkAll(e *environment, seen []outcome, recovered time.Time) []Result {
	ran := e.runs()
	return []Result{
		checkOnce(seen, ran), checkRefusals(seen, ran), checkOnlySentRequests(seen, ran), checkSingles(e, seen), checkGathered(e, seen),
		checkConfiguration(e, seen), checkDraining(e), checkEvacuations(e), checkStops(seen), checkRecovery(seen, recovered),
		checkCrashing(e), checkOtherRequests(seen),
	}
}

func checkOnce(seen []outcome, ran map[string][]string) Result {
	result := Result{Guarantee: "a request marked not repeatable runs at most once"}
	for _, o := range seen {
		if o.kind == AtMostOnce {
			result.check(len(ran[o.id]) <= 1, "%s ran at %v", o.id, ran[o.id])
		}
	}
	return result
}

func checkRefusals(seen []outcome, ran map[string][]string) Result {
	result := Result{Guarantee: "a request refused as not run has not run"}
	for _, o := range seen {
		switch o.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if o.kind == AtMostOnce {
				result.check(len(ran[o.id]) == 0, "%s was answered with status %d and ran at %v", o.id, o.status, ran[o.id])
			}
		}
	}
	return result
}

func checkOnlySentRequests(seen []outcome, ran map[string][]string) Result {
	result := Result{Guarantee: "leafs run only requests that callers sent"}
	sent := map[string]bool{}
	for _, o := range seen {
		sent[o.id] = true
	}
	for id := range ran {
		result.check(sent[id], "%s ran although no caller sent it", id)
	}
	return result
}

func checkSingles(e *environment, seen []outcome) Result {
	result := Result{Guarantee: "the answer of a single leaf is complete and belongs to the caller's request"}
	for _, o := range seen {
		if o.status != http.StatusOK || o.kind == Gathered {
			continue
		}
		leafID, id, _ := strings.Cut(o.header.Get(e.names.ResponseStamp), ".")
		service := e.serviceOf(leafID)
		result.check(id == o.id && bytes.Equal(o.body, partBody(service, o.id)), "%s received the answer %q from %s for request %s", o.id, o.body, leafID, id)
	}
	return result
}

func checkGathered(e *environment, seen []outcome) Result {
	result := Result{Guarantee: "a gathered answer contains the greatest records of the parts that it lists, and states how many parts are missing"}
	for _, o := range seen {
		if o.status == http.StatusOK && o.kind == Gathered {
			fault := gatheredFault(e, o)
			result.check(fault == "", "%s: %s", o.id, fault)
		}
	}
	return result
}

// gatheredFault describes the fault of a gathered answer, or returns "" if there is none.
func gatheredFault(e *environment, o outcome) string {
	services := map[string]bool{}
	var bodies [][]byte
	for _, stamp := range o.parts(e.names) {
		leafID, id, _ := strings.Cut(stamp, ".")
		service := e.serviceOf(leafID)
		if id != o.id || services[service] || !slices.Contains(e.gathered, service) {
			return fmt.Sprintf("unexpected part %q of service %q", stamp, service)
		}
		services[service] = true
		bodies = append(bodies, partBody(service, o.id))
	}
	missing := 0
	if text := o.header.Get(e.names.MissingParts); text != "" {
		if _, err := fmt.Sscan(text, &missing); err != nil {
			return "invalid number of missing parts: " + text
		}
	}
	switch {
	case len(services)+missing != len(e.gathered):
		return fmt.Sprintf("lists %d parts and %d missing of %d", len(services), missing, len(e.gathered))
	case len(services) < int(math.Ceil(minCoverage*float64(len(e.gathered)))):
		return fmt.Sprintf("lists only %d parts, below the minimum coverage", len(services))
	case !bytes.Equal(o.body, greatest(bodies, topRecords)):
		return "does not contain the greatest records of its parts"
	}
	return ""
}

// checkConfiguration checks that nodes without a fault serve requests with the newest configuration once its bound has
// passed, and that no process reverts to an older one.
func checkConfiguration(e *environment, seen []outcome) Result {
	result := Result{Guarantee: "an accepted configuration is in force within its bound and never reverts"}
	inSendOrder := slices.Clone(seen)
	slices.SortFunc(inSendOrder, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	type process struct {
		node          *nodeState
		processNumber int
	}
	reached := map[process]versionBounds{}
	for _, o := range inSendOrder {
		if o.kind != Switched || o.status != http.StatusOK {
			continue
		}
		leafID, _, _ := strings.Cut(o.header.Get(e.names.ResponseStamp), ".")
		newest := e.newestWith(e.serviceOf(leafID), o.ended)
		due := e.dueAt(o.sent.Add(-configurationBound))
		hadNoFault := !o.node.hadFault(o.sent.Add(-configurationBound), o.ended, true)
		result.check(!hadNoFault || newest >= due, "%s at %s served with version %d or older, want %d", o.id, o.node.name, newest, due)
		key := process{o.node, o.processNumber}
		lowest := reached[key].lowestAt(o.sent)
		result.check(lowest <= newest, "%s at %s served with version %d or older after version %d had been in force", o.id, o.node.name, newest, lowest)
		if oldest := e.oldestWith(e.serviceOf(leafID), lowest); oldest > lowest {
			reached[key] = append(reached[key], versionBound{oldest, o.ended})
		}
	}
	return result
}

// versionBounds are the lowest versions that a process must have had in force, each with the end of the answer that shows
// it, in any order. A request is checked only against answers that ended before it was sent: concurrent requests, such as
// those that wait at a suspended node while the configuration changes, may be served with either version.
type versionBounds []versionBound

type versionBound struct {
	version int
	seen    time.Time
}

// lowestAt returns the lowest version that must have been in force at the given time, or 0.
func (b versionBounds) lowestAt(at time.Time) int {
	lowest := 0
	for _, one := range b {
		if !one.seen.After(at) {
			lowest = max(lowest, one.version)
		}
	}
	return lowest
}

func checkDraining(e *environment) Result {
	result := Result{Guarantee: "a leaving leaf receives no requests after its bound"}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, state := range e.leafs {
		if state.leavingAt.IsZero() {
			continue
		}
		late := e.lateRequests(state, state.leavingAt.Add(drainBound), time.Time{})
		result.check(late == 0, "%s received %d requests more than %v after it began to leave", id, late, drainBound)
	}
	return result
}

// lateRequests counts the requests that a leaf received after one time and before another while no node had a fault. A zero
// before sets no upper bound.
func (e *environment) lateRequests(state *leafState, after, before time.Time) int {
	late := 0
	for _, request := range state.receivedRequests() {
		isLate := request.At.After(after) && (before.IsZero() || request.At.Before(before))
		if isLate && e.isFaultFreeAt(request.At) {
			late++
		}
	}
	return late
}

func checkEvacuations(e *environment) Result {
	result := Result{Guarantee: "the leafs of an evacuated zone receive no requests after its bound"}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, span := range e.evacuations {
		due := span.from.Add(drainBound)
		for id, state := range e.leafs {
			if state.zone != span.zone {
				continue
			}
			late := e.lateRequests(state, due, span.until)
			result.check(late == 0, "%s received %d requests more than %v after the evacuation of %s", id, late, drainBound, span.zone)
		}
	}
	return result
}

// stopWindow is the maximum time from the sending of a request to a planned stop for the request to be checked.
const stopWindow = time.Second

func checkStops(seen []outcome) Result {
	result := Result{Guarantee: "a planned stop interrupts no request in flight"}
	for _, o := range seen {
		for _, stop := range o.node.stopTimes() {
			wasInFlight := o.sent.Before(stop) && o.ended.After(stop) && stop.Sub(o.sent) < stopWindow
			if wasInFlight && !o.node.hadFault(o.sent, o.ended, false) {
				result.check(o.status != 0, "%s at %s was interrupted %v after the stop", o.id, o.node.name, o.ended.Sub(stop))
			}
		}
	}
	return result
}

func checkRecovery(seen []outcome, recovered time.Time) Result {
	result := Result{Guarantee: "requests are served after the faults have ended"}
	served, sent := 0, 0
	for _, o := range seen {
		if o.sent.Before(recovered) || o.isCrashing {
			continue
		}
		sent++
		if o.status == http.StatusOK {
			served++
		}
	}
	result.check(sent > 0 && float64(served) >= minServedFraction*float64(sent), "%d of %d requests served after recovery", served, sent)
	return result
}
