// Package platform is a stand-in for a platform that implements portgauge's own platform protocol. It has a rate-limited store
// with compare-and-swap, watches, leases and outages, and a machine list that can be stale. A Platform keeps its state in
// memory; timers expire the leases.
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

// heartbeatInterval is the interval at which a watch without changes reports the current revision.
const heartbeatInterval = 500 * time.Millisecond

// Faults are the faults that the platform injects.
type Faults struct {
	// StoreDown fails every call to the store and ends its watches.
	StoreDown bool `json:"store_down,omitempty"`
	// DelayMillis delays every call to the store.
	DelayMillis int64 `json:"delay_millis,omitempty"`
	// LoseReplies is the number of subsequent writes that take effect but return an error.
	LoseReplies int `json:"lose_replies,omitempty"`
	// MachinesStale hides changes to the machine list.
	MachinesStale bool `json:"machines_stale,omitempty"`
}

// Write is a write that took effect.
type Write struct {
	Key      string `json:"key"`
	Revision int64  `json:"revision"`
	Value    string `json:"value"`
	Deleted  bool   `json:"deleted,omitempty"`
	// At is the time at which the write took effect, in Unix microseconds.
	At int64 `json:"at"`
}

// Counts contains the number of calls by kind, and of calls refused by the rate limit.
type Counts struct {
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
	Swaps   int64 `json:"swaps"`
	Watches int64 `json:"watches"`
	Limited int64 `json:"limited"`
	// Leases counts calls about leases, including writes under a lease.
	Leases int64 `json:"leases"`
	// MachineLists counts reads of the machine list.
	MachineLists int64 `json:"machine_lists"`
}

// Platform implements StoreServiceServer and MachineListServiceServer.
type Platform struct {
	platformv1.UnimplementedStoreServiceServer
	platformv1.UnimplementedMachineListServiceServer
	limiter *rate.Limiter

	mu       sync.Mutex
	faults   Faults
	entries  map[string]*platformv1.Entry
	log      []*platformv1.Entry // every change, in order of revision
	writes   []Write
	revision int64
	changed  chan struct{} // closed and replaced at each change of an entry or of the faults
	leases   leases
	machines []*platformv1.Machine
	visible  []*platformv1.Machine // the machines that ListMachines returns
	counts   Counts
}

// New returns an empty platform whose store accepts the given number of calls per second.
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
	p.updateVisible()
	p.notifyWatches()
}

// SetMachines replaces the list of machines.
func (p *Platform) SetMachines(machines []*platformv1.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines = machines
	p.updateVisible()
}

func (p *Platform) updateVisible() {
	if !p.faults.MachinesStale {
		p.visible = p.machines
	}
}

// Writes returns all writes that took effect, in order.
func (p *Platform) Writes() []Write {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Write(nil), p.writes...)
}

func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit counts a call and applies the rate limit, the delay and an outage to it.
func (p *Platform) admit(ctx context.Context, count func(*Counts)) error {
	p.mu.Lock()
	faults := p.faults
	count(&p.counts)
	limited := !p.limiter.Allow()
	if limited {
		p.counts.Limited++
	}
	p.mu.Unlock()
	if limited {
		return status.Error(codes.ResourceExhausted, "the call exceeds the rate limit")
	}
	if faults.DelayMillis > 0 {
		select {
		case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		case <-ctx.Done():
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	if faults.StoreDown {
		return status.Error(codes.Unavailable, "the store is down")
	}
	return nil
}

// Get implements StoreServiceServer.
func (p *Platform) Get(ctx context.Context, request *platformv1.GetRequest) (*platformv1.GetResponse, error) {
	if err := p.admit(ctx, func(c *Counts) { c.Gets++ }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return &platformv1.GetResponse{Entry: p.entries[request.GetKey()]}, nil
}

// List implements StoreServiceServer.
func (p *Platform) List(ctx context.Context, _ *platformv1.ListRequest) (*platformv1.ListResponse, error) {
	if err := p.admit(ctx, func(c *Counts) { c.Lists++ }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	response := &platformv1.ListResponse{Revision: p.revision}
	for _, entry := range p.entries {
		response.Entries = append(response.Entries, entry)
	}
	return response, nil
}

// CompareAndSwap implements StoreServiceServer.
func (p *Platform) CompareAndSwap(ctx context.Context, request *platformv1.CompareAndSwapRequest) (*platformv1.CompareAndSwapResponse, error) {
	if err := p.admit(ctx, func(c *Counts) { c.Swaps++ }); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current := p.entries[request.GetKey()]
	if liveRevision(current) != request.GetExpectedRevision() || !p.conditionsMet(request.GetConditions()) {
		return &platformv1.CompareAndSwapResponse{Entry: current}, nil
	}
	p.leases.detach(request.GetKey())
	entry := p.write(&platformv1.Entry{Key: request.GetKey(), Value: request.GetValue(), Deleted: request.GetDelete()})
	if err := p.consumeLostReply(); err != nil {
		return nil, err
	}
	return &platformv1.CompareAndSwapResponse{Swapped: true, Entry: entry}, nil
}

// conditionsMet reports whether all conditions are met. p.mu must be held.
func (p *Platform) conditionsMet(conditions []*platformv1.Condition) bool {
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

// consumeLostReply returns an error while LoseReplies is positive, and decrements it. p.mu must be held.
func (p *Platform) consumeLostReply() error {
	if p.faults.LoseReplies == 0 {
		return nil
	}
	p.faults.LoseReplies--
	return status.Error(codes.Unavailable, "the reply was lost")
}

// write writes an entry at the next revision and returns it. p.mu must be held.
func (p *Platform) write(entry *platformv1.Entry) *platformv1.Entry {
	p.revision++
	entry.Revision = p.revision
	p.entries[entry.GetKey()] = entry
	p.log = append(p.log, entry)
	p.writes = append(p.writes, Write{
		Key: entry.GetKey(), Revision: entry.GetRevision(), Value: string(entry.GetValue()), Deleted: entry.GetDeleted(), At: time.Now().UnixMicro(),
	})
	p.notifyWatches()
	return entry
}

// Watch implements StoreServiceServer. It first sends the changes after the requested revision, or the current revision if
// there are none.
func (p *Platform) Watch(request *platformv1.WatchRequest, stream platformv1.StoreService_WatchServer) error {
	ctx := stream.Context()
	if err := p.admit(ctx, func(c *Counts) { c.Watches++ }); err != nil {
		return err
	}
	position := request.GetAfterRevision()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for isFirst := true; ; isFirst = false {
		entries, current, changed, down := p.since(position)
		if down {
			return status.Error(codes.Unavailable, "the store is down")
		}
		if isFirst && len(entries) == 0 {
			if err := stream.Send(&platformv1.WatchResponse{CurrentRevision: current}); err != nil {
				return err
			}
		}
		for _, entry := range entries {
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

// since returns the changes after a revision, and a channel that is closed at the next change.
func (p *Platform) since(revision int64) (entries []*platformv1.Entry, current int64, changed <-chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Revisions start at 1 and have no gaps, so a revision is also a position in the log.
	start := min(max(revision, 0), int64(len(p.log)))
	return p.log[start:], p.revision, p.changed, p.faults.StoreDown
}

// ListMachines implements MachineListServiceServer.
func (p *Platform) ListMachines(_ context.Context, request *platformv1.ListMachinesRequest) (*platformv1.ListMachinesResponse, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts.MachineLists++
	var matching []*platformv1.Machine
	version := xxhash.New()
	for _, machine := range p.visible {
		if matches(request, machine) {
			matching = append(matching, machine)
			// Writing to a hash can't fail.
			_, _ = fmt.Fprintln(version, machine.GetId(), machine.GetAddress(), machine.GetState())
		}
	}
	response := &platformv1.ListMachinesResponse{Version: max(version.Sum64(), 1)}
	if request.GetKnownVersion() == response.GetVersion() {
		response.Unchanged = true
		return response, nil
	}
	response.Machines = samplePerZone(matching, int(request.GetMostPerZone()))
	return response, nil
}

func matches(request *platformv1.ListMachinesRequest, machine *platformv1.Machine) bool {
	return (request.GetZone() == "" || machine.GetZone() == request.GetZone()) &&
		(request.GetRole() == "" || machine.GetRole() == request.GetRole())
}

// samplePerZone returns at most the given number of machines of each zone, chosen at random; 0 means all machines.
func samplePerZone(all []*platformv1.Machine, most int) []*platformv1.Machine {
	if most == 0 {
		return all
	}
	counts := map[string]int{}
	var selected []*platformv1.Machine
	for _, position := range rand.Perm(len(all)) {
		machine := all[position]
		if counts[machine.GetZone()] < most {
			counts[machine.GetZone()]++
			selected = append(selected, machine)
		}
	}
	return selected
}
