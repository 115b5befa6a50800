// Package roundtrip tells how long the way to the other end of a connection and back takes.
package roundtrip

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// Estimate is the kernel's estimate of the way to the other end and back; the zero value where it has none.
type Estimate struct {
	Mean time.Duration
	// Deviation is by how much a way usually differs from the mean.
	Deviation time.Duration
}

// rareDeviations is how many mean deviations beyond the mean few ways take. Where ways were 6.4 ms with a
// deviation of 1.6, 38 of 230 answers of an objective of 100 ms were late with none, 28 with 1, and 23 with 2.
const rareDeviations = 2

// High gives what the ways take at most, but for rare ones.
func (w Estimate) High() time.Duration { return w.Mean + rareDeviations*w.Deviation }

// Of gives the kernel's estimate for a connection.
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
