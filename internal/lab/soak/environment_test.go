package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// newEndedNode returns a node whose process has ended.
func newEndedNode(t *testing.T) *nodeState {
	t.Helper()
	ended, err := process.Start("node-9", "/bin/true")
	if err != nil {
		t.Fatal(err)
	}
	ended.Kill()
	return &nodeState{name: "node-9", process: ended}
}

func TestCheckStartedFailsIfANodeHasEnded(t *testing.T) {
	is := is.New(t)
	e := &environment{}
	is.NoErr(e.checkStarted())
	e.nodes = append(e.nodes, newEndedNode(t))
	is.True(e.checkStarted() != nil)
}

func TestWriteLogsCreatesTheDirectory(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "new")
	e := &environment{nodes: []*nodeState{newEndedNode(t)}}
	is.NoErr(e.writeLogs(dir))
	_, err := os.Stat(filepath.Join(dir, "node-9.log"))
	is.NoErr(err)
}
