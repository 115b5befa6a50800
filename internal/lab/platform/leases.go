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

// Bounds of the TTL of a lease, and of the number of leases, which is far above the number of nodes in a fleet.
const (
	minTTL    = time.Second
	maxTTL    = time.Hour
	maxLeases = 4096
)

// lease is a lease in force.
type lease struct {
	ttl       time.Duration
	expiresAt time.Time
	// timer ends the lease when its TTL has passed.
	timer *time.Timer
}

// renew restarts the TTL.
func (l *lease) renew() {
	l.expiresAt = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
}

// leases contains the leases in force and their keys. The platform's mu guards it.
type leases struct {
	lastID  int64
	granted map[int64]*lease
	byKey   map[string]int64
}

// detach removes a key from its lease, because the key is now written without a lease.
func (l *leases) detach(key string) { delete(l.byKey, key) }

// keysOf returns the sorted keys of a lease.
func (l *leases) keysOf(id int64) []string {
	var keys []string
	for key, leaseID := range l.byKey {
		if leaseID == id {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// admitLeaseCall is admit for calls about leases.
func (p *Platform) admitLeaseCall(ctx context.Context) error {
	return p.admit(ctx, func(c *Counts) { c.Leases++ })
}

// GrantLease implements StoreServiceServer.
func (p *Platform) GrantLease(ctx context.Context, request *platformv1.GrantLeaseRequest) (*platformv1.GrantLeaseResponse, error) {
	if err := p.admitLeaseCall(ctx); err != nil {
		return nil, err
	}
	ttlMillis := min(max(request.GetTimeToLiveMillis(), minTTL.Milliseconds()), maxTTL.Milliseconds())
	ttl := time.Duration(ttlMillis) * time.Millisecond
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.leases.granted) >= maxLeases {
		return nil, status.Error(codes.ResourceExhausted, "too many leases")
	}
	p.leases.lastID++
	id := p.leases.lastID
	granted := &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { p.expire(id) })}
	granted.renew()
	p.leases.granted[id] = granted
	return &platformv1.GrantLeaseResponse{Lease: id, TimeToLiveMillis: ttlMillis}, nil
}

// KeepLease implements StoreServiceServer.
func (p *Platform) KeepLease(ctx context.Context, request *platformv1.KeepLeaseRequest) (*platformv1.KeepLeaseResponse, error) {
	return &platformv1.KeepLeaseResponse{}, p.withLease(ctx, request.GetLease(), (*lease).renew)
}

// EndLease implements StoreServiceServer.
func (p *Platform) EndLease(ctx context.Context, request *platformv1.EndLeaseRequest) (*platformv1.EndLeaseResponse, error) {
	revoke := func(current *lease) {
		current.timer.Stop()
		p.endLease(request.GetLease())
	}
	return &platformv1.EndLeaseResponse{}, p.withLease(ctx, request.GetLease(), revoke)
}

// PutLeased implements StoreServiceServer.
func (p *Platform) PutLeased(ctx context.Context, request *platformv1.PutLeasedRequest) (*platformv1.PutLeasedResponse, error) {
	response, replyErr := &platformv1.PutLeasedResponse{}, error(nil)
	err := p.withLease(ctx, request.GetLease(), func(*lease) {
		response.Entry = p.write(&platformv1.Entry{Key: request.GetKey(), Value: request.GetValue()})
		p.leases.byKey[request.GetKey()] = request.GetLease()
		replyErr = p.consumeLostReply()
	})
	return response, cmp.Or(err, replyErr)
}

// withLease calls update with a lease while holding mu. It returns an error if the lease is no longer in force.
func (p *Platform) withLease(ctx context.Context, id int64, update func(*lease)) error {
	if err := p.admitLeaseCall(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, found := p.leases.granted[id]
	if !found {
		return status.Error(codes.NotFound, "the lease has expired or was ended")
	}
	update(current)
	return nil
}

// expire ends a lease that was not renewed. While the store is down, it restarts the TTL instead. A lease that was renewed
// while its timer fired stays in force.
func (p *Platform) expire(id int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, found := p.leases.granted[id]
	switch {
	case !found || time.Now().Before(current.expiresAt):
	case p.faults.StoreDown:
		current.renew()
	default:
		p.endLease(id)
	}
}

// endLease ends a lease and deletes its keys. p.mu must be held.
func (p *Platform) endLease(id int64) {
	for _, key := range p.leases.keysOf(id) {
		p.write(&platformv1.Entry{Key: key, Deleted: true})
	}
	delete(p.leases.granted, id)
	maps.DeleteFunc(p.leases.byKey, func(_ string, leaseID int64) bool { return leaseID == id })
}
