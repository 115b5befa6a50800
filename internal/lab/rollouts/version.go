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

// ReceivedRequest is a request that a leaf of a version received.
type ReceivedRequest struct {
	Leaf, ID string
	// At is the time at which the leaf received it, and Done the time at which the answer was due.
	At, Done time.Time
	// Bad marks an answer that failed or was slow.
	Bad bool
}

// Version is a version of a service that stand-in leafs run. It records the requests that they receive. It is safe for
// concurrent use.
type Version struct {
	service, name string
	serviceTime   time.Duration
	fault         Fault

	mu           sync.Mutex
	rolloutStart time.Time
	isStopped    bool
	requests     []ReceivedRequest
}

func NewVersion(service, name string, serviceTime time.Duration, fault Fault) *Version {
	return &Version{service: service, name: name, serviceTime: serviceTime, fault: fault}
}

func (v *Version) Service() string { return v.service }

// Name returns the version's name in the records of its leafs.
func (v *Version) Name() string { return v.name }

func (v *Version) Fault() Fault { return v.fault }

// SetRolloutStart sets the time at which the version's rollout starts.
func (v *Version) SetRolloutStart(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.rolloutStart = now
}

// Stop makes the leafs drop all requests, as if their processes had been killed. It still records the requests.
func (v *Version) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isStopped = true
}

// Requests returns the requests that the leafs have received so far.
func (v *Version) Requests() []ReceivedRequest {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.requests)
}

// Answer records a request at a leaf and returns the leaf's answer, with the given body unless it fails. A request without an
// incarnation is a health check, which is not recorded.
func (v *Version) Answer(leaf string, request httpleaf.Request, body []byte) httpleaf.Answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isStopped {
		v.record(leaf, request, 0, false)
		return httpleaf.Answer{Dropped: true}
	}
	answer := httpleaf.Answer{Delay: v.serviceTime, Body: body, Load: "0,0,4", KeepAliveSeconds: 20}
	isBad := false
	if v.showsFault(leaf, request) {
		answer.Delay = time.Duration(float64(v.serviceTime) * max(1, v.fault.Slower))
		if rand.Float64() < v.fault.Failing {
			answer.Status, answer.Body = http.StatusInternalServerError, nil
		}
		isBad = answer.Status != 0 || v.fault.Slower > 1
	}
	v.record(leaf, request, answer.Delay, isBad)
	return answer
}

// record records a request unless it is a health check. v.mu must be held.
func (v *Version) record(leaf string, request httpleaf.Request, delay time.Duration, isBad bool) {
	if request.Incarnation != "" {
		v.requests = append(v.requests, ReceivedRequest{Leaf: leaf, ID: request.ID, At: request.At, Done: request.At.Add(delay), Bad: isBad})
	}
}

// showsFault reports whether the fault affects a request. v.mu must be held.
func (v *Version) showsFault(leaf string, request httpleaf.Request) bool {
	isAffected := v.fault.IsBad() && request.Incarnation != "" && strings.HasPrefix(request.Target, v.fault.Prefix)
	if !isAffected || v.rolloutStart.IsZero() || request.At.Sub(v.rolloutStart) < v.fault.After {
		return false
	}
	inFlight, inLastSecond := v.load(leaf, request.At)
	return inFlight+1 > v.fault.AtOnce && inLastSecond+1 > v.fault.PerSecond
}

// load returns how many of the requests that a leaf received in the last second are in flight, and how many it received in
// that second. v.mu must be held.
func (v *Version) load(leaf string, now time.Time) (inFlight, inLastSecond int) {
	for _, request := range slices.Backward(v.requests) {
		if now.Sub(request.At) > time.Second {
			break
		}
		if request.Leaf != leaf {
			continue
		}
		inLastSecond++
		if request.Done.After(now) {
			inFlight++
		}
	}
	return inFlight, inLastSecond
}
