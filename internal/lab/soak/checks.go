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

// Bounds of the promises: until a configuration is in force and until a leaving leaf gets nothing, in all nodes without a
// fault, and the share of requests served after the faults. They follow from the stated aims of the product.
const (
	configurationBound = 3 * time.Second
	drainBound         = 3 * time.Second
	servedShare        = 0.95
)

func sortDescending(records [][]byte) {
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
}

// checkAll checks every promise on the records of callers and leafs. From calm on there were no more faults, and nodes had had
// time to recover.
func checkAll(w *environment, seen []outcome, calm time.Time) []Result {
	ran := w.runs()
	return []Result{
		checkOnce(seen, ran), checkRefusals(seen, ran), checkSent(seen, ran), checkSingles(w, seen), checkGathered(w, seen),
		checkConfiguration(w, seen), checkDraining(w), checkEvacuations(w), checkStops(seen), checkRecovery(seen, calm),
		checkCrashing(w), checkOtherRequests(seen),
	}
}

func checkOnce(seen []outcome, ran map[string][]string) Result {
	v := Result{Promise: "a request marked not repeatable runs at most once"}
	for _, o := range seen {
		if o.kind == Once {
			v.check(len(ran[o.id]) <= 1, "%s ran at %v", o.id, ran[o.id])
		}
	}
	return v
}

func checkRefusals(seen []outcome, ran map[string][]string) Result {
	v := Result{Promise: "a refusal that says not run is true"}
	for _, o := range seen {
		switch o.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if o.kind == Once {
				v.check(len(ran[o.id]) == 0, "%s got %d and ran at %v", o.id, o.status, ran[o.id])
			}
		}
	}
	return v
}

func checkSent(seen []outcome, ran map[string][]string) Result {
	v := Result{Promise: "leafs run only what callers sent"}
	known := map[string]bool{}
	for _, o := range seen {
		known[o.id] = true
	}
	for id := range ran {
		v.check(known[id], "%s ran and was never sent", id)
	}
	return v
}

func checkSingles(w *environment, seen []outcome) Result {
	v := Result{Promise: "an answer of one leaf is whole and the caller's own"}
	for _, o := range seen {
		if o.status != http.StatusOK || o.kind == Gathered {
			continue
		}
		leafID, id, _ := strings.Cut(o.header.Get(w.names.ResponseStamp), ".")
		service := w.serviceOf(leafID)
		v.check(id == o.id && bytes.Equal(o.body, partBody(service, o.id)), "%s got the answer %q of %s (%s)", o.id, o.body, leafID, id)
	}
	return v
}

func checkGathered(w *environment, seen []outcome) Result {
	v := Result{Promise: "a gathered answer holds the greatest records of the parts that it names, and says how many are missing"}
	for _, o := range seen {
		if o.status == http.StatusOK && o.kind == Gathered {
			fault := gatheredFault(w, o)
			v.check(fault == "", "%s: %s", o.id, fault)
		}
	}
	return v
}

// gatheredFault returns what is wrong with a gathered answer, or "".
func gatheredFault(w *environment, o outcome) string {
	services := map[string]bool{}
	var bodies [][]byte
	for _, stamp := range o.parts(w.names) {
		leafID, id, _ := strings.Cut(stamp, ".")
		service := w.serviceOf(leafID)
		if id != o.id || services[service] || !slices.Contains(w.gathered, service) {
			return fmt.Sprintf("part %q of service %q", stamp, service)
		}
		services[service] = true
		bodies = append(bodies, partBody(service, o.id))
	}
	missing := 0
	if text := o.header.Get(w.names.MissingParts); text != "" {
		if _, err := fmt.Sscan(text, &missing); err != nil {
			return "missing parts " + text
		}
	}
	switch {
	case len(services)+missing != len(w.gathered):
		return fmt.Sprintf("%d parts and %d missing of %d", len(services), missing, len(w.gathered))
	case len(services) < int(math.Ceil(minCoverage*float64(len(w.gathered)))):
		return fmt.Sprintf("only %d parts", len(services))
	case !bytes.Equal(o.body, greatest(bodies, topRecords)):
		return "not the greatest records"
	}
	return ""
}

// checkConfiguration checks that nodes without a fault serve by the newest configuration after its bound, and that no
// process goes back to an older one.
func checkConfiguration(w *environment, seen []outcome) Result {
	v := Result{Promise: "an accepted configuration is in force within its bound and never reverts"}
	bySent := slices.Clone(seen)
	slices.SortFunc(bySent, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	type process struct {
		node *nodeState
		life int
	}
	reached := map[process]reachedVersions{}
	for _, o := range bySent {
		if o.kind != Switched || o.status != http.StatusOK {
			continue
		}
		leafID, _, _ := strings.Cut(o.header.Get(w.names.ResponseStamp), ".")
		newest := w.newestWith(w.serviceOf(leafID), o.ended)
		due := w.dueAt(o.sent.Add(-configurationBound))
		inTouch := !o.node.hadFault(o.sent.Add(-configurationBound), o.ended, true)
		v.check(!inTouch || newest >= due, "%s at %s served by version %d at most, %d was due", o.id, o.node.name, newest, due)
		at := process{o.node, o.life}
		least := reached[at].by(o.sent)
		v.check(least <= newest, "%s at %s served by version %d at most after %d was seen", o.id, o.node.name, newest, least)
		if oldest := w.oldestWith(w.serviceOf(leafID), least); oldest > least {
			reached[at] = append(reached[at], reachedVersion{oldest, o.ended})
		}
	}
	return v
}

// reachedVersions are the lowest versions that a process must have had in force, each with the end of the answer that shows
// it, in any order. Only answers that ended before a request was sent say something about that request: requests in flight
// together, such as all those of a node that was frozen while the configuration changed, may be served by either version in
// any order.
type reachedVersions []reachedVersion

type reachedVersion struct {
	version int
	seen    time.Time
}

// by returns the lowest version that must have been in force at a time, or 0.
func (r reachedVersions) by(at time.Time) int {
	least := 0
	for _, one := range r {
		if !one.seen.After(at) {
			least = max(least, one.version)
		}
	}
	return least
}

func checkDraining(w *environment) Result {
	v := Result{Promise: "a leaving leaf gets no new work after its bound"}
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, state := range w.leafs {
		if state.leavingAt.IsZero() {
			continue
		}
		late := w.lateRequests(state, state.leavingAt.Add(drainBound), time.Time{})
		v.check(late == 0, "%s got %d requests more than %v after it began to leave", id, late, drainBound)
	}
	return v
}

// lateRequests counts the requests that a leaf received between two times while no node had a fault. A zero before means
// never.
func (w *environment) lateRequests(state *leafState, after, before time.Time) int {
	late := 0
	for _, request := range state.receivedRequests() {
		isLate := request.At.After(after) && (before.IsZero() || request.At.Before(before))
		if isLate && w.isCalmAt(request.At) {
			late++
		}
	}
	return late
}

func checkEvacuations(w *environment) Result {
	v := Result{Promise: "the leafs of an evacuated zone get nothing after its bound"}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, span := range w.evacuations {
		due := span.from.Add(drainBound)
		for id, state := range w.leafs {
			if state.zone != span.zone {
				continue
			}
			late := w.lateRequests(state, due, span.until)
			v.check(late == 0, "%s got %d requests more than %v after the evacuation of %s", id, late, drainBound, span.zone)
		}
	}
	return v
}

// stopWindow is how long before a planned stop a request must have been sent, at most, to be checked.
const stopWindow = time.Second

func checkStops(seen []outcome) Result {
	v := Result{Promise: "a planned stop cuts no request in flight"}
	for _, o := range seen {
		for _, stop := range o.node.stopTimes() {
			wasUnderWay := o.sent.Before(stop) && o.ended.After(stop) && stop.Sub(o.sent) < stopWindow
			if wasUnderWay && !o.node.hadFault(o.sent, o.ended, false) {
				v.check(o.status != 0, "%s at %s was cut %v after the stop", o.id, o.node.name, o.ended.Sub(stop))
			}
		}
	}
	return v
}

func checkRecovery(seen []outcome, calm time.Time) Result {
	v := Result{Promise: "requests are served once the faults are over"}
	served, sent := 0, 0
	for _, o := range seen {
		if o.sent.Before(calm) || o.isCrashing {
			continue
		}
		sent++
		if o.status == http.StatusOK {
			served++
		}
	}
	v.check(sent > 0 && float64(served) >= servedShare*float64(sent), "%d of %d requests served in calm", served, sent)
	return v
}
