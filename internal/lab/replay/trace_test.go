package replay

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/process"
)

const validHeader = `{"header":{"name":"t","seed":1,"dataset":"tiles","records":10,"duration_ms":1000,` +
	`"nodes":[{"id":"n","zone":"z"}],"leafs":[{"id":"l","zone":"z","slots":1,"median_ms":1,"snapshots":["v1"]}],` +
	`"services":[{"name":"s","leafs":["l"],"snapshot":"v1","shards":1,"replicas":1}]}}` + "\n"

const validOutcome = `{"outcome":{"check":"own_answers"}}` + "\n"

func TestCommittedTracesAreValid(t *testing.T) {
	is := is.New(t)
	paths, err := filepath.Glob("../../../traces/*.jsonl")
	is.NoErr(err)
	is.True(len(paths) >= 10)
	for _, path := range paths {
		_, err := Read(path)
		is.NoErr(err)
	}
}

// The trace runs against real processes, which Run starts and kills. Outcomes with a time bound are checked by the replay command
// only.
func TestReplayOfShortestTracePasses(t *testing.T) {
	is := is.New(t)
	here, err := os.Getwd()
	is.NoErr(err)
	t.Chdir(filepath.Join(here, "..", "..", ".."))
	trace, err := Read(filepath.Join("traces", "01-one-snapshot.jsonl"))
	is.NoErr(err)
	programs, err := process.Build(t.TempDir())
	is.NoErr(err)
	trace.Outcomes = slices.DeleteFunc(trace.Outcomes, func(outcome Outcome) bool { return outcome.WithinMS > 0 })
	is.True(len(trace.Outcomes) > 0)
	passed, failed, err := Run(t.Context(), trace, programs, t.Output())
	is.NoErr(err)
	is.Equal(passed, len(trace.Outcomes))
	is.Equal(failed, 0)
}

func TestParseRejectsMalformedTraceWithLineAndField(t *testing.T) {
	cases := map[string]struct {
		content string
		words   []string
	}{
		"not JSON":        {validHeader + "nonsense\n", []string{"line 2"}},
		"unknown field":   {validHeader + `{"event":{"at_ms":1,"kil":{}}}`, []string{"line 2", "kil"}},
		"no header":       {validOutcome, []string{"line 1", "header"}},
		"two headers":     {validHeader + validHeader, []string{"line 2", "second header"}},
		"no outcome":      {validHeader, []string{"no outcome"}},
		"unknown check":   {validHeader + `{"outcome":{"check":"luck"}}`, []string{"line 2", "check", "luck"}},
		"unknown process": {validHeader + `{"event":{"at_ms":1,"kill":{"process":"x"}}}`, []string{"kill.process"}},
		"two kinds":       {validHeader + `{"event":{"at_ms":1,"kill":{"process":"l"},"wake":{"process":"l"}}}`, []string{"exactly one"}},
		"too late":        {validHeader + `{"event":{"at_ms":2000,"kill":{"process":"l"}}}`, []string{"at_ms"}},
		"cut of one":      {validHeader + `{"event":{"at_ms":1,"cut":{"between":["z"]}}}`, []string{"cut.between"}},
		"rate":            {validHeader + `{"event":{"at_ms":1,"load":{"service":"s","nodes":["n"],"until_ms":9,"per_second":0}}}`, []string{"load.per_second"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("trace", []byte(test.content))
			is.True(failure.Is(err, failure.InvalidField))
			for _, word := range test.words {
				is.True(strings.Contains(err.Error(), word)) // the message names the line, field or fault
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validHeader + validOutcome))
	f.Fuzz(func(_ *testing.T, content []byte) {
		// Parse may return an error but must not panic.
		_, _ = Parse("fuzz", content)
	})
}
