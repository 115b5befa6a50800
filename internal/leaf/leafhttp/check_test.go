package leafhttp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

func checked(t *testing.T, p *Pool, target Target, refused bool) bool {
	t.Helper()
	reported := make(chan bool, 1)
	p.Check(target, refused, func(exited bool) { reported <- exited })
	select {
	case exited := <-reported:
		return exited
	case <-time.After(5 * time.Second):
		t.Fatal("the check never reported")
		return false
	}
}

// A broken answer alone does not show whether a leaf exited or lost a connection: its address does.
func TestCheckTellsAnEndFromALostConnection(t *testing.T) {
	is := is.New(t)
	leaf, err := httpleaf.Start("leaf-1", httpnames.Default(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Dropped: true} })
	is.NoErr(err)
	pool := New(DefaultConfig(), httpnames.Default(), nil)
	defer pool.Close()
	target := Target{LeafID: leaf.ID, Address: leaf.Address(), Connections: 2}
	is.True(!checked(t, pool, target, false)) // it is alive
	is.Equal(pool.OpenConnections(), 1)       // the connection of the check is idle
	is.True(!checked(t, pool, target, true))
	is.Equal(pool.OpenConnections(), 1) // none more is opened to a leaf with too many
	leaf.Stop()
	is.True(checked(t, pool, target, false))
	is.True(checked(t, pool, target, false)) // the result is kept
}

// A machine that is cut off or without power sends nothing: its leaf may be alive.
func TestSilenceIsNoEnd(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	cfg := DefaultConfig()
	cfg.ConnectTimeout = time.Nanosecond // no connection is opened in time
	pool := New(cfg, httpnames.Default(), nil)
	defer pool.Close()
	is.True(!checked(t, pool, Target{LeafID: "leaf-1", Address: silent.Addr().String(), Connections: 1}, false))
}
