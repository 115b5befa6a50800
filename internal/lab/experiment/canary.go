package experiment

import (
	"context"
	"fmt"
	"io"

	"github.com/portgauge/portgauge/internal/lab/canary"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// runCanary weighs ways of telling a bad version from an unlucky one, in virtual time and without processes.
func runCanary(ctx context.Context, options Options, _ process.Programs, output io.Writer) error {
	ways := canary.Ways()
	totals := make([]canary.Total, len(ways))
	for _, of := range append(canary.Good(), canary.Bad()...) {
		measured, err := canary.WeighAll(ctx, of, ways, options.Repetitions)
		if err != nil {
			return err
		}
		for i := range measured {
			totals[i].Add(&measured[i])
			if _, err := fmt.Fprintln(output, measured[i].String()); err != nil {
				return err
			}
		}
	}
	for i, way := range ways {
		if _, err := fmt.Fprintln(output, way.Name, totals[i].String()); err != nil {
			return err
		}
	}
	return nil
}
