// Package leaf is a stand-in leaf of the gRPC leaf protocol: it has snapshots of a sample index, serves any key range of
// them, and records what it executed. A Leaf owns its indexes in memory and the file of executions; it reads the wall clock
// and draws from a seed.
package leaf

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/sample"
	"github.com/portgauge/portgauge/internal/request/search"
)

// Config describes a leaf.
type Config struct {
	ID      string
	Dataset sample.Dataset
	Seed    uint64
	Records int
	// Snapshots are the snapshots that it has at the start.
	Snapshots []string
	// Slots is the number of attempts that run at once.
	Slots int
	// QueuePerSlot is how many attempts wait for each slot before the leaf sheds load.
	QueuePerSlot int
	// MedianServiceTime and ServiceSpread, the sigma of the logarithm, are those of a log-normal service time.
	MedianServiceTime time.Duration
	ServiceSpread     float64
	// Record is a file to which each execution is written before it runs; empty for none.
	Record string
}

// Validate returns a failure with every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ID == "", "id", "must not be empty")
	checks.Refuse(c.Dataset != sample.Tiles && c.Dataset != sample.Invoices, "dataset", "%q; must be %q or %q", c.Dataset, sample.Tiles, sample.Invoices)
	checks.Refuse(c.Records < 1, "records", "must be at least 1")
	checks.Refuse(len(c.Snapshots) == 0, "snapshots", "must name at least one")
	checks.Refuse(c.Slots < 1, "slots", "must be at least 1")
	checks.Refuse(c.QueuePerSlot < 0, "queue-per-slot", "must not be negative")
	checks.Refuse(c.MedianServiceTime < 0, "median-service-time", "must not be negative")
	return checks.Err()
}

// Execution is the record of an attempt that the leaf ran.
type Execution struct {
	LeafID      string `json:"leaf_id"`
	Service     string `json:"service"`
	RequestID   string `json:"request_id"`
	SnapshotID  string `json:"snapshot_id"`
	ShardID     string `json:"shard_id"`
	Attempt     uint32 `json:"attempt"`
	ExecutionID string `json:"execution_id,omitempty"`
	// At is when it began to run, in Unix microseconds.
	At int64 `json:"at"`
}

// recordMode is the mode of the file of executions.
const recordMode = 0o600

// executionIDMemory is how long after its not-after time an execution id is refused if it comes again.
const executionIDMemory = 10 * time.Minute

// Leaf implements LeafServiceServer; safe for concurrent use.
type Leaf struct {
	leafv1.UnimplementedLeafServiceServer
	config Config
	slots  chan struct{}

	mutex    sync.Mutex
	random   *rand.Rand
	faults   Faults
	indexes  map[string]*sample.Index
	held     map[string]bool
	inFlight int
	ran      map[string]time.Time // execution ids, until when they are remembered
	previous *leafv1.SearchShardResponse
	file     *os.File
}

// New builds the indexes of a leaf and opens its record.
func New(config Config) (*Leaf, error) {
	leaf := &Leaf{
		config:  config,
		slots:   make(chan struct{}, config.Slots),
		random:  rand.New(rand.NewPCG(config.Seed, uint64(len(config.ID)))),
		indexes: map[string]*sample.Index{},
		held:    map[string]bool{},
		ran:     map[string]time.Time{},
	}
	if config.Record != "" {
		file, err := os.OpenFile(config.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordMode)
		if err != nil {
			return nil, failure.Invalid("record", "%v", err)
		}
		leaf.file = file
	}
	return leaf, leaf.setSnapshots(config.Snapshots)
}

// setSnapshots replaces the snapshots that the leaf has.
func (l *Leaf) setSnapshots(snapshots []string) error {
	held := map[string]bool{}
	for _, snapshot := range snapshots {
		if l.indexes[snapshot] == nil {
			index, err := sample.Build(l.config.Dataset, l.config.Seed, l.config.Records, snapshot)
			if err != nil {
				return err
			}
			l.indexes[snapshot] = index
		}
		held[snapshot] = true
	}
	l.held = held
	return nil
}

// SetFaults replaces the faults.
func (l *Leaf) SetFaults(faults Faults) error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = faults
	if len(faults.Snapshots) > 0 {
		return l.setSnapshots(faults.Snapshots)
	}
	return nil
}

// SearchShard implements LeafServiceServer.
func (l *Leaf) SearchShard(ctx context.Context, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	arrived := time.Now()
	faults, refusal := l.admit(request)
	if refusal != nil {
		return nil, refusal
	}
	defer l.leave()
	if err := l.takeSlot(ctx, faults, request, arrived); err != nil {
		return nil, err
	}
	defer func() { <-l.slots }()
	index, refusal := l.begin(request, arrived)
	if refusal != nil {
		return nil, refusal
	}
	l.work(ctx, faults)
	return l.respond(request, index, faults)
}

// admit refuses an attempt while the leaf drains or sheds load, or else counts it as in flight.
func (l *Leaf) admit(request *leafv1.SearchShardRequest) (Faults, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	waiting := l.inFlight - l.config.Slots
	switch {
	case l.faults.Draining:
		return l.faults, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_DRAINING)
	case waiting >= l.config.Slots*l.config.QueuePerSlot, l.draw(l.faults.ShedShare):
		return l.faults, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_SHEDDING)
	}
	l.inFlight++
	return l.faults, nil
}

func (l *Leaf) leave() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.inFlight--
}

func (l *Leaf) takeSlot(ctx context.Context, faults Faults, request *leafv1.SearchShardRequest, arrived time.Time) error {
	remaining := time.Until(arrived.Add(time.Duration(request.GetTimeRemainingMicros()) * time.Microsecond))
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	cancelled := ctx.Done()
	if faults.IgnoreCancel {
		cancelled = nil
	}
	select {
	case l.slots <- struct{}{}:
		return nil
	case <-timer.C:
	case <-cancelled:
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE)
}

// begin records the execution of an attempt. It is the last step that may refuse it.
func (l *Leaf) begin(request *leafv1.SearchShardRequest, arrived time.Time) (*sample.Index, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	snapshot := request.GetIdentity().GetSnapshotId()
	if !l.held[snapshot] {
		return nil, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_SNAPSHOT_GONE)
	}
	if now.Sub(arrived) >= time.Duration(request.GetTimeRemainingMicros())*time.Microsecond {
		return nil, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE)
	}
	if id := request.GetExecutionId(); id != "" {
		if refusal := l.claim(request, id, now); refusal != nil {
			return nil, refusal
		}
	}
	return l.indexes[snapshot], l.record(Execution{
		LeafID: l.config.ID, Service: request.GetService(), RequestID: request.GetIdentity().GetRequestId(), SnapshotID: snapshot,
		ShardID: request.GetIdentity().GetShardId(), Attempt: request.GetIdentity().GetAttempt(),
		ExecutionID: request.GetExecutionId(), At: now.UnixMicro(),
	})
}

// record writes an execution to the file, if there is one. The caller must hold the mutex.
func (l *Leaf) record(execution Execution) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(execution)
	if err != nil {
		return err
	}
	_, err = l.file.Write(append(line, '\n'))
	return err
}

// claim refuses an execution id that is late or was run before.
func (l *Leaf) claim(request *leafv1.SearchShardRequest, id string, now time.Time) error {
	if now.UnixMilli() > request.GetNotAfterUnixMillis() {
		return l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE)
	}
	if until, ran := l.ran[id]; ran && now.Before(until) {
		return l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_DUPLICATE_EXECUTION)
	}
	l.ran[id] = time.UnixMilli(request.GetNotAfterUnixMillis()).Add(executionIDMemory)
	return nil
}

// work waits for the service time.
func (l *Leaf) work(ctx context.Context, faults Faults) {
	timer := time.NewTimer(l.serviceTime(faults))
	defer timer.Stop()
	cancelled := ctx.Done()
	if faults.IgnoreCancel {
		cancelled = nil
	}
	select {
	case <-timer.C:
	case <-cancelled:
	}
}

func (l *Leaf) serviceTime(faults Faults) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	seconds := l.config.MedianServiceTime.Seconds() * math.Exp(l.random.NormFloat64()*l.config.ServiceSpread)
	if faults.SlowFactor > 0 {
		seconds *= faults.SlowFactor
	}
	if l.draw(faults.StragglerShare) {
		seconds *= faults.StragglerLow + l.random.Float64()*(faults.StragglerHigh-faults.StragglerLow)
	}
	return time.Duration(seconds * float64(time.Second))
}

// respond returns the reply, with the faults drawn for it.
func (l *Leaf) respond(request *leafv1.SearchShardRequest, index *sample.Index, faults Faults) (*leafv1.SearchShardResponse, error) {
	response := answer(request, index)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	response.Load = l.load()
	if l.draw(faults.LoseReplyShare) {
		return nil, status.Error(codes.Unavailable, "reply lost")
	}
	if l.draw(faults.TruncateShare) {
		truncate(response)
	}
	if l.draw(faults.ForeignRowShare) {
		response.Rows = append(response.Rows, &leafv1.Row{Key: "\x00foreign", Value: []byte("{}")})
	}
	if l.draw(faults.DuplicateRowShare) && len(response.Rows) > 0 {
		response.Rows = append(response.Rows, response.Rows[len(response.Rows)-1])
	}
	previous := l.previous
	l.previous = response
	if l.draw(faults.CrossShare) && previous != nil {
		return previous, nil
	}
	return response, nil
}

// answer returns the rows of the requested range, up to the limit.
func answer(request *leafv1.SearchShardRequest, index *sample.Index) *leafv1.SearchShardResponse {
	response := &leafv1.SearchShardResponse{
		Identity: request.GetIdentity(), CoveredFrom: request.GetKeyFrom(), CoveredTo: request.GetKeyTo(),
	}
	for _, record := range index.In(keyspace.Range{From: request.GetKeyFrom(), To: request.GetKeyTo()}) {
		if !search.Matches(request.GetFilter(), record.Key, record.Value) {
			continue
		}
		response.Rows = append(response.Rows, &leafv1.Row{Key: record.Key, Value: record.Value})
		if len(response.Rows) == int(request.GetLimit()) {
			response.CoveredTo = keyspace.After(record.Key)
			break
		}
	}
	return response
}

// truncate cuts a reply to the first half of its rows and reports that in the covered range.
func truncate(response *leafv1.SearchShardResponse) {
	half := len(response.GetRows()) / 2
	if half == 0 {
		return
	}
	response.Rows = response.Rows[:half]
	response.CoveredTo = keyspace.After(response.Rows[half-1].GetKey())
}

func (l *Leaf) load() *leafv1.LeafLoad {
	load := &leafv1.LeafLoad{Slots: uint32(l.config.Slots), Draining: l.faults.Draining || l.faults.ClaimDraining}
	if !l.faults.ClaimIdle {
		load.InFlight = uint32(l.inFlight)
	}
	return load
}

func (l *Leaf) draw(share float64) bool { return share > 0 && l.random.Float64() < share }

// shedRetryAfter is the time in milliseconds after which a caller may retry.
const shedRetryAfter = 50

// refuse returns the refusal of an attempt that did not run. The caller must hold the mutex.
func (l *Leaf) refuse(request *leafv1.SearchShardRequest, reason leafv1.RefusalReason) error {
	state := status.New(codes.Unavailable, reason.String())
	detailed, err := state.WithDetails(&leafv1.LeafRefusal{
		Identity: request.GetIdentity(), Reason: reason, RetryAfterMillis: shedRetryAfter, Load: l.load(),
	})
	if err != nil {
		return state.Err()
	}
	return detailed.Err()
}
