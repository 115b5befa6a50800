package platform

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
)

const testTTL = 30 * time.Second

// leasedPlatform is a platform with key "k" under a lease.
type leasedPlatform struct {
	*Platform
	t     *testing.T
	lease int64
}

func newLeasedPlatform(t *testing.T) *leasedPlatform {
	t.Helper()
	p := New(1000)
	granted, err := p.GrantLease(t.Context(), &platformv1.GrantLeaseRequest{TimeToLiveMillis: testTTL.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.PutLeased(t.Context(), &platformv1.PutLeasedRequest{Key: "k", Value: []byte("v"), Lease: granted.GetLease()})
	if err != nil {
		t.Fatal(err)
	}
	return &leasedPlatform{p, t, granted.GetLease()}
}

func (l *leasedPlatform) keyExists() bool {
	l.t.Helper()
	read, err := l.Get(l.t.Context(), &platformv1.GetRequest{Key: "k"})
	if err != nil {
		l.t.Fatal(err)
	}
	return !read.GetEntry().GetDeleted()
}

func (l *leasedPlatform) renew() error {
	_, err := l.KeepLease(l.t.Context(), &platformv1.KeepLeaseRequest{Lease: l.lease})
	return err
}

func withLeasedPlatform(t *testing.T, test func(is *is.I, l *leasedPlatform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newLeasedPlatform(t)) })
}

func TestKeysAreDeletedWhenLeaseExpires(t *testing.T) {
	withLeasedPlatform(t, func(is *is.I, l *leasedPlatform) {
		for range 3 {
			time.Sleep(testTTL - time.Second)
			is.NoErr(l.renew())
			is.True(l.keyExists())
		}
		time.Sleep(testTTL + time.Millisecond)
		is.True(!l.keyExists())
		is.Equal(status.Code(l.renew()), codes.NotFound)
		_, err := l.PutLeased(t.Context(), &platformv1.PutLeasedRequest{Key: "k", Lease: l.lease})
		is.Equal(status.Code(err), codes.NotFound)
	})
}

func TestLeaseDoesNotExpireWhileStoreIsDown(t *testing.T) {
	withLeasedPlatform(t, func(is *is.I, l *leasedPlatform) {
		l.SetFaults(Faults{StoreDown: true})
		time.Sleep(10 * testTTL)
		l.SetFaults(Faults{})
		is.True(l.keyExists())
		is.NoErr(l.renew())
		time.Sleep(testTTL + time.Millisecond)
		is.True(!l.keyExists())
	})
}

// A key that is written without a lease is detached from its former lease.
func TestKeyRewrittenWithoutLeaseOutlivesLease(t *testing.T) {
	withLeasedPlatform(t, func(is *is.I, l *leasedPlatform) {
		read, err := l.Get(t.Context(), &platformv1.GetRequest{Key: "k"})
		is.NoErr(err)
		swapped, err := l.CompareAndSwap(t.Context(), &platformv1.CompareAndSwapRequest{Key: "k", ExpectedRevision: read.GetEntry().GetRevision()})
		is.NoErr(err)
		is.True(swapped.GetSwapped())
		_, err = l.EndLease(t.Context(), &platformv1.EndLeaseRequest{Lease: l.lease})
		is.NoErr(err)
		is.True(l.keyExists())
	})
}
