package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/lab/load"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// Shape of the overload experiment: 8 leafs of 5 slots at 10 ms, each query on 8 shards, give
// a capacity of 8*5/10ms/8 = 500 queries a second.
const (
	overloadLeafs    = 8
	overloadShards   = 8
	overloadSlots    = 5
	overloadMedian   = 10 * time.Millisecond
	overloadCapacity = 480
	overloadDeadline = 300 * time.Millisecond
	urgentPerSecond  = 20
)

// runOverload brings arrivals of 0.5 to 3 times the capacity to a bulk service, beside a
// small urgent one on the same leafs.
func runOverload(ctx context.Context, options Options, programs process.Programs, output io.Writer) error {
	plan := leafPlan{count: overloadLeafs, slots: overloadSlots, queuePerSlot: 2, median: overloadMedian, zones: []string{zoneName}}
	bulk := wideSpec("archive", true)
	bulk.Urgency = adminv1.Urgency_URGENCY_BULK
	bulk.ConcurrencyLimit, bulk.QueueLimit = 64, 64
	urgent := wideSpec("lookup", true)
	urgent.Urgency = adminv1.Urgency_URGENCY_URGENT
	services := []servicePlan{
		{spec: bulk, shards: overloadShards, replicas: 2, end: plan.count},
		{spec: urgent, shards: overloadShards, replicas: 2, end: plan.count},
	}
	c, err := startCluster(ctx, programs, plan, []nodePlan{{name: "today", zone: zoneName}}, services)
	if err != nil {
		return err
	}
	defer c.stop()
	peak := 0.0
	unloaded := 0.0
	for _, factor := range []float64{0.05, 0.5, 0.8, 1, 1.5, 2, 3} {
		bulkResult, urgentResult, err := c.runBoth(ctx, factor, options)
		if err != nil {
			return err
		}
		peak = max(peak, bulkResult.Goodput)
		if unloaded == 0 {
			unloaded = urgentResult.AnswerMillis.P99
		}
		_, err = fmt.Fprintf(output, "%.2fx: goodput %.0f/s (%.2f of peak), answers p99 %.1f ms, late %d, refusals p50 %.1f p99 %.1f ms, failures %v; urgent p99 %.1f ms (%.2f of unloaded), urgent failures %v\n",
			factor, bulkResult.Goodput, bulkResult.Goodput/peak, bulkResult.AnswerMillis.P99, bulkResult.Late,
			bulkResult.RefusalMillis.P50, bulkResult.RefusalMillis.P99, bulkResult.Failures,
			urgentResult.AnswerMillis.P99, urgentResult.AnswerMillis.P99/unloaded, urgentResult.Failures)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) runBoth(ctx context.Context, factor float64, options Options) (bulk, urgent load.Result, err error) {
	var running sync.WaitGroup
	var urgentErr error
	running.Go(func() {
		urgent, urgentErr = c.run(ctx, "today", load.Config{
			Service: "lookup", PerSecond: urgentPerSecond, Duration: options.Slice, Deadline: overloadDeadline, Limit: tailPageSize, Seed: 2,
		})
	})
	bulk, err = c.run(ctx, "today", load.Config{
		Service: "archive", PerSecond: factor * overloadCapacity, Duration: options.Slice, Deadline: overloadDeadline, Limit: tailPageSize, Seed: 1,
	})
	running.Wait()
	if err == nil {
		err = urgentErr
	}
	return bulk, urgent, err
}
