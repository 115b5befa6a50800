package rollouts

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
)

// Visit is a request that a leaf of a version received.
type Visit struct {
	Leaf, ID string
	// At is when it was received, Done when the answer was due.
	At, Done time.Time
	// Bad marks an answer that failed or was slow.
	Bad bool
}

// Version is the software that some leafs of a service run. It records the requests that they receive; safe for concurrent
// use.
type Version struct {
	service, name string
	work          time.Duration
	fault         Fault

	mu      sync.Mutex
	ordered time.Time
	isOver  bool
	visits  []Visit
}

// NewVersion returns a version with a service time and a fault.
func NewVersion(service, name string, work time.Duration, fault Fault) *Version {
	return &Version{service: service, name: name, work: work, fault: fault}
}

// Service returns the service of the version.
func (v *Version) Service() string { return v.service }

// Name returns the version's name in the leafs' records.
func (v *Version) Name() string { return v.name }

// Fault returns what is wrong with the version.
func (v *Version) Fault() Fault { return v.fault }

// Order notes the time of the order that names the version.
func (v *Version) Order(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ordered = now
}

// Stop makes the leafs drop all requests, as if their processes had been killed. The requests are still recorded.
func (v *Version) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isOver = true
}

// Visits returns all requests so far.
func (v *Version) Visits() []Visit {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.visits)
}

// Answer records a request at a leaf and returns the leaf's answer, with the given body unless it fails. A request that
// names no incarnation is a health check.
func (v *Version) Answer(leaf string, request httpleaf.Request, body []byte) httpleaf.Answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isOver {
		v.note(leaf, request, 0, false)
		return httpleaf.Answer{Dropped: true}
	}
	answer := httpleaf.Answer{Delay: v.work, Body: body, Load: "0,0,4", KeepAliveSeconds: 20}
	isBad := false
	if v.showsFault(leaf, request) {
		answer.Delay = time.Duration(float64(v.work) * max(1, v.fault.Slower))
		if rand.Float64() < v.fault.Failing {
			answer.Status, answer.Body = http.StatusInternalServerError, nil
		}
		isBad = answer.Status != 0 || v.fault.Slower > 1
	}
	v.note(leaf, request, answer.Delay, isBad)
	return answer
}

func (v *Version) note(leaf string, request httpleaf.Request, delay time.Duration, isBad bool) {
	if request.Incarnation != "" {
		v.visits = append(v.visits, Visit{Leaf: leaf, ID: request.ID, At: request.At, Done: request.At.Add(delay), Bad: isBad})
	}
}

// showsFault reports whether the fault shows in a request. The caller must hold the lock.
func (v *Version) showsFault(leaf string, request httpleaf.Request) bool {
	isIn := v.fault.IsBad() && request.Incarnation != "" && strings.HasPrefix(request.Target, v.fault.Prefix)
	if !isIn || v.ordered.IsZero() || request.At.Sub(v.ordered) < v.fault.After {
		return false
	}
	atOnce, lately := v.load(leaf, request.At)
	return atOnce+1 > v.fault.AtOnce && lately+1 > v.fault.PerSecond
}

// load returns how many requests a leaf is working on and how many it received in the last second. The caller must hold the
// lock.
func (v *Version) load(leaf string, now time.Time) (atOnce, lately int) {
	for _, visit := range slices.Backward(v.visits) {
		if now.Sub(visit.At) > time.Second {
			break
		}
		if visit.Leaf != leaf {
			continue
		}
		lately++
		if visit.Done.After(now) {
			atOnce++
		}
	}
	return atOnce, lately
}
