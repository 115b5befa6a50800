// Package leaf is a stand-in leaf for the gRPC leaf protocol. It serves any key range of the snapshots of a sample index and
// records the attempts that it runs. A Leaf owns its indexes in memory and the record file. It reads the wall clock and uses
// a seeded random source.
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
	// Snapshots are the snapshots that the leaf has at the start.
	Snapshots []string
	// Slots is the number of attempts that run concurrently.
	Slots int
	// QueuePerSlot is the number of attempts per slot that may wait before the leaf sheds load.
	QueuePerSlot int
	// MedianServiceTime and ServiceSpread are the parameters of a log-normal service time. ServiceSpread is the sigma of its
	// logarithm.
	MedianServiceTime time.Duration
	ServiceSpread     float64
	// Record is the file to which each execution is written before it runs. If it is empty, executions are not recorded.
	Record string
}

// Validate returns a failure that lists every invalid field.
func (c Config) Validate() error {
	var checks failure.Checks
	checks.Refuse(c.ID == "", "id", "must not be empty")
	checks.Refuse(c.Dataset != sample.Tiles && c.Dataset != sample.Invoices, "dataset", "%q is invalid; must be %q or %q", c.Dataset, sample.Tiles, sample.Invoices)
	checks.Refuse(c.Records < 1, "records", "must be at least 1")
	checks.Refuse(len(c.Snapshots) == 0, "snapshots", "must name at least one")
	checks.Refuse(c.Slots < 1, "slots", "must be at least 1")
	checks.Refuse(c.QueuePerSlot < 0, "queue-per-slot", "must not be negative")
	checks.Refuse(c.MedianServiceTime < 0, "median-service-time", "must not be negative")
	return checks.Err()
}

// Execution is the record of an attempt that a leaf ran.
type Execution struct {
	LeafID      string `json:"leaf_id"`
	Service     string `json:"service"`
	RequestID   string `json:"request_id"`
	SnapshotID  string `json:"snapshot_id"`
	ShardID     string `json:"shard_id"`
	Attempt     uint32 `json:"attempt"`
	ExecutionID string `json:"execution_id,omitempty"`
	// At is the time at which the attempt began to run, in Unix microseconds.
	At int64 `json:"at"`
}

const recordFileMode = 0o600

// executionIDRetention is the time for which a leaf refuses a repeated execution ID, counted from the ID's not-after time.
const executionIDRetention = 10 * time.Minute

// Leaf implements LeafServiceServer. It is safe for concurrent use.
type Leaf struct {
	leafv1.UnimplementedLeafServiceServer
	cfg   Config
	slots chan struct{}

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	indexes      map[string]*sample.Index
	available    map[string]bool
	inFlight     int
	executed     map[string]time.Time // when each execution ID expires
	lastResponse *leafv1.SearchShardResponse
	file         *os.File
}

// New builds the indexes of a leaf and opens its record file.
func New(cfg Config) (*Leaf, error) {
	leaf := &Leaf{
		cfg:       cfg,
		slots:     make(chan struct{}, cfg.Slots),
		rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.ID)))),
		indexes:   map[string]*sample.Index{},
		available: map[string]bool{},
		executed:  map[string]time.Time{},
	}
	if cfg.Record != "" {
		file, err := os.OpenFile(cfg.Record, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
		if err != nil {
			return nil, failure.Invalid("record", "%v", err)
		}
		leaf.file = file
	}
	return leaf, leaf.setSnapshots(cfg.Snapshots)
}

// setSnapshots replaces the snapshots that the leaf has.
func (l *Leaf) setSnapshots(snapshots []string) error {
	available := map[string]bool{}
	for _, snapshot := range snapshots {
		if l.indexes[snapshot] == nil {
			index, err := sample.Build(l.cfg.Dataset, l.cfg.Seed, l.cfg.Records, snapshot)
			if err != nil {
				return err
			}
			l.indexes[snapshot] = index
		}
		available[snapshot] = true
	}
	l.available = available
	return nil
}

// SetFaults replaces the faults.
func (l *Leaf) SetFaults(faults Faults) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	if len(faults.Snapshots) > 0 {
		return l.setSnapshots(faults.Snapshots)
	}
	return nil
}

// SearchShard implements LeafServiceServer.
func (l *Leaf) SearchShard(ctx context.Context, request *leafv1.SearchShardRequest) (*leafv1.SearchShardResponse, error) {
	arrived := time.Now()
	faults, refusalErr := l.admit(request)
	if refusalErr != nil {
		return nil, refusalErr
	}
	defer l.release()
	if err := l.acquireSlot(ctx, faults, request, arrived); err != nil {
		return nil, err
	}
	defer func() { <-l.slots }()
	index, refusalErr := l.begin(request, arrived)
	if refusalErr != nil {
		return nil, refusalErr
	}
	l.waitServiceTime(ctx, faults)
	return l.respond(request, index, faults)
}

// admit refuses an attempt if the leaf is draining or sheds load. Otherwise it counts the attempt as in flight.
func (l *Leaf) admit(request *leafv1.SearchShardRequest) (Faults, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting := l.inFlight - l.cfg.Slots
	switch {
	case l.faults.Draining:
		return l.faults, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_DRAINING)
	case waiting >= l.cfg.Slots*l.cfg.QueuePerSlot, l.occurs(l.faults.ShedShare):
		return l.faults, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_SHEDDING)
	}
	l.inFlight++
	return l.faults, nil
}

func (l *Leaf) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

func (l *Leaf) acquireSlot(ctx context.Context, faults Faults, request *leafv1.SearchShardRequest, arrived time.Time) error {
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
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE)
}

// begin records the execution of an attempt. It is the last step that may refuse the attempt.
func (l *Leaf) begin(request *leafv1.SearchShardRequest, arrived time.Time) (*sample.Index, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	snapshot := request.GetIdentity().GetSnapshotId()
	if !l.available[snapshot] {
		return nil, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_SNAPSHOT_GONE)
	}
	if now.Sub(arrived) >= time.Duration(request.GetTimeRemainingMicros())*time.Microsecond {
		return nil, l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE)
	}
	if id := request.GetExecutionId(); id != "" {
		if refusalErr := l.claimExecutionID(request, id, now); refusalErr != nil {
			return nil, refusalErr
		}
	}
	return l.indexes[snapshot], l.record(Execution{
		LeafID: l.cfg.ID, Service: request.GetService(), RequestID: request.GetIdentity().GetRequestId(), SnapshotID: snapshot,
		ShardID: request.GetIdentity().GetShardId(), Attempt: request.GetIdentity().GetAttempt(),
		ExecutionID: request.GetExecutionId(), At: now.UnixMicro(),
	})
}

// record writes an execution to the record file, if there is one. l.mu must be held.
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

// claimExecutionID refuses an execution ID that is past its not-after time or was already executed. Otherwise it records
// the ID. l.mu must be held.
func (l *Leaf) claimExecutionID(request *leafv1.SearchShardRequest, id string, now time.Time) error {
	if now.UnixMilli() > request.GetNotAfterUnixMillis() {
		return l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_TOO_LATE)
	}
	if until, found := l.executed[id]; found && now.Before(until) {
		return l.refuse(request, leafv1.RefusalReason_REFUSAL_REASON_DUPLICATE_EXECUTION)
	}
	l.executed[id] = time.UnixMilli(request.GetNotAfterUnixMillis()).Add(executionIDRetention)
	return nil
}

// waitServiceTime waits for a random service time, or until the attempt is cancelled, unless IgnoreCancel is set.
func (l *Leaf) waitServiceTime(ctx context.Context, faults Faults) {
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
	l.mu.Lock()
	defer l.mu.Unlock()
	seconds := l.cfg.MedianServiceTime.Seconds() * math.Exp(l.rng.NormFloat64()*l.cfg.ServiceSpread)
	if faults.SlowFactor > 0 {
		seconds *= faults.SlowFactor
	}
	if l.occurs(faults.StragglerShare) {
		seconds *= faults.StragglerLow + l.rng.Float64()*(faults.StragglerHigh-faults.StragglerLow)
	}
	return time.Duration(seconds * float64(time.Second))
}

// respond returns the reply and applies the faults that occur in it.
func (l *Leaf) respond(request *leafv1.SearchShardRequest, index *sample.Index, faults Faults) (*leafv1.SearchShardResponse, error) {
	response := buildResponse(request, index)
	l.mu.Lock()
	defer l.mu.Unlock()
	response.Load = l.currentLoad()
	if l.occurs(faults.LoseReplyShare) {
		return nil, status.Error(codes.Unavailable, "the reply was lost")
	}
	if l.occurs(faults.TruncateShare) {
		truncate(response)
	}
	if l.occurs(faults.ForeignRowShare) {
		response.Rows = append(response.Rows, &leafv1.Row{Key: "\x00foreign", Value: []byte("{}")})
	}
	if l.occurs(faults.DuplicateRowShare) && len(response.Rows) > 0 {
		response.Rows = append(response.Rows, response.Rows[len(response.Rows)-1])
	}
	previous := l.lastResponse
	l.lastResponse = response
	if l.occurs(faults.CrossShare) && previous != nil {
		return previous, nil
	}
	return response, nil
}

// buildResponse returns the rows of the requested range, up to the limit.
func buildResponse(request *leafv1.SearchShardRequest, index *sample.Index) *leafv1.SearchShardResponse {
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

// truncate cuts a reply to the first half of its rows and shortens the covered range to them.
func truncate(response *leafv1.SearchShardResponse) {
	half := len(response.GetRows()) / 2
	if half == 0 {
		return
	}
	response.Rows = response.Rows[:half]
	response.CoveredTo = keyspace.After(response.Rows[half-1].GetKey())
}

func (l *Leaf) currentLoad() *leafv1.LeafLoad {
	load := &leafv1.LeafLoad{Slots: uint32(l.cfg.Slots), Draining: l.faults.Draining || l.faults.ClaimDraining}
	if !l.faults.ClaimIdle {
		load.InFlight = uint32(l.inFlight)
	}
	return load
}

func (l *Leaf) occurs(fraction float64) bool { return fraction > 0 && l.rng.Float64() < fraction }

// retryAfterMillis is the time after which a refused caller may retry.
const retryAfterMillis = 50

// refuse returns the refusal of an attempt that did not run. l.mu must be held.
func (l *Leaf) refuse(request *leafv1.SearchShardRequest, reason leafv1.RefusalReason) error {
	state := status.New(codes.Unavailable, reason.String())
	detailed, err := state.WithDetails(&leafv1.LeafRefusal{
		Identity: request.GetIdentity(), Reason: reason, RetryAfterMillis: retryAfterMillis, Load: l.currentLoad(),
	})
	if err != nil {
		return state.Err()
	}
	return detailed.Err()
}
