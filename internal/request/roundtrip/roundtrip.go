// Package roundtrip returns the kernel's estimate of the round-trip time of a TCP connection.
//
// It has no state; it reads TCP_INFO of the socket at each call. Other connections have no estimate. Times are
// durations with the kernel's resolution of a microsecond.
package roundtrip

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Estimate is an estimate of a connection's round-trip time; the zero value means that there is none.
type Estimate struct {
	Mean time.Duration
	// Deviation is the mean deviation from the mean.
	Deviation time.Duration
}

// rareDeviations is how many mean deviations beyond the mean only few round trips take.
const rareDeviations = 2

// High returns a time that only few round trips exceed.
func (e Estimate) High() time.Duration { return e.Mean + rareDeviations*e.Deviation }

// Of returns the estimate of a connection.
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
