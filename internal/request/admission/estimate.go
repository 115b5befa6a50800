package admission

import (
	"math"
	"time"
)

// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
const serviceTimeWeight = 0.05

// neededTimeFactor is the time that a query must have left when it starts, as a multiple of the average service time.
const neededTimeFactor = 1.5

// neededTime returns the time that a query must have left when it starts. g.mu must be held.
func (g *Gate) neededTime() time.Duration {
	return time.Duration(neededTimeFactor * g.serviceTime * float64(time.Second))
}

// expectedWait returns the expected wait of a query with the given number of queries ahead of it in the queue.
// g.mu must be held.
func (g *Gate) expectedWait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * g.serviceTime / math.Max(1, g.limitInUse) * float64(time.Second))
}
