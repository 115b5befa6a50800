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

// Visit is one request that a leaf of a version got.
type Visit struct {
	Leaf, ID string
	// At is when it came, Done when the answer was due.
	At, Done time.Time
	// Bad says that the answer failed or was slow.
	Bad bool
}

// Version is the software that some leafs of a service run, which notes all that they are asked; safe for
// concurrent use.
type Version struct {
	service, name string
	work          time.Duration
	fault         Fault

	mu      sync.Mutex
	ordered time.Time
	isOver  bool
	visits  []Visit
}

// NewVersion makes a version whose leafs work so long on a request, with a fault, the zero one being none.
func NewVersion(service, name string, work time.Duration, fault Fault) *Version {
	return &Version{service: service, name: name, work: work, fault: fault}
}

// Service is the service that the version is of.
func (v *Version) Service() string { return v.service }

// Name is what the leafs' records tell.
func (v *Version) Name() string { return v.name }

// Fault is what is bad with the version.
func (v *Version) Fault() Fault { return v.fault }

// Order notes when an order named the version.
func (v *Version) Order(now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ordered = now
}

// Stop has the leafs end like processes that are killed: who asks them gets no answer. What they are asked is still
// noted.
func (v *Version) Stop() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isOver = true
}

// Visits gives all requests so far.
func (v *Version) Visits() []Visit {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.visits)
}

// Answer notes a request at a leaf and gives its answer, whose body is the given one unless it fails. A request
// that names no leaf is a look at its health.
func (v *Version) Answer(leaf string, asked httpleaf.Request, body []byte) httpleaf.Answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.isOver {
		v.note(leaf, asked, 0, false)
		return httpleaf.Answer{Dropped: true}
	}
	answer := httpleaf.Answer{Delay: v.work, Body: body, Load: "0,0,4", KeepAliveSeconds: 20}
	isBad := false
	if v.isIll(leaf, asked) {
		answer.Delay = time.Duration(float64(v.work) * max(1, v.fault.Slower))
		if rand.Float64() < v.fault.Failing {
			answer.Status, answer.Body = http.StatusInternalServerError, nil
		}
		isBad = answer.Status != 0 || v.fault.Slower > 1
	}
	v.note(leaf, asked, answer.Delay, isBad)
	return answer
}

func (v *Version) note(leaf string, asked httpleaf.Request, delay time.Duration, isBad bool) {
	if asked.Incarnation != "" {
		v.visits = append(v.visits, Visit{Leaf: leaf, ID: asked.ID, At: asked.At, Done: asked.At.Add(delay), Bad: isBad})
	}
}

// isIll reports whether the fault shows on a request now. The lock must be held.
func (v *Version) isIll(leaf string, asked httpleaf.Request) bool {
	isIn := v.fault.IsBad() && asked.Incarnation != "" && strings.HasPrefix(asked.Target, v.fault.Prefix)
	if !isIn || v.ordered.IsZero() || asked.At.Sub(v.ordered) < v.fault.After {
		return false
	}
	atOnce, lately := v.load(leaf, asked.At)
	return atOnce+1 > v.fault.AtOnce && lately+1 > v.fault.PerSecond
}

// load gives how many requests a leaf works on and how many came within a second. The lock must be held.
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
