package soak

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// maximumShown bounds the broken cases that Report writes of each promise.
const maximumShown = 5

// Result is a promise with the cases that broke it.
type Result struct {
	Promise string
	// Checked is the number of cases that were checked.
	Checked int
	// Broken describes the cases that broke the promise.
	Broken []string
}

// check counts a case, and describes it if the promise wasn't kept.
func (v *Result) check(kept bool, format string, arguments ...any) {
	v.Checked++
	if !kept {
		v.Broken = append(v.Broken, fmt.Sprintf(format, arguments...))
	}
}

// hasBroken reports whether any promise was broken.
func hasBroken(results []Result) bool {
	return slices.ContainsFunc(results, func(v Result) bool { return len(v.Broken) > 0 })
}

// Report writes a line for each promise, and the first cases that broke it. It returns how many promises were kept and how
// many broken.
func Report(results []Result, out io.Writer) (passed, failed int) {
	for _, v := range results {
		if len(v.Broken) == 0 {
			passed++
			_, _ = fmt.Fprintf(out, "PASS %s (%d checked)\n", v.Promise, v.Checked)
			continue
		}
		failed++
		shown := v.Broken[:min(len(v.Broken), maximumShown)]
		_, _ = fmt.Fprintf(out, "FAIL %s (%d of %d)\n  %s\n", v.Promise, len(v.Broken), v.Checked, strings.Join(shown, "\n  "))
	}
	return passed, failed
}
