package front

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// roundTrip gives the kernel's estimate of the way to a caller and back; 0 when it has none.
func roundTrip(connection net.Conn) time.Duration {
	tcp, isTCP := connection.(*net.TCPConn)
	if !isTCP {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	var estimate time.Duration
	err = raw.Control(func(descriptor uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			estimate = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return estimate
}
