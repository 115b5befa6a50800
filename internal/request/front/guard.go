package front

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/request/routing"
)

// connectionGuard closes connections that rest or send a header for longer than the limits in
// force allow. The limits change while connections are open, so the library's own bounds, which
// are fixed at its start, can't keep them.
type connectionGuard struct {
	limits func() routing.Limits

	mutex  sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newConnectionGuard(limits func() routing.Limits) *connectionGuard {
	return &connectionGuard{limits: limits, timers: map[net.Conn]*time.Timer{}}
}

// changed follows a connection's state; it is the server's ConnState hook.
func (g *connectionGuard) changed(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew, http.StateIdle:
		g.arm(connection, g.limits().IdleTimeout())
	case http.StateActive:
		g.arm(connection, g.limits().HeaderTimeout())
	case http.StateClosed, http.StateHijacked:
		g.disarm(connection)
	}
}

// arm closes the connection after a time unless its state changes before.
func (g *connectionGuard) arm(connection net.Conn, limit time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if timer, found := g.timers[connection]; found {
		timer.Reset(limit)
		return
	}
	g.timers[connection] = time.AfterFunc(limit, func() {
		// The connection may be closed already, which is as well.
		if err := connection.Close(); err != nil {
			return
		}
	})
}

func (g *connectionGuard) disarm(connection net.Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if timer, found := g.timers[connection]; found {
		timer.Stop()
		delete(g.timers, connection)
	}
}

// headerRead stops the clock of a connection whose request header is in.
func (g *connectionGuard) headerRead(connection net.Conn) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if timer, found := g.timers[connection]; found {
		timer.Stop()
	}
}
