package roundtrip

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Of returns an estimate for an open TCP connection, and none for nil.
func TestOfReturnsEstimateForTCPConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(connection.Close()) }()
	estimate := Of(connection)
	is.True(estimate.Mean > 0)
	is.True(estimate.High() >= estimate.Mean)
	is.Equal(Of(nil), Estimate{})
}

// High is the mean plus two deviations.
func TestHighAddsTheDeviation(t *testing.T) {
	is := is.New(t)
	is.Equal(Estimate{Mean: 6400 * time.Microsecond, Deviation: 1600 * time.Microsecond}.High(), 9600*time.Microsecond)
}
