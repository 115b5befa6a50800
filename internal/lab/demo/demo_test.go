package demo

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The demonstration, which is the first command in the README, must end by itself.
func TestDemoReportsFullCoverageAndMissingRange(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	is.NoErr(Run(&output))
	is.True(strings.Contains(output.String(), "coverage 1.000"))
	is.True(strings.Contains(output.String(), "missing ["))
}
