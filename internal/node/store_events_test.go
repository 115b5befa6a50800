package node

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/node/decisionlog"
	"github.com/portgauge/portgauge/internal/node/telemetry"
)

// A restore of the store must be logged with the position before it, and the gauges must show the current position.
func TestStoreRestoreIsLogged(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	metrics := telemetry.NewMetrics()
	log := decisionlog.New(decisionlog.DefaultConfig(), &output, func() {})
	events := newStoreEvents(metrics, log)
	for _, outcome := range []store.CallOutcome{
		{Call: "kv-range", Status: 200, Epoch: 1, Revision: 40},
		{Call: "kv-watch", Status: 200, Epoch: 1, Revision: 65},
		{Call: "kv-watch"}, // a call without an answer has no epoch
		{Call: "kv-keep", Status: 200, Epoch: 2},
		{Call: "kv-watch", Status: 410, Epoch: 2},
		{Call: "kv-range", Status: 200, Epoch: 2, Revision: 62},
	} {
		events.called(outcome)
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	log.Run(cancelled)
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], `"event":"store_found","call":"kv-range","epoch":1,"revision":40`))
	is.True(strings.Contains(lines[1], `"event":"store_restored","call":"kv-keep","epoch":2,"before":{"epoch":1,"revision":65}`))
	families, err := metrics.Registry.Gather()
	is.NoErr(err)
	gauges := map[string]float64{}
	for _, family := range families {
		if strings.Contains(family.GetName(), "store_") && family.Metric[0].GetGauge() != nil {
			gauges[family.GetName()] = family.Metric[0].GetGauge().GetValue()
		}
	}
	is.Equal(gauges["portgauge_store_epoch"], 2.0)
	is.Equal(gauges["portgauge_store_revision"], 62.0)
}
