package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// What a caller spent on its connection is taken off the objective, whether or not its usual patience is
// known, and once only.
func TestConnectingShortensTheObjective(t *testing.T) {
	is := is.New(t)
	g, _ := newGateway(t, &scriptedLeafs{})
	const trip = 6 * time.Millisecond
	objective := 200*time.Millisecond - 2*trip - DefaultConfig().ObjectiveReserve
	for range patienceSightings {
		request := ask("/pages/1")
		request.RoundTrip, request.ConnectTime = trip, trip
		pinned, err := g.newQuery(request)
		is.NoErr(err)
		is.Equal(pinned.objective.Sub(request.Arrived), objective)
	}
	late := ask("/pages/1")
	late.CallerTimeout -= trip // the caller counts its connection itself
	late.RoundTrip, late.ConnectTime = trip, trip
	pinned, err := g.newQuery(late)
	is.NoErr(err)
	is.Equal(pinned.objective.Sub(late.Arrived), objective)
}
