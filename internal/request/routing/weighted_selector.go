package routing

import (
	"math/rand/v2"
	"sync"
)

// WeightedSelector distributes the requests of weighted routes over their services, so that at any time the number of
// requests of each service differs from its weighted fraction by at most two. It is safe for concurrent use.
//
// It uses smooth weighted round-robin: each request adds every service's weight to its credit, and the service with the
// highest credit receives the request and is debited the total weight. The initial credits are random, so that nodes
// that start together don't select the same services at the same time.
type WeightedSelector struct {
	mu     sync.Mutex
	routes map[string][]float64 // the credit of each service, by WeightKey
}

func NewWeightedSelector() *WeightedSelector {
	return &WeightedSelector{routes: map[string][]float64{}}
}

// maximumRoutes is the maximum number of routes whose credits are kept; if it is exceeded, all credits are reset.
const maximumRoutes = 4096

// Next returns the index of the weighted service that receives the route's next request. A service that is overloaded
// or has no leafs is still selected by its weight: operators weight services that differ, such as two versions, and
// requests for one must not be sent to the other.
func (s *WeightedSelector) Next(entry *Entry) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	credits, found := s.routes[entry.WeightKey]
	if !found {
		if len(s.routes) >= maximumRoutes {
			clear(s.routes)
		}
		credits = initialCredits(entry.Weighted)
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

// initialCredits returns random credits that sum to zero, each with a magnitude below the total weight.
func initialCredits(services []WeightedService) []float64 {
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
