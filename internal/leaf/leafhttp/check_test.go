package leafhttp

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

func runCheck(t *testing.T, p *Pool, target Target, wasReset bool) bool {
	t.Helper()
	reported := make(chan bool, 1)
	p.Check(target, wasReset, func(exited bool) { reported <- exited })
	select {
	case exited := <-reported:
		return exited
	case <-time.After(5 * time.Second):
		t.Fatal("the check did not report a result within 5 s")
		return false
	}
}

// A broken answer does not show whether the leaf exited or only lost a connection. The check of its address does.
func TestCheckDistinguishesExitFromLostConnection(t *testing.T) {
	is := is.New(t)
	leaf, err := httpleaf.Start("leaf-1", httpnames.Default(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{Dropped: true} })
	is.NoErr(err)
	pool := New(DefaultConfig(), httpnames.Default(), nil)
	defer pool.Close()
	target := Target{LeafID: leaf.ID, Address: leaf.Address(), Connections: 2}
	is.True(!runCheck(t, pool, target, false)) // the leaf is alive
	is.Equal(pool.OpenConnections(), 1)        // the check's connection is kept idle
	is.True(!runCheck(t, pool, target, true))
	is.Equal(pool.OpenConnections(), 1) // the check opened no connection to a leaf that refuses them
	leaf.Stop()
	is.True(runCheck(t, pool, target, false))
	is.True(runCheck(t, pool, target, false)) // the result is kept
}

// A dial timeout does not show that the leaf exited: its machine may be unreachable.
func TestSilentAddressIsNotReportedAsExited(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	cfg := DefaultConfig()
	cfg.ConnectTimeout = time.Nanosecond // every dial times out
	pool := New(cfg, httpnames.Default(), nil)
	defer pool.Close()
	is.True(!runCheck(t, pool, Target{LeafID: "leaf-1", Address: silent.Addr().String(), Connections: 1}, false))
}
