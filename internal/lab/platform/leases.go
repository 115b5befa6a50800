package platform

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
)

// Bounds of a lease's time to live, and the number of leases, which is far above the nodes of a fleet.
const (
	leastTimeToLive   = time.Second
	longestTimeToLive = time.Hour
	mostLeases        = 4096
)

// lease is a lease in force.
type lease struct {
	timeToLive time.Duration
	ends       time.Time
	// expiry ends it when its time to live is over.
	expiry *time.Timer
}

// keep starts the time to live again.
func (l *lease) keep() {
	l.ends = time.Now().Add(l.timeToLive)
	l.expiry.Reset(l.timeToLive)
}

// leases are the leases in force and their keys. The mutex of the platform guards them.
type leases struct {
	last    int64
	granted map[int64]*lease
	byKey   map[string]int64
}

// release removes a key from its lease, since the key is written without one.
func (l *leases) release(key string) { delete(l.byKey, key) }

// keysOf returns the keys of a lease, sorted.
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
	granted := &lease{timeToLive: timeToLive, expiry: time.AfterFunc(timeToLive, func() { p.expire(id) })}
	granted.keep()
	p.leases.granted[id] = granted
	return &platformv1.GrantLeaseResponse{Lease: id, TimeToLiveMillis: asked}, nil
}

// KeepLease implements StoreServiceServer.
func (p *Platform) KeepLease(ctx context.Context, request *platformv1.KeepLeaseRequest) (*platformv1.KeepLeaseResponse, error) {
	return &platformv1.KeepLeaseResponse{}, p.withLease(ctx, request.GetLease(), (*lease).keep)
}

// EndLease implements StoreServiceServer.
func (p *Platform) EndLease(ctx context.Context, request *platformv1.EndLeaseRequest) (*platformv1.EndLeaseResponse, error) {
	end := func(known *lease) {
		known.expiry.Stop()
		p.endLease(request.GetLease())
	}
	return &platformv1.EndLeaseResponse{}, p.withLease(ctx, request.GetLease(), end)
}

// PutLeased implements StoreServiceServer.
func (p *Platform) PutLeased(ctx context.Context, request *platformv1.PutLeasedRequest) (*platformv1.PutLeasedResponse, error) {
	response, lost := &platformv1.PutLeasedResponse{}, error(nil)
	err := p.withLease(ctx, request.GetLease(), func(*lease) {
		response.Entry = p.write(&platformv1.Entry{Key: request.GetKey(), Value: request.GetValue()})
		p.leases.byKey[request.GetKey()] = request.GetLease()
		lost = p.loseReply()
	})
	return response, cmp.Or(err, lost)
}

// withLease calls do with a lease under the mutex, unless the lease is over.
func (p *Platform) withLease(ctx context.Context, id int64, do func(*lease)) error {
	if err := p.enterLease(ctx); err != nil {
		return err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known, found := p.leases.granted[id]
	if !found {
		return status.Error(codes.NotFound, "the lease is over")
	}
	do(known)
	return nil
}

// expire ends a lease that was not kept. While the store is down no lease ends: its time to live starts again. A lease that
// was kept while its timer ran out stays in force.
func (p *Platform) expire(id int64) {
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

// endLease ends a lease and removes its keys. The caller must hold the mutex.
func (p *Platform) endLease(id int64) {
	for _, key := range p.leases.keysOf(id) {
		p.write(&platformv1.Entry{Key: key, Deleted: true})
	}
	delete(p.leases.granted, id)
	maps.DeleteFunc(p.leases.byKey, func(_ string, under int64) bool { return under == id })
}
