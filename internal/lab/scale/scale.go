// Package scale runs the control side of a fleet on one machine: hollow nodes, many to a
// process, beside real ones, around a stand-in platform. It measures how long accepted
// changes take to be in force everywhere and what control costs a node.
package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/portgauge/portgauge/internal/cli"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/hollow"
	"github.com/portgauge/portgauge/internal/lab/platform"
	"github.com/portgauge/portgauge/internal/lab/process"
)

// Config is one scale run.
type Config struct {
	// Nodes is how many hollow nodes run; RealNodes run beside them.
	Nodes     int
	RealNodes int
	Zones     int
	// Hosts is how many processes hold the hollow nodes.
	Hosts int
	// Settle is how long the fleet rests after its start before it is measured.
	Settle time.Duration
	// Steady is how long changes come at ChangesPerDay.
	Steady        time.Duration
	ChangesPerDay int
	// Burst is how many changes come in one second after that.
	Burst int
	// Leafs is how many leafs each service that is changed has.
	Leafs int
}

// Validate names every field at fault.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.Nodes < 1, "nodes", "must be at least 1")
	checks.Refuse(c.RealNodes < 1, "real-nodes", "must be at least 1, to take the changes")
	checks.Refuse(c.Zones < 1 || c.Zones > c.Nodes, "zones", "must be between 1 and the number of nodes")
	checks.Refuse(c.Hosts < 1 || c.Hosts > 100, "hosts", "must be between 1 and 100")
	checks.Refuse(c.Steady < time.Second, "steady", "must be at least 1s")
	checks.Refuse(c.Burst < 0, "burst", "must not be negative")
	checks.Refuse(c.Leafs < 1, "leafs", "must be at least 1")
	return checks.Err()
}

// Result is what one run measured.
type Result struct {
	Nodes         int     `json:"nodes"`
	NodesPerZone  int     `json:"nodes_per_zone"`
	Changes       int     `json:"changes"`
	ChangeBytes   int     `json:"change_bytes"`
	Started       string  `json:"started"`
	SteadyMillis  Spread  `json:"steady_in_force_ms"`
	BurstMillis   Spread  `json:"burst_in_force_ms"`
	NeverInForce  int     `json:"never_in_force"`
	Regressions   int64   `json:"regressions"`
	FalseDeaths   int     `json:"false_deaths"`
	BytesPerNode  Rates   `json:"bytes_per_second_per_node"`
	BusiestBytes  float64 `json:"busiest_node_bytes_per_second"`
	BurstBytes    float64 `json:"burst_bytes_per_second_per_node_over_a_minute"`
	CPUShare      float64 `json:"cpu_share_of_a_core_per_node"`
	HeapPerNode   float64 `json:"heap_bytes_per_node"`
	StoreReads    int64   `json:"store_reads"`
	StoreLimited  int64   `json:"store_calls_refused"`
	RealNodeCPU   float64 `json:"real_node_cpu_share"`
	RealNodeBytes int64   `json:"real_node_resident_bytes"`
}

// Spread is a distribution in milliseconds.
type Spread struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Rates are bytes a second of one node on average, both directions.
type Rates struct {
	Datagrams float64 `json:"udp"`
	Calls     float64 `json:"tcp"`
	Platform  float64 `json:"platform"`
	Total     float64 `json:"total"`
}

const (
	startTimeout   = 90 * time.Second
	settleTime     = 5 * time.Second
	callsPerSecond = 200
	burstSpan      = time.Second
	minute         = 60.0
)

// run is a scale run under way.
type run struct {
	config   Config
	programs process.Programs
	progress io.Writer

	platform        *process.Process
	platformAddress string
	platformControl string
	hosts           []*process.Process
	controls        []string
	reals           []*process.Process
	operators       []string
	changes         *changer
}

// Run runs one size and ends every process it started.
func Run(ctx context.Context, config Config, programs process.Programs, progress io.Writer) (Result, error) {
	if err := config.Validate(); err != nil {
		return Result{}, err
	}
	r := &run{config: config, programs: programs, progress: progress}
	defer r.stop()
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	return r.measure(ctx)
}

func (r *run) stop() {
	for _, started := range append(append(r.reals, r.hosts...), r.platform) {
		if started != nil {
			started.Kill()
		}
	}
}

func (r *run) logf(format string, arguments ...any) {
	if _, err := fmt.Fprintf(r.progress, format+"\n", arguments...); err != nil {
		return
	}
}

// report adds up the reports of all hosts.
func (r *run) report(ctx context.Context) (hollow.Report, error) {
	var total hollow.Report
	for number, address := range r.controls {
		var one hollow.Report
		if err := control.Get(ctx, address, "/report", &one); err != nil {
			return total, err
		}
		if number == 0 {
			total = one
			continue
		}
		addReport(&total, one)
	}
	return total, nil
}

func addReport(total *hollow.Report, one hollow.Report) {
	total.Ready += one.Ready
	total.LowestRevision = min(total.LowestRevision, one.LowestRevision)
	total.Regressions += one.Regressions
	total.BusiestBytes = max(total.BusiestBytes, one.BusiestBytes)
	total.CPUMicros += one.CPUMicros
	total.HeapBytes += one.HeapBytes
	total.MembersLowest = min(total.MembersLowest, one.MembersLowest)
	total.MembersHighest = max(total.MembersHighest, one.MembersHighest)
	total.Dead += one.Dead
	for name := range one.BytesSent {
		total.BytesSent[name] += one.BytesSent[name]
		total.BytesReceived[name] += one.BytesReceived[name]
	}
	for revision, reached := range one.InForce {
		known := total.InForce[revision]
		total.InForce[revision] = hollow.InForce{Nodes: known.Nodes + reached.Nodes, LastAt: max(known.LastAt, reached.LastAt)}
	}
}

// measure brings changes at the steady rate, then a burst, and works out the result.
func (r *run) measure(ctx context.Context) (Result, error) {
	r.changes = newChanger(cli.AdminClient(r.operators[0]), r.config)
	result := Result{Nodes: r.config.Nodes, NodesPerZone: r.config.Nodes / r.config.Zones, Started: time.Now().UTC().Format(time.RFC3339)}
	if err := r.changes.createAll(ctx); err != nil {
		return result, err
	}
	time.Sleep(r.config.Settle)
	before, err := r.report(ctx)
	if err != nil {
		return result, err
	}
	realBefore, err := r.reals[len(r.reals)-1].Usage()
	if err != nil {
		return result, err
	}
	began := time.Now()
	steady, err := r.changes.steadily(ctx, r.config.Steady, r.config.ChangesPerDay)
	if err != nil {
		return result, err
	}
	elapsed := time.Since(began).Seconds()
	after, err := r.report(ctx)
	if err != nil {
		return result, err
	}
	realAfter, err := r.reals[len(r.reals)-1].Usage()
	if err != nil {
		return result, err
	}
	r.fillCosts(&result, before, after, elapsed)
	result.RealNodeCPU = (realAfter.CPU - realBefore.CPU).Seconds() / elapsed
	result.RealNodeBytes = realAfter.ResidentBytes
	burst, err := r.changes.burst(ctx, r.config.Burst, burstSpan)
	if err != nil {
		return result, err
	}
	time.Sleep(settleTime)
	final, err := r.report(ctx)
	if err != nil {
		return result, err
	}
	result.BurstBytes = float64(allBytes(final)-allBytes(after)) / float64(r.config.Nodes) / minute
	result.Regressions = final.Regressions
	result.FalseDeaths = final.Dead
	result.Changes = len(steady) + len(burst)
	result.ChangeBytes = r.changes.valueBytes
	return result, r.fillTimes(ctx, &result, final, steady, burst)
}

func allBytes(report hollow.Report) int64 {
	total := int64(0)
	for name := range report.BytesSent {
		total += report.BytesSent[name] + report.BytesReceived[name]
	}
	return total
}

func (r *run) fillCosts(result *Result, before, after hollow.Report, elapsed float64) {
	perNode := func(name string) float64 {
		bytes := after.BytesSent[name] + after.BytesReceived[name] - before.BytesSent[name] - before.BytesReceived[name]
		return float64(bytes) / float64(r.config.Nodes) / elapsed
	}
	result.BytesPerNode = Rates{Datagrams: perNode("udp"), Calls: perNode("tcp"), Platform: perNode("platform")}
	result.BytesPerNode.Total = result.BytesPerNode.Datagrams + result.BytesPerNode.Calls + result.BytesPerNode.Platform
	result.BusiestBytes = float64(after.BusiestBytes-before.BusiestBytes) / elapsed
	result.CPUShare = float64(after.CPUMicros-before.CPUMicros) / 1e6 / elapsed / float64(r.config.Nodes)
	result.HeapPerNode = float64(after.HeapBytes) / float64(r.config.Nodes)
}

// fillTimes compares when the store took each change with when the last node had it.
func (r *run) fillTimes(ctx context.Context, result *Result, final hollow.Report, steady, burst []int64) error {
	var writes []platform.Write
	if err := control.Get(ctx, r.platformControl, "/writes", &writes); err != nil {
		return err
	}
	takenAt := map[int64]int64{}
	for _, write := range writes {
		takenAt[write.Revision] = write.At
	}
	spread := func(revisions []int64) Spread {
		histogram := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		for _, revision := range revisions {
			reached := final.InForce[revision]
			if reached.Nodes < r.config.Nodes {
				result.NeverInForce++
				continue
			}
			if err := histogram.RecordValue(max(reached.LastAt-takenAt[revision], 1)); err != nil {
				result.NeverInForce++
			}
		}
		return Spread{
			P50: float64(histogram.ValueAtQuantile(50)) / 1000,
			P99: float64(histogram.ValueAtQuantile(99)) / 1000,
			Max: float64(histogram.Max()) / 1000,
		}
	}
	result.SteadyMillis = spread(steady)
	result.BurstMillis = spread(burst)
	var counts platform.Counts
	if err := control.Get(ctx, r.platformControl, "/counts", &counts); err != nil {
		return err
	}
	result.StoreReads = counts.Lists + counts.Watches
	result.StoreLimited = counts.Limited
	return nil
}

// Print prints results as JSON lines.
func Print(output io.Writer, results []Result) error {
	encoder := json.NewEncoder(output)
	for _, result := range results {
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return nil
}
