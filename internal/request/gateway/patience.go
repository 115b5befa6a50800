package gateway

import (
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// patienceBook learns how long callers of a route wait in all, so that a caller that comes
// with less is known to have spent time already: on a connection, or on an earlier try. It is
// safe for concurrent use.
type patienceBook struct {
	mu     sync.Mutex
	routes map[string]*usualPatience
}

// usualPatience is the longest patience seen lately, and how often it was seen.
type usualPatience struct {
	longest time.Duration
	seen    int
	since   time.Time
}

// Bounds of what is learnt: only a patience seen a few times counts, and one not seen for a
// while is forgotten.
const (
	patienceSightings = 5
	patienceMemory    = time.Minute
	maximumPatiences  = 4096
)

func newPatienceBook() *patienceBook {
	return &patienceBook{routes: map[string]*usualPatience{}}
}

// spent estimates how much of its time a caller has spent before the request came.
func (b *patienceBook) spent(entry *routing.Entry, patience time.Duration) time.Duration {
	key := entry.Host + entry.Prefix
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	usual, found := b.routes[key]
	if !found || now.Sub(usual.since) > patienceMemory {
		if len(b.routes) >= maximumPatiences {
			clear(b.routes)
		}
		usual = &usualPatience{}
		b.routes[key] = usual
	}
	switch {
	case patience > usual.longest:
		*usual = usualPatience{longest: patience, seen: 1, since: now}
	case patience == usual.longest:
		usual.seen++
		usual.since = now
	}
	if usual.seen < patienceSightings {
		return 0
	}
	return usual.longest - patience
}
