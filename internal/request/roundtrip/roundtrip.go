// Package roundtrip returns the kernel's estimate of the round-trip time of a TCP connection.
//
// The package has no state; it reads TCP_INFO from the socket on each call. Connections that are not TCP have no
// estimate. Times have the kernel's resolution of a microsecond.
package roundtrip

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Estimate is an estimate of a connection's round-trip time. The zero value means that there is no estimate.
type Estimate struct {
	Mean time.Duration
	// Deviation is the mean deviation from Mean.
	Deviation time.Duration
}

// highDeviations is the number of mean deviations above the mean that few round trips exceed.
const highDeviations = 2

// High returns a round-trip time that few round trips exceed.
func (e Estimate) High() time.Duration { return e.Mean + highDeviations*e.Deviation }

// Of returns the estimate of a connection, or the zero value if there is none.
func Of(connection net.Conn) Estimate {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return Estimate{}
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Estimate{}
	}
	var estimate Estimate
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			estimate.Mean = time.Duration(info.Rtt) * time.Microsecond
			estimate.Deviation = time.Duration(info.Rttvar) * time.Microsecond
		}
	})
	if err != nil {
		return Estimate{}
	}
	return estimate
}
