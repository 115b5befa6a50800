package demo

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The demonstration, the README's first command, ends by itself and shows a missing range.
func TestDemoRuns(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	is.NoErr(Run(&output))
	is.True(strings.Contains(output.String(), "coverage 1.000"))
	is.True(strings.Contains(output.String(), "missing ["))
}
