package platform

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
)

// Bounds of a lease: its time to live, and how many there may be, far above the nodes of a fleet.
const (
	leastTimeToLive   = time.Second
	longestTimeToLive = time.Hour
	mostLeases        = 4096
)

// lease is one that is not over yet.
type lease struct {
	timeToLive time.Duration
	ends       time.Time
	// lapse ends it when its time to live is over.
	lapse *time.Timer
}

// keep starts the time to live anew.
func (l *lease) keep() {
	l.ends = time.Now().Add(l.timeToLive)
	l.lapse.Reset(l.timeToLive)
}

// leases are those granted, and the keys that stand under them. The mutex of the platform guards them.
type leases struct {
	last    int64
	granted map[int64]*lease
	byKey   map[string]int64
}

// release takes a key from under its lease, since it is written anew.
func (l *leases) release(key string) { delete(l.byKey, key) }

// keysOf gives the keys under a lease, sorted.
func (l *leases) keysOf(id int64) []string {
	var keys []string
	for key, under := range l.byKey {
		if under == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// enterLease is enter for calls about leases.
func (p *Platform) enterLease(ctx context.Context) error {
	return p.enter(ctx, func(c *Counts) { c.Leases++ })
}

// GrantLease implements StoreServiceServer.
func (p *Platform) GrantLease(ctx context.Context, request *platformv1.GrantLeaseRequest) (*platformv1.GrantLeaseResponse, error) {
	if err := p.enterLease(ctx); err != nil {
		return nil, err
	}
	asked := min(max(request.GetTimeToLiveMillis(), leastTimeToLive.Milliseconds()), longestTimeToLive.Milliseconds())
	timeToLive := time.Duration(asked) * time.Millisecond
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.leases.granted) >= mostLeases {
		return nil, status.Error(codes.ResourceExhausted, "too many leases")
	}
	p.leases.last++
	id := p.leases.last
	granted := &lease{timeToLive: timeToLive, lapse: time.AfterFunc(timeToLive, func() { p.lapse(id) })}
	granted.keep()
	p.leases.granted[id] = granted
	return &platformv1.GrantLeaseResponse{Lease: id, TimeToLiveMillis: asked}, nil
}

// KeepLease implements StoreServiceServer.
func (p *Platform) KeepLease(ctx context.Context, request *platformv1.KeepLeaseRequest) (*platformv1.KeepLeaseResponse, error) {
	if err := p.enterLease(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, err := p.lease(request.GetLease())
	if err != nil {
		return nil, err
	}
	known.keep()
	return &platformv1.KeepLeaseResponse{}, nil
}

// EndLease implements StoreServiceServer.
func (p *Platform) EndLease(ctx context.Context, request *platformv1.EndLeaseRequest) (*platformv1.EndLeaseResponse, error) {
	if err := p.enterLease(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, err := p.lease(request.GetLease())
	if err != nil {
		return nil, err
	}
	known.lapse.Stop()
	p.endLease(request.GetLease())
	return &platformv1.EndLeaseResponse{}, nil
}

// PutLeased implements StoreServiceServer.
func (p *Platform) PutLeased(ctx context.Context, request *platformv1.PutLeasedRequest) (*platformv1.PutLeasedResponse, error) {
	if err := p.enterLease(ctx); err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if _, err := p.lease(request.GetLease()); err != nil {
		return nil, err
	}
	entry := p.write(&platformv1.Entry{Key: request.GetKey(), Value: request.GetValue()})
	p.leases.byKey[request.GetKey()] = request.GetLease()
	if err := p.loseReply(); err != nil {
		return nil, err
	}
	return &platformv1.PutLeasedResponse{Entry: entry}, nil
}

// lease gives a lease that is not over. The mutex must be held.
func (p *Platform) lease(id int64) (*lease, error) {
	known, found := p.leases.granted[id]
	if !found {
		return nil, status.Error(codes.NotFound, "the lease is over")
	}
	return known, nil
}

// lapse ends a lease that was not kept. A store that is down ends none: its time to live starts anew. One that was kept
// while its timer ran out lives on.
func (p *Platform) lapse(id int64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.leases.granted[id]
	switch {
	case !found || time.Now().Before(known.ends):
	case p.faults.StoreDown:
		known.keep()
	default:
		p.endLease(id)
	}
}

// endLease ends a lease and removes its keys. The mutex must be held.
func (p *Platform) endLease(id int64) {
	for _, key := range p.leases.keysOf(id) {
		p.write(&platformv1.Entry{Key: key, Deleted: true})
	}
	delete(p.leases.granted, id)
	maps.DeleteFunc(p.leases.byKey, func(_ string, under int64) bool { return under == id })
}
