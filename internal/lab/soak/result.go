package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// maxShownCases is the maximum number of broken cases that Report writes per guarantee.
const maxShownCases = 5

// Result is the result of checking a guarantee.
type Result struct {
	Guarantee string
	// Checked is the number of cases that were checked.
	Checked int
	// Broken describes the cases that broke the guarantee.
	Broken []string
}

// check counts a case, and adds its description to Broken if the guarantee was not kept.
func (r *Result) check(kept bool, format string, arguments ...any) {
	r.Checked++
	if !kept {
		r.Broken = append(r.Broken, fmt.Sprintf(format, arguments...))
	}
}

// hasBroken reports whether any guarantee was broken.
func hasBroken(results []Result) bool {
	return slices.ContainsFunc(results, func(r Result) bool { return len(r.Broken) > 0 })
}

// Report writes a line for each guarantee, followed by the first cases that broke it. It returns the numbers of
// guarantees that were kept and broken.
func Report(results []Result, out io.Writer) (passed, failed int) {
	for _, result := range results {
		if len(result.Broken) == 0 {
			passed++
			_, _ = fmt.Fprintf(out, "PASS %s (%d checked)\n", result.Guarantee, result.Checked)
			continue
		}
		failed++
		shown := result.Broken[:min(len(result.Broken), maxShownCases)]
		_, _ = fmt.Fprintf(out, "FAIL %s (%d of %d)\n  %s\n", result.Guarantee, len(result.Broken), result.Checked, strings.Join(shown, "\n  "))
	}
	return passed, failed
}
