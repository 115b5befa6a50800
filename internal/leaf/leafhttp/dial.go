package leafhttp

import (
	"bufio"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/portgauge/portgauge/internal/memorybudget"
)

// dial opens a connection to the target's address, which must be an IPv4 address and port.
func dial(ctx context.Context, p *Pool, target Target) (*connection, error) {
	dialer := net.Dialer{
		Timeout:   p.cfg.ConnectTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			return boundSilence(raw, p.cfg.SilenceTimeout)
		},
	}
	opened, err := dialer.DialContext(ctx, "tcp4", target.Address)
	if err != nil {
		return nil, err
	}
	socket := opened.(*net.TCPConn)
	heads := memorybudget.NewHeadReader(socket)
	return &connection{
		pool: p, leafID: target.LeafID, account: p.account(target.LeafID), socket: socket, heads: heads,
		reader: bufio.NewReaderSize(heads, readBufferBytes), idleLimit: p.cfg.IdleTimeout,
	}, nil
}

// boundSilence makes the kernel close a connection whose sent bytes remain unacknowledged for longer than the limit.
func boundSilence(raw syscall.RawConn, limit time.Duration) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
