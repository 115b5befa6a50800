package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The time that a caller spent on its connection is subtracted from the objective once, whether or not the route's
// longest timeout is known.
func TestConnectTimeShortensObjective(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	const trip = 6 * time.Millisecond
	objective := 200*time.Millisecond - 2*trip - DefaultConfig().ObjectiveReserve
	for range minimumObservations {
		request := newRequest("/pages/1")
		request.RoundTrip, request.ConnectTime = trip, trip
		routed, err := g.routeRequest(request)
		is.NoErr(err)
		is.Equal(routed.objective.Sub(request.Arrived), objective)
	}
	late := newRequest("/pages/1")
	late.CallerTimeout -= trip // the caller has also subtracted it from its timeout
	late.RoundTrip, late.ConnectTime = trip, trip
	routed, err := g.routeRequest(late)
	is.NoErr(err)
	is.Equal(routed.objective.Sub(late.Arrived), objective)
}
