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
	told := make(chan bool, 1)
	p.Check(target, refused, func(ended bool) { told <- ended })
	select {
	case ended := <-told:
		return ended
	case <-time.After(5 * time.Second):
		t.Fatal("the check was never told of")
		return false
	}
}

// A broken answer alone does not tell a leaf that ended from one that lost a connection: its address does.
func TestCheckTellsAnEndFromALostConnection(t *testing.T) {
	is := is.New(t)
	leaf, err := httpleaf.Start("leaf-1", httpnames.Default(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Dropped: true} })
	is.NoErr(err)
	pool := New(DefaultConfig(), httpnames.Default(), nil)
	defer pool.Close()
	target := Target{LeafID: leaf.ID, Address: leaf.Address(), Connections: 2}
	is.True(!checked(t, pool, target, false)) // it lives
	is.Equal(pool.OpenConnections(), 1)       // the connection of the check rests
	is.True(!checked(t, pool, target, true))
	is.Equal(pool.OpenConnections(), 1) // a leaf with too many is not asked for one more
	leaf.Stop()
	is.True(checked(t, pool, target, false))
	is.True(checked(t, pool, target, false)) // known from then on
}

// A machine that is cut off or without power says nothing: its leaf may live.
func TestSilenceIsNoEnd(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	cfg := DefaultConfig()
	cfg.ConnectTimeout = time.Nanosecond // nothing comes up in time
	pool := New(cfg, httpnames.Default(), nil)
	defer pool.Close()
	is.True(!checked(t, pool, Target{LeafID: "leaf-1", Address: silent.Addr().String(), Connections: 1}, false))
}
