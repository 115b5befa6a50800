// Package platform is a stand-in for the platform of the product's own protocol: a rate-limited store with compare-and-swap,
// watches, leases and outages, and a machine list that lags. A Platform keeps its state in memory; leases expire by timers.
package platform

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
)

// heartbeatInterval is how often a watch without changes reports the current revision.
const heartbeatInterval = 500 * time.Millisecond

// Faults are the faults of the platform.
type Faults struct {
	// StoreDown fails every call to the store and ends its watches.
	StoreDown bool `json:"store_down,omitempty"`
	// DelayMillis is added to every call to the store.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseReplies is the number of coming writes that take effect without a reply.
	LoseReplies int `json:"lose_replies,omitempty"`
	// MachinesStale hides changes of the machine list.
	MachinesStale bool `json:"machines_stale,omitempty"`
}

// Write is a write that took effect.
type Write struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
	Deleted  bool   `json:"deleted,omitempty"`
	// At is when it took effect, in Unix microseconds.
	At int64 `json:"at"`
}

// Counts are the numbers of calls by kind, and of those refused by the rate limit.
type Counts struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Swaps   int64 `json:"swaps"`
	Watches int64 `json:"watches"`
	Limited int64 `json:"limited"`
	// Leases counts calls about leases, writes under one included.
	Leases int64 `json:"leases"`
	// MachineLists counts reads of the machine list.
	MachineLists int64 `json:"machine_lists"`
}

// Platform implements StoreServiceServer and MachineListServiceServer.
type Platform struct {
	platformv1.UnimplementedStoreServiceServer
	platformv1.UnimplementedMachineListServiceServer
	limiter *rate.Limiter

	mutex    sync.Mutex
	faults   Faults
	entries  map[string]*platformv1.Entry
	log      []*platformv1.Entry // every change, in order of revision
	writes   []Write
	revision int64
	changed  chan struct{} // closed and replaced at each change, also of faults
	leases   leases
	machines []*platformv1.Machine
	shown    []*platformv1.Machine // the list that reads return
	counts   Counts
}

// New returns an empty platform whose store accepts so many calls a second.
func New(callsPerSecond float64) *Platform {
	return &Platform{
		limiter: rate.NewLimiter(rate.Limit(callsPerSecond), max(1, int(callsPerSecond))),
		entries: map[string]*platformv1.Entry{},
		changed: make(chan struct{}),
		leases:  leases{granted: map[int64]*lease{}, byKey: map[string]int64{}},
	}
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(faults Faults) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.faults = faults
	p.show()
	p.wakeWatches()
}

// SetMachines replaces the list of machines.
func (p *Platform) SetMachines(machines []*platformv1.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines = machines
	p.show()
}

func (p *Platform) show() {
	if !p.faults.MachinesStale {
		p.shown = p.machines
	}
}

// Writes returns every write that took effect, in order.
func (p *Platform) Writes() []Write {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]Write(nil), p.writes...)
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.counts
}

func (p *Platform) wakeWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// enter applies the rate limit, the delay and an outage to a call.
func (p *Platform) enter(ctx context.Context, count func(*Counts)) error {
	p.mutex.Lock()
	faults := p.faults
	count(&p.counts)
	limited := !p.limiter.Allow()
	if limited {
		p.counts.Limited++
	}
	p.mutex.Unlock()
	if limited {
		return status.Error(codes.ResourceExhausted, "rate limit")
	}
	if faults.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	if faults.StoreDown {
		return status.Error(codes.Unavailable, "store is down")
	}
	return nil
}

// Get implements StoreServiceServer.
func (p *Platform) Get(ctx context.Context, request *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	if err := p.enter(ctx, func(c *Counts) { c.Gets++ }); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return &platformv1.GetResponse{Entry: p.entries[request.GetKey()]}, nil
}

// List implements StoreServiceServer.
func (p *Platform) List(ctx context.Context, _ *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	if err := p.enter(ctx, func(c *Counts) { c.Lists++ }); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	response := &platformv1.ListResponse{Revision: p.revision}
	for _, entry := range p.entries {
		response.Entries = append(response.Entries, entry)
	}
	return response, nil
}

// CompareAndSwap implements StoreServiceServer.
func (p *Platform) CompareAndSwap(ctx context.Context, request *platformv1.CompareAndSwapRequest) (*platformv1.CompareAndSwapResponse, error) {
	if err := p.enter(ctx, func(c *Counts) { c.Swaps++ }); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := p.entries[request.GetKey()]
	if liveRevision(current) != request.GetExpectedRevision() || !p.areMet(request.GetConditions()) {
		return &platformv1.CompareAndSwapResponse{Entry: current}, nil
	}
	p.leases.release(request.GetKey())
	entry := p.write(&platformv1.Entry{Key: request.GetKey(), Value: request.GetValue(), Deleted: request.GetDelete()})
	if err := p.loseReply(); err != nil {
		return nil, err
	}
	return &platformv1.CompareAndSwapResponse{Swapped: true, Entry: entry}, nil
}

// areMet reports whether all conditions are met. The caller must hold the mutex.
func (p *Platform) areMet(conditions []*platformv1.Condition) bool {
	for _, condition := range conditions {
		if liveRevision(p.entries[condition.GetKey()]) != condition.GetRevision() {
			return false
		}
	}
	return true
}

func liveRevision(entry *platformv1.Entry) int64 {
	if entry == nil || entry.GetDeleted() {
		return 0
	}
	return entry.GetRevision()
}

// loseReply returns an error if the reply of a write is to be lost. The caller must hold the mutex.
func (p *Platform) loseReply() error {
	if p.faults.LoseReplies == 0 {
		return nil
	}
	p.faults.LoseReplies--
	return status.Error(codes.Unavailable, "reply lost")
}

// write writes an entry at the next revision and returns it. The caller must hold the mutex.
func (p *Platform) write(entry *platformv1.Entry) *platformv1.Entry {
	p.revision++
	entry.Revision = p.revision
	p.entries[entry.GetKey()] = entry
	p.log = append(p.log, entry)
	p.writes = append(p.writes, Write{
		Key: entry.GetKey(), Revision: entry.GetRevision(), Value: string(entry.GetValue()), Deleted: entry.GetDeleted(), At: time.Now().UnixMicro(),
	})
	p.wakeWatches()
	return entry
}

// Watch implements StoreServiceServer. It begins by sending the current revision if nothing was missed.
func (p *Platform) Watch(request *platformv1.WatchRequest, stream platformv1.StoreService_WatchServer) error {
	ctx := stream.Context()
	if err := p.enter(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return err
	}
	position := request.GetAfterRevision()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for isFirst := true; ; isFirst = false {
		missed, current, changed, down := p.since(position)
		if down {
			return status.Error(codes.Unavailable, "store is down")
		}
		if isFirst && len(missed) == 0 {
			if err := stream.Send(&platformv1.WatchResponse{CurrentRevision: current}); err != nil {
				return err
			}
		}
		for _, entry := range missed {
			response := &platformv1.WatchResponse{Entry: entry, PreviousRevision: entry.GetRevision() - 1, CurrentRevision: current}
			if err := stream.Send(response); err != nil {
				return err
			}
			position = entry.GetRevision()
		}
		select {
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		case <-changed:
		case <-ticker.C:
			if err := stream.Send(&platformv1.WatchResponse{CurrentRevision: position}); err != nil {
				return err
			}
		}
	}
}

// since returns the changes after a revision, and a channel that is closed at the next one.
func (p *Platform) since(revision int64) (missed []*platformv1.Entry, current int64, changed <-chan struct{}, down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// Revisions count from 1 without gaps, so a revision is also a position in the log.
	start := min(max(revision, 0), int64(len(p.log)))
	return p.log[start:], p.revision, p.changed, p.faults.StoreDown
}

// ListMachines implements MachineListServiceServer.
func (p *Platform) ListMachines(_ context.Context, request *platformv1.ListMachinesRequest) (*platformv1.ListMachinesResponse, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.counts.MachineLists++
	var wanted []*platformv1.Machine
	version := xxhash.New()
	for _, machine := range p.shown {
		if matches(request, machine) {
			wanted = append(wanted, machine)
			// Writing to a hash can't fail.
			_, _ = fmt.Fprintln(version, machine.GetId(), machine.GetAddress(), machine.GetState())
		}
	}
	response := &platformv1.ListMachinesResponse{Version: max(version.Sum64(), 1)}
	if request.GetKnownVersion() == response.GetVersion() {
		response.Unchanged = true
		return response, nil
	}
	response.Machines = somePerZone(wanted, int(request.GetMostPerZone()))
	return response, nil
}

func matches(request *platformv1.ListMachinesRequest, machine *platformv1.Machine) bool {
	return (request.GetZone() == "" || machine.GetZone() == request.GetZone()) &&
		(request.GetRole() == "" || machine.GetRole() == request.GetRole())
}

// somePerZone returns at most so many machines of each zone, drawn at random; 0 means all.
func somePerZone(all []*platformv1.Machine, most int) []*platformv1.Machine {
	if most == 0 {
		return all
	}
	counts := map[string]int{}
	var picked []*platformv1.Machine
	for _, position := range rand.Perm(len(all)) {
		machine := all[position]
		if counts[machine.GetZone()] < most {
			counts[machine.GetZone()]++
			picked = append(picked, machine)
		}
	}
	return picked
}
