package routing

import (
	"math/rand/v2"
	"sync"
)

// Shares deals the requests of weighted routes to their services so that each service's share
// stays within one request of its weight, at every moment. It is safe for concurrent use.
//
// This is smooth weighted round-robin: each service earns its weight with every request, and
// the one with the most credit takes the request and pays the total. The first credits are
// drawn at random, so that many nodes that start together don't deal in step.
type Shares struct {
	mutex  sync.Mutex
	routes map[string][]float64 // credit of each part, by WeightKey
}

// NewShares makes an empty dealer.
func NewShares() *Shares { return &Shares{routes: map[string][]float64{}} }

// maximumKeptRoutes bounds the routes whose credits are kept; beyond it all start anew.
const maximumKeptRoutes = 4096

// Next gives the index of the part of a weighted route that takes the next request. A part that is short
// of room, or has no leaf, keeps its share: operators weigh services that are not alike, as two versions,
// and what one can't take must not go to another.
func (s *Shares) Next(entry *Entry) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credits, found := s.routes[entry.WeightKey]
	if !found {
		if len(s.routes) >= maximumKeptRoutes {
			clear(s.routes)
		}
		credits = firstCredits(entry.Weighted)
		s.routes[entry.WeightKey] = credits
	}
	best, total := -1, 0.0
	for index, part := range entry.Weighted {
		if part.Weight <= 0 {
			continue
		}
		credits[index] += part.Weight
		total += part.Weight
		if best < 0 || credits[index] > credits[best] {
			best = index
		}
	}
	if best < 0 {
		return 0
	}
	credits[best] -= total
	return best
}

// firstCredits draws credits that sum to zero, each less than the total weight.
func firstCredits(parts []WeightedService) []float64 {
	credits := make([]float64, len(parts))
	total := 0.0
	for _, part := range parts {
		total += part.Weight
	}
	sum := 0.0
	for index, part := range parts {
		credits[index] = part.Weight * (rand.Float64() - 0.5)
		sum += credits[index]
	}
	for index := range credits {
		credits[index] -= sum / float64(len(credits))
	}
	return credits
}
