package soak

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/lab/process"
)

// endedNode returns a node whose process ended at once.
func endedNode(t *testing.T) *nodeState {
	t.Helper()
	ended, err := process.Start("node-9", "/bin/true")
	if err != nil {
		t.Fatal(err)
	}
	ended.Kill()
	return &nodeState{name: "node-9", process: ended}
}

func TestNodeThatDidNotStartIsNamed(t *testing.T) {
	is := is.New(t)
	w := &environment{}
	is.NoErr(w.checkStarted())
	w.nodes = append(w.nodes, endedNode(t))
	is.True(w.checkStarted() != nil)
}

func TestLogsAreKeptInAFolderThatIsMade(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "new")
	w := &environment{nodes: []*nodeState{endedNode(t)}}
	is.NoErr(w.keepLogs(folder))
	_, err := os.Stat(filepath.Join(folder, "node-9.log"))
	is.NoErr(err)
}
