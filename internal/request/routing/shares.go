package routing

import (
	"math/rand/v2"
	"sync"
)

// Shares distributes the requests of weighted routes over their services, so that at any moment each service has had
// its share of the requests to within two. It is safe for concurrent use.
//
// It is a smooth weighted round-robin: with each request every service earns its weight as credit, and the service with
// the most credit takes the request and pays the total. The first credits are random, so that nodes that start together
// don't choose in step.
type Shares struct {
	mutex  sync.Mutex
	routes map[string][]float64 // credit of each part, by WeightKey
}

// NewShares returns Shares without state.
func NewShares() *Shares { return &Shares{routes: map[string][]float64{}} }

// maximumKeptRoutes bounds the routes whose credits are kept; beyond it all start again.
const maximumKeptRoutes = 4096

// Next returns the index of the weighted service that takes the route's next request. A service that is overloaded or
// has no leaf keeps its share: operators weight services that differ, such as two versions, and the requests of one must
// not go to the other.
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
	for index, weighted := range entry.Weighted {
		if weighted.Weight <= 0 {
			continue
		}
		credits[index] += weighted.Weight
		total += weighted.Weight
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

// firstCredits returns random credits that sum to zero, each less than the total weight.
func firstCredits(services []WeightedService) []float64 {
	credits := make([]float64, len(services))
	total := 0.0
	for _, weighted := range services {
		total += weighted.Weight
	}
	sum := 0.0
	for index, weighted := range services {
		credits[index] = weighted.Weight * (rand.Float64() - 0.5)
		sum += credits[index]
	}
	for index := range credits {
		credits[index] -= sum / float64(len(credits))
	}
	return credits
}
