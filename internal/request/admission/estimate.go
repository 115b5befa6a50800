package admission

import (
	"math"
	"time"
)

// serviceTimeWeight is the share of a new sample in the moving average service time.
const serviceTimeWeight = 0.05

// neededFactor is how many times the average service time a query must have left to be worth
// starting.
const neededFactor = 1.5

// needed returns the time that a query must have left when it starts. The mutex must be held.
func (g *Gate) needed() time.Duration {
	return time.Duration(neededFactor * g.serviceTime * float64(time.Second))
}

// expectedWait returns the expected wait of a query behind others in the queue. The mutex must be held.
func (g *Gate) expectedWait(ahead int) time.Duration {
	return time.Duration(float64(ahead+1) * g.serviceTime / math.Max(1, g.limitInUse) * float64(time.Second))
}
