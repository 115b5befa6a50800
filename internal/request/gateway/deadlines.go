package gateway

import (
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
	"github.com/portgauge/portgauge/internal/request/servingtree"
)

// A request has two times. At its objective a gathered answer is sent if it has enough parts. Without enough parts, and
// for single requests, the leafs have until the deadline, when the request times out. Both are set here, once; only a
// suspension of the machine moves the deadline (suspension.go).

// roundTripObjectiveDivisor bounds the round trip to the caller plus ObjectiveReserve to half of the objective.
const roundTripObjectiveDivisor = 2

// callerReserveDivisor bounds the time for sending the answer to a quarter of the caller's timeout.
const callerReserveDivisor = 4

// setTimes sets the times of a caller's request. The deadline is the route's timeout after the arrival or, if that is
// earlier, the caller's timeout less AnswerReserve and the round trip, which take at most a quarter of it. The
// objective is the route's, less callerOverhead. A partial answer is sent earlier by this node's lag, so that it is
// complete by the objective.
func (g *Gateway) setTimes(r *routedRequest) {
	r.deadline = r.Arrived.Add(r.route.Timeout)
	r.objective = r.Arrived.Add(r.route.Objective - g.callerOverhead(r.Request, r.route))
	r.answerBy = r.objective.Add(-g.lag.expected(r.route.Objective))
	r.lateAfter = r.objective.Add(g.cfg.ObjectiveReserve)
	if r.CallerTimeout <= 0 {
		return
	}
	reserve := min(g.cfg.AnswerReserve+r.RoundTrip, r.CallerTimeout/callerReserveDivisor)
	if callerDeadline := r.Arrived.Add(r.CallerTimeout - reserve); callerDeadline.Before(r.deadline) {
		r.deadline = callerDeadline
	}
}

// setGroupTimes sets the times of a group of shards for another node: the time that is left according to that node's
// message.
func (g *Gateway) setGroupTimes(r *routedRequest, request servingtree.Request) {
	r.deadline = r.Arrived.Add(time.Duration(request.DeadlineMicros) * time.Microsecond)
	r.objective = r.Arrived.Add(time.Duration(request.ObjectiveMicros) * time.Microsecond)
	r.answerBy = r.objective.Add(-g.lag.expected(r.route.Objective))
	r.lateAfter = r.objective
}

// callerOverhead estimates the part of the objective that this node cannot use: the time that the caller spent before
// the request arrived, plus the round trip and ObjectiveReserve, which together take at most half of the objective.
func (g *Gateway) callerOverhead(request *Request, route *routing.Entry) time.Duration {
	roundTrip := min(request.RoundTrip+g.cfg.ObjectiveReserve, route.Objective/roundTripObjectiveDivisor)
	spent := request.ConnectTime
	if request.CallerTimeout > 0 {
		spent = max(spent, g.timeouts.spent(route, request.CallerTimeout))
	}
	if spent+roundTrip >= route.Objective {
		// Either the objective is already lost, or this caller has a shorter timeout than the others.
		return roundTrip
	}
	return spent + roundTrip
}
