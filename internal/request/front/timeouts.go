package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// connectionTimeouts closes connections that exceed the current idle or header timeout. The limits may change while a
// connection is open, whereas the timeouts of http.Server are fixed when it starts.
type connectionTimeouts struct {
	limits func() routing.Limits

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnectionTimeouts(limits func() routing.Limits) *connectionTimeouts {
	return &connectionTimeouts{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// stateChanged restarts or stops the timer of a connection: the idle timeout until the first byte of a request, then
// the header timeout. It is the server's ConnState hook.
func (t *connectionTimeouts) stateChanged(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		t.arm(connection, t.limits().IdleTimeout())
	case http.StateActive:
		t.arm(connection, t.limits().HeaderTimeout())
	case http.StateClosed, http.StateHijacked:
		t.disarm(connection)
	}
}

// stopHeaderTimer stops the timer of a connection whose request header has been read, since the header timeout doesn't
// apply to the body.
func (t *connectionTimeouts) stopHeaderTimer(connection net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer, found := t.timers[connection]; found {
		timer.Stop()
	}
}

// arm closes the connection after the limit, unless its state changes before.
func (t *connectionTimeouts) arm(connection net.Conn, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer, found := t.timers[connection]; found {
		timer.Reset(limit)
		return
	}
	t.timers[connection] = time.AfterFunc(limit, func() {
		// An error means that the connection has already been closed.
		if err := connection.Close(); err != nil {
			return
		}
	})
}

func (t *connectionTimeouts) disarm(connection net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if timer, found := t.timers[connection]; found {
		timer.Stop()
		delete(t.timers, connection)
	}
}
