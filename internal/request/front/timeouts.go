package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// connectionTimeouts closes connections that are idle, or send a header, for longer than the limits in force allow. The
// limits may change while a connection is open, which the timeouts of http.Server, fixed when it starts, can't follow.
type connectionTimeouts struct {
	limits func() routing.Limits

	mutex  sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnectionTimeouts(limits func() routing.Limits) *connectionTimeouts {
	return &connectionTimeouts{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// stateChanged follows the state of a connection; it is the server's ConnState hook.
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

// headerRead stops the timer of a connection whose request header has been read: the body may take longer.
func (t *connectionTimeouts) headerRead(connection net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if timer, found := t.timers[connection]; found {
		timer.Stop()
	}
}

// arm has the connection closed after the limit, unless its state changes before.
func (t *connectionTimeouts) arm(connection net.Conn, limit time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if timer, found := t.timers[connection]; found {
		timer.Reset(limit)
		return
	}
	t.timers[connection] = time.AfterFunc(limit, func() {
		// An error means that the connection is closed already.
		if err := connection.Close(); err != nil {
			return
		}
	})
}

func (t *connectionTimeouts) disarm(connection net.Conn) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if timer, found := t.timers[connection]; found {
		timer.Stop()
		delete(t.timers, connection)
	}
}
