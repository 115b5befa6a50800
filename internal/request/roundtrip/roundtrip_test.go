package roundtrip

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The kernel has an estimate for an open connection, and there is none without a connection.
func TestOf(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(listener.Close()) }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer func() { is.NoErr(dialled.Close()) }()
	estimate := Of(dialled)
	is.True(estimate.Mean > 0)
	is.True(estimate.High() >= estimate.Mean)
	is.Equal(Of(nil), Estimate{})
}

// The high estimate grows with the deviation.
func TestMostlyCountsDeviations(t *testing.T) {
	is := is.New(t)
	is.Equal(Estimate{Mean: 6400 * time.Microsecond, Deviation: 1600 * time.Microsecond}.High(), 9600*time.Microsecond)
}
