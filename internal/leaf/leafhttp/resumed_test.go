package leafhttp

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/httpleaf"
	"github.com/portgauge/portgauge/internal/request/httpnames"
)

// Connections that exceeded their idle limit while the machine was suspended are closed.
func TestResumedExpiresIdleConnections(t *testing.T) {
	is := is.New(t)
	leaf, err := httpleaf.Start("leaf-1", httpnames.Default(), func(httpleaf.Request) httpleaf.Answer { return httpleaf.Answer{} })
	is.NoErr(err)
	defer leaf.Stop()
	pool := New(DefaultConfig(), httpnames.Default(), nil)
	defer pool.Close()
	is.True(!runCheck(t, pool, Target{LeafID: leaf.ID, Address: leaf.Address(), Connections: 1}, false))
	pool.Resumed(time.Second)
	is.Equal(pool.OpenConnections(), 1)
	pool.Resumed(DefaultConfig().IdleTimeout)
	is.Equal(pool.OpenConnections(), 0)
}
